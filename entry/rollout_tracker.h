/// \file
/// Tracks the weight versions that one trainer publishes and the replicas that
/// have loaded them, and decides whether new samples wait for the newest
/// version.
///
/// Use:
///   Tracker.observe(NewestPublished, Views, Now);      // on each tick
///   Tracker.addSampleTime(Elapsed);                    // on each finished run
///   uint64_t Version = Tracker.requiredVersion(Parameters, Now);
///
/// Performs no I/O and reads no clock. observe() costs O(n) in the number of
/// replicas.

#ifndef CARDAMOM_ENTRY_ROLLOUT_TRACKER_H
#define CARDAMOM_ENTRY_ROLLOUT_TRACKER_H

#include "base/time.h"
#include "policy/router.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace cardamom {

/// Inputs of the decision whether new samples wait for the newest version.
struct hold_parameters {
  double IdleWeight = 0.5;
  double StalenessWeight = 0.5;
  /// Samples that the pool generates concurrently, and samples of the step.
  unsigned Slots = 1;
  unsigned Samples = 1;
};

class rollout_tracker {
public:
  /// Longest time that new samples wait for replicas that have not loaded the
  /// newest version: 1 s above the 34 s within which every replica loads new
  /// weights.
  static constexpr milliseconds MaxHold{35000};

  void observe(uint64_t Version, std::span<const upstream_view> Views,
               time_point Now);
  void addSampleTime(milliseconds Elapsed);

  /// Lowest version that a replica needs to get new samples; 0 = any.
  [[nodiscard]] uint64_t requiredVersion(const hold_parameters &Parameters,
                                         time_point Now) const;
  [[nodiscard]] milliseconds publishInterval() const { return PublishInterval; }
  /// Mean load time of the replicas in the last complete roll-out.
  [[nodiscard]] milliseconds loadTime() const { return LoadTime; }

private:
  uint64_t NewestVersion = 0;
  time_point PublishedAt{};
  bool AllLoaded = true;
  /// Load times of the current roll-out by replica.
  std::map<std::string, milliseconds, std::less<>> LoadTimes;
  /// Time between the last two publications. Here and below, zero means
  /// unknown.
  milliseconds PublishInterval{0};
  milliseconds LoadTime{0};
  /// Exponential moving average.
  double MeanSampleMs = 0;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_ROLLOUT_TRACKER_H
