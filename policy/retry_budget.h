/// \file
/// Limits retries to a fraction of the requests, so that retries cannot
/// multiply the load of an overloaded fleet.
///
/// Use:
///   retry_budget Budget({.Random = ...});
///   Budget.onRequest(Now);
///   if (Budget.tryRetry(Now)) { wait Budget.backoff(Attempt); ... }
///
/// All operations take constant time. Not thread-safe.

#ifndef CARDAMOM_POLICY_RETRY_BUDGET_H
#define CARDAMOM_POLICY_RETRY_BUDGET_H

#include "base/time.h"

#include <functional>

namespace cardamom {

struct retry_budget_options {
  /// Tokens that one request adds; one retry takes one token.
  double TokensPerRequest = 0.1;
  /// Lets a process with few requests retry at all.
  double TokensPerSecond = 0.5;
  /// Capacity of the bucket, which is full at the start.
  double Capacity = 20;
  /// Back-off before the first retry; doubles with each further one.
  milliseconds BackoffMin{20};
  milliseconds BackoffMax{2000};
  /// Uniform random number in [0, 1); required by backoff().
  std::function<double()> Random;
};

class retry_budget {
public:
  explicit retry_budget(retry_budget_options Options);

  void onRequest(time_point Now);
  /// Takes one token; returns false when there is none.
  bool tryRetry(time_point Now);
  /// Uniform in [half, whole] of the exponential delay before retry number
  /// Retry, which starts at 1.
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
