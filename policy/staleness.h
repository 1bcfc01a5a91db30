/// \file
/// Decides whether a sample is within the staleness bound of its trainer.

#ifndef CARDAMOM_POLICY_STALENESS_H
#define CARDAMOM_POLICY_STALENESS_H

#include "base/time.h"

#include <cstdint>

namespace cardamom {

/// Whether a sample whose oldest tokens come from OldestVersion of the weights
/// may be delivered to a trainer at TrainerVersion. A sample newer than the
/// trainer may always be delivered.
constexpr bool isDeliverable(uint64_t OldestVersion, uint64_t TrainerVersion,
                             uint64_t Bound) {
  return OldestVersion >= TrainerVersion ||
         TrainerVersion - OldestVersion <= Bound;
}

/// Lowest weight version with which a new run may start; at least 1, because
/// version 0 means that the version is unknown.
constexpr uint64_t minDeliverableVersion(uint64_t TrainerVersion,
                                         uint64_t Bound) {
  return TrainerVersion > Bound ? TrainerVersion - Bound : 1;
}

struct staleness_forecast {
  uint64_t OldestVersion = 0;
  uint64_t TrainerVersion = 0;
  uint64_t StalenessBound = 0;
  /// Predicted time until the sample finishes.
  milliseconds Remaining{0};
  /// Expected time until the trainer's next version, and between later
  /// versions. A zero interval means that the trainer waits for the sample and
  /// does not advance without it.
  milliseconds UntilNextVersion{0};
  milliseconds VersionInterval{0};
};

/// Whether the sample will still be deliverable if it finishes at the predicted
/// time.
bool willBeDeliverable(const staleness_forecast &Forecast);

} // namespace cardamom

#endif // CARDAMOM_POLICY_STALENESS_H
