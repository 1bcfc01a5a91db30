/// \file
/// Decides how long a finished result of a job may wait to be listed together
/// with others.
///
/// Use:
///   listing_pace Pace({}, GroupOfEachItem, /*TargetGroups=*/9);
///   milliseconds MayWait = Pace.onFinished(Group);
///
/// Answers the load of trainers that wait for a number of complete groups and
/// poll about twice a second, while each write to the store costs a call: the
/// result that completes the last group waited for is listed at once, others
/// within the delay. Pure; O(log groups) a result.

#ifndef CARDAMOM_POLICY_LISTING_PACE_H
#define CARDAMOM_POLICY_LISTING_PACE_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace cardamom {

struct listing_pace_options {
  /// Half of the usual time between two looks of a reader.
  milliseconds Delay{250};
};

class listing_pace {
public:
  /// GroupOfEachItem: one entry an item. TargetGroups: complete groups that
  /// the trainer waits for; 0 = all.
  listing_pace(listing_pace_options Options,
               std::span<const std::string_view> GroupOfEachItem,
               uint64_t TargetGroups);

  /// An item of Group has its result.
  milliseconds onFinished(std::string_view Group);

private:
  listing_pace_options Options;
  /// Items without a result by group.
  std::map<std::string, size_t, std::less<>> Missing;
  uint64_t Target;
  uint64_t Complete = 0;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_LISTING_PACE_H
