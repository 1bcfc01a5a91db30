/// \file
/// When the calls of a load run are due.

#ifndef CARDAMOM_BENCH_ARRIVALS_H
#define CARDAMOM_BENCH_ARRIVALS_H

#include "standins/clock.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <random>

namespace bench {

struct arrivals_options {
  /// Calls at most.
  uint64_t Requests = 0;
  standins::time_point Begin;
  standins::time_point End;
  /// Mean calls a second with exponential gaps; 0 makes a call due as soon as
  /// a client is free.
  double Rate = 0;
};

/// Shared by the client threads of one slice of a run.
class arrivals {
public:
  explicit arrivals(arrivals_options Options)
      : Options(Options), NextDue(Options.Begin) {}

  /// Time at which the caller's next call is due, possibly in the past. Nothing
  /// when the run is over.
  std::optional<standins::time_point> next(standins::time_point Now) {
    std::lock_guard Lock(Mutex);
    if (Given == Options.Requests || Now >= Options.End)
      return std::nullopt;
    standins::time_point Due = Options.Rate > 0 ? NextDue : Now;
    if (Due >= Options.End)
      return std::nullopt;
    ++Given;
    advance();
    return Due;
  }

  /// Calls that were due but found no free client until the end.
  uint64_t countUnsent() {
    std::lock_guard Lock(Mutex);
    uint64_t Unsent = 0;
    while (Options.Rate > 0 && Given < Options.Requests &&
           NextDue < Options.End) {
      ++Given;
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

  arrivals_options Options;
  std::mutex Mutex;
  standins::time_point NextDue;
  uint64_t Given = 0;
  /// A fixed seed, so that two targets get the same arrivals.
  std::mt19937_64 Random{1};
};

} // namespace bench

#endif // CARDAMOM_BENCH_ARRIVALS_H
