/// \file
/// Decides whether new samples may start on upstreams that have not loaded the
/// newest weights yet, or wait until the weights are loaded.
///
/// Starting at once uses all slots but yields samples that are one version
/// staler. Waiting yields fresh samples but leaves slots empty during the
/// weight roll-out. The costs that the deployment assigns to idle time and
/// staleness decide. The decision does not depend on the content or length of
/// any response, so it does not bias the samples.
///
/// version_hold_bench shows that waiting for part of a roll-out is worse than
/// either extreme, so samples wait for all of it or not at all.

#ifndef CARDAMOM_POLICY_VERSION_HOLD_H
#define CARDAMOM_POLICY_VERSION_HOLD_H

#include "base/time.h"

namespace cardamom {

struct version_hold_input {
  /// Cost of one PublishInterval of trainer idle time.
  double IdleWeight = 0.5;
  /// Cost of one version of staleness in every sample of a step.
  double StalenessWeight = 0.5;
  /// Observed time between published versions; zero = unknown.
  milliseconds PublishInterval{0};
  /// Observed time for a replica to load a version, averaged over replicas.
  milliseconds LoadTime{0};
  /// Mean duration of a sample.
  milliseconds SampleTime{0};
  /// Number of samples that the pool generates concurrently.
  unsigned Slots = 1;
  /// Number of samples in a step.
  unsigned Samples = 1;
};

/// Whether samples of a new step wait for upstreams that have loaded the newest
/// weights. False while PublishInterval or SampleTime is unknown.
bool shouldWaitForNewestWeights(const version_hold_input &Input);

/// Fraction of the samples of a step, 0 to 1, that would start on old weights.
double expectedStaleFraction(const version_hold_input &Input);

} // namespace cardamom

#endif // CARDAMOM_POLICY_VERSION_HOLD_H
