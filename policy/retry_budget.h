/// \file
/// Limits retries to a fraction of the requests, so that retries cannot
/// multiply the load of an overloaded fleet.
///
/// Usage:
///   retry_budget Budget({.Random = ...});
///   Budget.onRequest(Now);
///   if (Budget.tryRetry(Now)) { wait Budget.backoff(Retry); ... }
///
/// All operations take constant time. Not thread-safe.

#ifndef CARDAMOM_POLICY_RETRY_BUDGET_H
#define CARDAMOM_POLICY_RETRY_BUDGET_H

#include "base/time.h"

#include <functional>

namespace cardamom {

struct retry_budget_options {
  /// Tokens added by each request; each retry takes one token.
  double TokensPerRequest = 0.1;
  /// Tokens added per second, so that a process with few requests can retry.
  double TokensPerSecond = 0.5;
  /// Capacity of the token bucket, which is full at the start.
  double Capacity = 20;
  /// Exponential delay before the first retry; doubles with each further retry
  /// up to BackoffMax.
  milliseconds BackoffMin{20};
  milliseconds BackoffMax{2000};
  /// Uniform random number in [0, 1); required by backoff().
  std::function<double()> Random;
};

class retry_budget {
public:
  explicit retry_budget(retry_budget_options Options);

  void onRequest(time_point Now);
  /// Takes one token. Returns false if there is none.
  bool tryRetry(time_point Now);
  /// Returns a random delay, uniform between half and all of the exponential
  /// delay before retry number Retry, which starts at 1.
  [[nodiscard]] milliseconds backoff(unsigned Retry) const;
  [[nodiscard]] double tokens() const { return Tokens; }

private:
  void refill(time_point Now);

  retry_budget_options Options;
  double Tokens;
  time_point LastRefill{};
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_RETRY_BUDGET_H
