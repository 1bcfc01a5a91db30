/// \file
/// Schedule of the calls of a load run, open-loop or closed-loop.

#ifndef CARDAMOM_BENCH_ARRIVAL_SCHEDULE_H
#define CARDAMOM_BENCH_ARRIVAL_SCHEDULE_H

#include "standins/clock.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <random>

namespace bench {

struct arrival_schedule_options {
  /// Maximum number of calls.
  uint64_t Requests = 0;
  standins::time_point Begin;
  standins::time_point End;
  /// Mean arrival rate per second of a Poisson process (open loop). 0 makes a
  /// call due as soon as a client is free (closed loop).
  double Rate = 0;
};

/// Thread-safe; shared by the client threads of one slice of a run.
class arrival_schedule {
public:
  explicit arrival_schedule(arrival_schedule_options Options)
      : Options(Options), NextDue(Options.Begin) {}

  /// Returns the time at which the caller's next call is due, possibly in the
  /// past, or nullopt when the run is over.
  std::optional<standins::time_point> next(standins::time_point Now) {
    std::lock_guard Lock(Mutex);
    if (Issued == Options.Requests || Now >= Options.End)
      return std::nullopt;
    standins::time_point Due = Options.Rate > 0 ? NextDue : Now;
    if (Due >= Options.End)
      return std::nullopt;
    ++Issued;
    advance();
    return Due;
  }

  /// Counts the calls that were due before the end but found no free client.
  /// Call once, after the run.
  uint64_t countUnsent() {
    std::lock_guard Lock(Mutex);
    uint64_t Unsent = 0;
    while (Options.Rate > 0 && Issued < Options.Requests &&
           NextDue < Options.End) {
      ++Issued;
      ++Unsent;
      advance();
    }
    return Unsent;
  }

private:
  void advance() {
    if (Options.Rate <= 0)
      return;
    std::chrono::duration<double> Gap(
        std::exponential_distribution<double>(Options.Rate)(Random));
    NextDue +=
        std::chrono::duration_cast<standins::steady_clock::duration>(Gap);
  }

  arrival_schedule_options Options;
  std::mutex Mutex;
  standins::time_point NextDue;
  uint64_t Issued = 0;
  /// Fixed seed, so that two targets get the same arrival times.
  std::mt19937_64 Random{1};
};

} // namespace bench

#endif // CARDAMOM_BENCH_ARRIVAL_SCHEDULE_H
