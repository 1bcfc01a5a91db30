#include "policy/version_hold.h"

#include <algorithm>

namespace cardamom {

double expectedStaleFraction(const version_hold_input &Input) {
  // All slots start on old weights and run further samples on them until their
  // replica has loaded the new weights.
  const double Rounds =
      1 + double(Input.LoadTime.count()) / double(Input.SampleTime.count());
  return std::min(1.0, Input.Slots * Rounds / std::max(1U, Input.Samples));
}

bool shouldWaitForNewestWeights(const version_hold_input &Input) {
  if (Input.PublishInterval.count() <= 0 || Input.SampleTime.count() <= 0)
    return false;
  // A slot is idle until its replica has loaded the new weights, which delays
  // the end of the step by about the mean load time.
  const double AddedIntervals =
      double(Input.LoadTime.count()) / double(Input.PublishInterval.count());
  return Input.IdleWeight * AddedIntervals <
         Input.StalenessWeight * expectedStaleFraction(Input);
}

} // namespace cardamom
