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

/// One difference. Removed has no New, Added has no Old; both then have an
/// empty Field and describe the whole element.
struct configuration_change {
  change_kind Kind = change_kind::Changed;
  change_subject Subject = change_subject::Asset;
  /// Name of the asset, trainer or upstream; prefix of the route.
  std::string Name;
  /// Field that changed, as it is called in the file.
  std::string Field;
  std::string Old;
  std::string New;
};

std::string_view toString(change_kind Kind);
std::string_view toString(change_subject Subject);

/// Elements are matched by name (routes by prefix), so the order of rows does
/// not matter. Takes O(n log n). Versions and authors are not compared.
std::vector<configuration_change> diffConfigurations(const configuration &Old,
                                                     const configuration &New);

/// One line without line end, such as "changed asset e1: concurrency 2 -> 3".
std::string formatChange(const configuration_change &Change);

/// Up to three changes and the number of the others; "no change" for none.
std::string summariseChanges(const std::vector<configuration_change> &Changes);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_CONFIGURATION_DIFF_H
