/// \file
/// Forecasts when a trainer's step is complete, and names the items on which
/// that depends.
///
/// Usage:
///   for (size_t Index : pacingItems(Items, TargetGroups, 0.25)) ...
///
/// Load: steps of 56 to 176 items whose lengths have a heavy tail. The trainer
/// waits for most of the groups, and a group for its slowest item, so that a
/// few items decide how long a step takes. Time gained for any other item gains
/// nothing. Pure; O(items log items).

#ifndef CARDAMOM_POLICY_STEP_FORECAST_H
#define CARDAMOM_POLICY_STEP_FORECAST_H

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace cardamom {

struct forecast_item {
  /// Chosen by the caller to identify the item.
  size_t Index = 0;
  std::string_view Group;
  /// Expected time until the item is finished; 0 = it is.
  double RemainingMs = 0;
  /// The trainer waits for the item's group, whichever groups are complete.
  bool Required = false;
};

/// Returns the unfinished items that are expected to finish last in the groups
/// that the trainer waits for: those whose remaining time is at least (1 -
/// Margin) of that of the step. These groups are the required ones and, of the
/// others, those that are complete first. TargetGroups: number of groups that
/// the trainer waits for; 0 = all.
std::vector<size_t> pacingItems(std::span<const forecast_item> Items,
                                size_t TargetGroups, double Margin);

} // namespace cardamom

#endif // CARDAMOM_POLICY_STEP_FORECAST_H
