/// \file
/// Decides whether new samples may start on an upstream that has not loaded the
/// newest weights yet, or wait for the load.
///
/// Starting at once uses the slot and gives samples that are one version
/// staler; waiting gives fresh ones and leaves slots empty during the roll-out.
/// The deployment's weights of idle time and staleness decide. The decision
/// does not depend on the content or length of any answer, so it does not bias
/// the samples.
///
/// version_hold_bench shows that waiting for part of a roll-out is worse than
/// either extreme, so the answer is all or nothing.

#ifndef CARDAMOM_POLICY_VERSION_HOLD_H
#define CARDAMOM_POLICY_VERSION_HOLD_H

#include "base/time.h"

namespace cardamom {

struct version_hold_input {
  /// Cost of trainer idle time as a fraction of PublishInterval.
  double IdleWeight = 0.5;
  /// Cost of one version of staleness in every sample of a step.
  double StalenessWeight = 0.5;
  /// Observed time between published versions; zero = unknown.
  milliseconds PublishInterval{0};
  /// Observed time until a replica has loaded a version, mean over replicas.
  milliseconds LoadTime{0};
  /// Mean time that one sample takes.
  milliseconds SampleTime{0};
  /// Samples that the pool generates at once.
  unsigned Slots = 1;
  /// Samples of a step.
  unsigned Samples = 1;
};

/// Returns whether samples of a new step wait for upstreams that have loaded
/// the newest weights. False while a time is unknown.
bool shouldWaitForNewestWeights(const version_hold_input &Input);

/// Fraction of a step's samples, 0 to 1, that would start on old weights.
double expectedStaleFraction(const version_hold_input &Input);

} // namespace cardamom

#endif // CARDAMOM_POLICY_VERSION_HOLD_H
