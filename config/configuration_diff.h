/// \file
/// Differences between two configurations.

#ifndef CARDAMOM_CONFIG_CONFIGURATION_DIFF_H
#define CARDAMOM_CONFIG_CONFIGURATION_DIFF_H

#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct configuration;

enum class change_kind { Added, Removed, Changed };
enum class change_subject { Asset, Route, Trainer, Upstream, Weights };

/// One difference. For Added and Removed, Field is empty and New or Old,
/// respectively, describes the whole element; the other one is empty.
struct configuration_change {
  change_kind Kind = change_kind::Changed;
  change_subject Subject = change_subject::Asset;
  /// Name of the asset, trainer or upstream, or prefix of the route.
  std::string Name;
  /// The changed field, under its name in the file.
  std::string Field;
  std::string Old;
  std::string New;
};

std::string_view toString(change_kind Kind);
std::string_view toString(change_subject Subject);

/// Matches elements by name (routes by prefix), regardless of their order.
/// Ignores version, edit id and author. Takes O(n log n).
std::vector<configuration_change> diffConfigurations(const configuration &Old,
                                                     const configuration &New);

/// Returns one line without a line end, such as
/// changed asset e1: concurrency "2" -> "3"
std::string formatChange(const configuration_change &Change);

/// Returns up to three changes and the number of the remaining ones, or
/// "no change".
std::string summariseChanges(const std::vector<configuration_change> &Changes);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_CONFIGURATION_DIFF_H
