/// \file
/// Decides how long a finished result of a job may wait so that it is written
/// to the store in one batch with others.
///
/// Usage:
///   result_batch_delay BatchDelay({}, GroupOfEachItem, /*TargetGroups=*/9);
///   milliseconds Delay = BatchDelay.onItemFinished(Group);
///
/// Trainers wait for a number of complete groups and poll about twice a second,
/// and each write to the store costs a call. The result that completes the last
/// group that the trainer waits for is therefore written immediately, and other
/// results within MaxDelay. Reads no clock and does no I/O; O(log groups) per
/// result.

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
  /// Half of the usual polling interval of a reader.
  milliseconds MaxDelay{250};
};

class result_batch_delay {
public:
  /// GroupOfEachItem has one element per item. TargetGroups is the number of
  /// complete groups that the trainer waits for; 0 = all.
  result_batch_delay(result_batch_options Options,
                     std::span<const std::string_view> GroupOfEachItem,
                     uint64_t TargetGroups);

  /// Records that an item of Group has finished. Returns how long its result
  /// may wait.
  milliseconds onItemFinished(std::string_view Group);

private:
  result_batch_options Options;
  /// Number of unfinished items by group.
  std::map<std::string, size_t, std::less<>> UnfinishedItems;
  uint64_t RequiredGroups;
  uint64_t CompletedGroups = 0;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_RESULT_BATCH_DELAY_H
