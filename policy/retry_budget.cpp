#include "policy/retry_budget.h"

#include <algorithm>
#include <utility>

namespace cardamom {

retry_budget::retry_budget(retry_budget_options Options)
    : Options(std::move(Options)), Tokens(this->Options.Capacity) {}

void retry_budget::refill(time_point Now) {
  if (LastRefill == time_point() || Now <= LastRefill) {
    LastRefill = std::max(LastRefill, Now);
    return;
  }
  const std::chrono::duration<double> Elapsed = Now - LastRefill;
  LastRefill = Now;
  Tokens = std::min(Options.Capacity,
                    Tokens + Elapsed.count() * Options.TokensPerSecond);
}

void retry_budget::onRequest(time_point Now) {
  refill(Now);
  Tokens = std::min(Options.Capacity, Tokens + Options.TokensPerRequest);
}

bool retry_budget::tryRetry(time_point Now) {
  refill(Now);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

milliseconds retry_budget::backoff(unsigned Retry) const {
  // Bounds the shift, which could overflow otherwise.
  static constexpr unsigned MaxDoublings = 16;
  const unsigned Doublings = std::min(std::max(Retry, 1U) - 1, MaxDoublings);
  const milliseconds MaxDelay = std::min<milliseconds>(
      Options.BackoffMax, Options.BackoffMin * (1LL << Doublings));
  const double Random = Options.Random ? Options.Random() : 1.0;
  return milliseconds(int64_t(double(MaxDelay.count()) * (0.5 + 0.5 * Random)));
}

} // namespace cardamom
