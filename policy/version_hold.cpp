#include "policy/version_hold.h"

#include <algorithm>

namespace cardamom {

double expectedOldFraction(const version_hold_input &Input) {
  // All slots start on old weights; during half of the roll-out, on average,
  // each starts further samples on them.
  const double Rounds = 1 + double(Input.RolloutTime.count()) /
                                (2 * double(Input.SampleTime.count()));
  return std::min(1.0, Input.Slots * Rounds / std::max(1U, Input.Samples));
}

bool shouldHoldForVersion(const version_hold_input &Input) {
  if (Input.PublishInterval.count() <= 0 || Input.SampleTime.count() <= 0)
    return false;
  // Replicas load one after the other, so a slot is empty for half of the
  // roll-out on average; the step ends later by about as much.
  const double Added = double(Input.RolloutTime.count()) /
                       (2 * double(Input.PublishInterval.count()));
  return Input.IdleWeight * Added <
         Input.StalenessWeight * expectedOldFraction(Input);
}

} // namespace cardamom
