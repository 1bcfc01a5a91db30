#include "policy/result_batch_delay.h"

#include <algorithm>

namespace cardamom {

result_batch_delay::result_batch_delay(
    result_batch_options Options,
    std::span<const std::string_view> GroupOfEachItem, uint64_t TargetGroups)
    : Options(Options) {
  for (const std::string_view Group : GroupOfEachItem)
    ++UnfinishedItems[std::string(Group)];
  RequiredGroups =
      TargetGroups == 0
          ? UnfinishedItems.size()
          : std::min<uint64_t>(TargetGroups, UnfinishedItems.size());
}

milliseconds result_batch_delay::onItemFinished(std::string_view Group) {
  const auto It = UnfinishedItems.find(Group);
  if (It == UnfinishedItems.end() || It->second == 0 || --It->second > 0)
    return Options.MaxDelay;
  ++CompletedGroups;
  // A trainer that continues after reaching its target waits for particular
  // groups, so each further complete group is written immediately.
  return CompletedGroups >= RequiredGroups ? milliseconds(0) : Options.MaxDelay;
}

} // namespace cardamom
