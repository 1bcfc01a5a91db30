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

#ifndef CARDAMOM_POLICY_RESULT_BATCH_DELAY_H
#define CARDAMOM_POLICY_RESULT_BATCH_DELAY_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace cardamom {

struct result_batch_options {
  /// Half of the usual time between two looks of a reader.
  milliseconds MaxDelay{250};
};

class result_batch_delay {
public:
  /// GroupOfEachItem: one entry an item. TargetGroups: complete groups that
  /// the trainer waits for; 0 = all.
  result_batch_delay(result_batch_options Options,
                     std::span<const std::string_view> GroupOfEachItem,
                     uint64_t TargetGroups);

  /// An item of Group has its result.
  milliseconds onItemFinished(std::string_view Group);

private:
  result_batch_options Options;
  /// Items without a result by group.
  std::map<std::string, size_t, std::less<>> UnfinishedItems;
  uint64_t RequiredGroups;
  uint64_t CompletedGroups = 0;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_RESULT_BATCH_DELAY_H
