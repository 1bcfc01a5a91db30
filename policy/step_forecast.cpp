#include "policy/step_forecast.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace cardamom {

namespace {

struct group_forecast {
  double RemainingMs = 0;
  bool Required = false;
};

} // namespace

std::vector<size_t> pacingItems(std::span<const forecast_item> Items,
                                size_t TargetGroups, double Margin) {
  std::map<std::string_view, group_forecast> Groups;
  for (const forecast_item &Item : Items) {
    group_forecast &Group = Groups[Item.Group];
    Group.RemainingMs = std::max(Group.RemainingMs, Item.RemainingMs);
    Group.Required |= Item.Required;
  }
  std::vector<std::pair<std::string_view, group_forecast>> Order(Groups.begin(),
                                                                 Groups.end());
  std::sort(Order.begin(), Order.end(), [](const auto &A, const auto &B) {
    return std::tuple(!A.second.Required, A.second.RemainingMs, A.first) <
           std::tuple(!B.second.Required, B.second.RemainingMs, B.first);
  });
  if (TargetGroups > 0 && TargetGroups < Order.size())
    Order.resize(TargetGroups);
  double StepMs = 0;
  for (const auto &[Name, Group] : Order)
    StepMs = std::max(StepMs, Group.RemainingMs);
  std::map<std::string_view, group_forecast> Awaited(Order.begin(),
                                                     Order.end());
  std::vector<size_t> Pacing;
  for (const forecast_item &Item : Items)
    if (Item.RemainingMs > 0 && Item.RemainingMs >= (1 - Margin) * StepMs &&
        Awaited.contains(Item.Group))
      Pacing.push_back(Item.Index);
  return Pacing;
}

} // namespace cardamom
