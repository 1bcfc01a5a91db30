/// \file
/// Observes the weight versions of one trainer and the replicas that have
/// loaded them, and says whether new samples wait for the newest version.
///
/// Use:
///   Tracker.observe(NewestPublished, Views, Now);      // on each tick
///   Tracker.onSampleTime(Elapsed);                     // on each finished run
///   uint64_t Version = Tracker.heldVersion(Input, Now);
///
/// Pure: no clock, no I/O. observe() costs O(n) in the number of replicas.

#ifndef CARDAMOM_ENTRY_ROLLOUT_TRACKER_H
#define CARDAMOM_ENTRY_ROLLOUT_TRACKER_H

#include "base/time.h"
#include "policy/router.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace cardamom {

struct hold_parameters {
  double IdleWeight = 0.5;
  double StalenessWeight = 0.5;
  /// Samples that the pool generates at once, and samples of the step.
  unsigned Slots = 1;
  unsigned Samples = 1;
};

class rollout_tracker {
public:
  /// A hold ends after this time even if replicas are missing: 1 s above the
  /// 34 s within which every replica has new weights.
  static constexpr milliseconds MaxHold{35000};

  void observe(uint64_t Newest, std::span<const upstream_view> Views,
               time_point Now);
  void addSampleTime(milliseconds Elapsed);

  /// Version below which a replica gets no new samples now; 0 = none.
  [[nodiscard]] uint64_t requiredVersion(const hold_parameters &Question,
                                         time_point Now) const;
  [[nodiscard]] milliseconds publishInterval() const { return PublishInterval; }
  /// Mean over the replicas of the last complete roll-out.
  [[nodiscard]] milliseconds loadTime() const { return LoadTime; }

private:
  uint64_t NewestVersion = 0;
  time_point PublishedAt{};
  bool AllLoaded = true;
  /// Load times of the present roll-out by replica.
  std::map<std::string, milliseconds, std::less<>> LoadTimes;
  /// Between the last two publications; zero = unknown, as below.
  milliseconds PublishInterval{0};
  milliseconds LoadTime{0};
  /// Moving average.
  double MeanSampleMs = 0;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_ROLLOUT_TRACKER_H
