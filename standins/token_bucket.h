/// \file
/// Rate limit of the emulated platform services.

#ifndef STANDINS_TOKEN_BUCKET_H
#define STANDINS_TOKEN_BUCKET_H

#include "standins/clock.h"

#include <algorithm>

namespace standins {

/// Starts full.
class token_bucket {
public:
  /// PerSecond of 0 or less means no limit. The bucket holds what flows in
  /// during Burst seconds.
  explicit token_bucket(double PerSecond, double Burst = 1)
      : PerSecond(PerSecond), Burst(Burst), Tokens(PerSecond * Burst) {}

  void setRate(double NewPerSecond) {
    PerSecond = NewPerSecond;
    Tokens = std::min(Tokens, PerSecond * Burst);
  }

  /// Takes Amount tokens if they are there.
  bool tryTake(double Amount, time_point Now) {
    if (PerSecond <= 0)
      return true;
    refill(Now);
    if (Tokens < Amount)
      return false;
    Tokens -= Amount;
    return true;
  }

  /// Takes up to Amount tokens and returns how many it took.
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
    if (Now <= Last)
      return;
    // The first call finds a full bucket whatever the clock's origin is.
    std::chrono::duration<double> Elapsed = Now - Last;
    Tokens = std::min(PerSecond * Burst, Tokens + Elapsed.count() * PerSecond);
    Last = Now;
  }

  double PerSecond;
  double Burst;
  double Tokens;
  time_point Last{};
};

} // namespace standins

#endif // STANDINS_TOKEN_BUCKET_H
