/// \file
/// Rate limiter of the emulated platform services.

#ifndef STANDINS_TOKEN_BUCKET_H
#define STANDINS_TOKEN_BUCKET_H

#include "standins/clock.h"

#include <algorithm>

namespace standins {

/// Token bucket that starts full. Not thread-safe.
class token_bucket {
public:
  /// A PerSecond of 0 or less means no limit. The capacity is the refill of
  /// Burst seconds.
  explicit token_bucket(double PerSecond, double Burst = 1)
      : PerSecond(PerSecond), Burst(Burst), Tokens(PerSecond * Burst) {}

  void setRate(double NewPerSecond) {
    PerSecond = NewPerSecond;
    Tokens = std::min(Tokens, PerSecond * Burst);
  }

  /// Takes Amount tokens if the bucket holds that many.
  bool tryTake(double Amount, time_point Now) {
    if (PerSecond <= 0)
      return true;
    refill(Now);
    if (Tokens < Amount)
      return false;
    Tokens -= Amount;
    return true;
  }

  /// Takes up to Amount tokens and returns the number taken.
  double takeUpTo(double Amount, time_point Now) {
    if (PerSecond <= 0)
      return Amount;
    refill(Now);
    double Taken = std::clamp(Tokens, 0.0, Amount);
    Tokens -= Taken;
    return Taken;
  }

private:
  void refill(time_point Now) {
    if (Now <= LastRefill)
      return;
    // LastRefill is initially the clock's epoch; the capacity limits the first
    // refill.
    std::chrono::duration<double> Elapsed = Now - LastRefill;
    Tokens = std::min(PerSecond * Burst, Tokens + Elapsed.count() * PerSecond);
    LastRefill = Now;
  }

  double PerSecond;
  double Burst;
  double Tokens;
  time_point LastRefill{};
};

} // namespace standins

#endif // STANDINS_TOKEN_BUCKET_H
