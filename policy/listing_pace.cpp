#include "policy/listing_pace.h"

#include <algorithm>

namespace cardamom {

listing_pace::listing_pace(listing_pace_options Options,
                           std::span<const std::string_view> GroupOfEachItem,
                           uint64_t TargetGroups)
    : Options(Options) {
  for (const std::string_view Group : GroupOfEachItem)
    ++Missing[std::string(Group)];
  Target = TargetGroups == 0 ? Missing.size()
                             : std::min<uint64_t>(TargetGroups, Missing.size());
}

milliseconds listing_pace::onFinished(std::string_view Group) {
  const auto It = Missing.find(Group);
  if (It == Missing.end() || It->second == 0 || --It->second > 0)
    return Options.Delay;
  ++Complete;
  // A trainer that goes on past its target waits for certain groups.
  return Complete >= Target ? milliseconds(0) : Options.Delay;
}

} // namespace cardamom
