/// \file
/// The gateways that this one knows of.
///
/// Use:
///   fleet_view Fleet({.Name = "gw-1", .Address = Inner, .Cores = 0.5});
///   Fleet.update("gw-2", Spec);       // as listed in the store
///   Fleet.rank("pool");               // own place for a duty, 0 = first
///   Fleet.others("pool");             // the others, best first
///
/// Entries of gateways that are gone for good stay listed; whoever calls one
/// moves on to the next.

#ifndef CARDAMOM_GATEWAY_FLEET_VIEW_H
#define CARDAMOM_GATEWAY_FLEET_VIEW_H

#include "policy/fleet_rank.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

class fleet_view {
public:
  /// Counts itself from the start.
  explicit fleet_view(fleet_member Self);

  /// What a gateway writes about itself.
  [[nodiscard]] nlohmann::json ownSpec() const;
  /// An entry that cannot be read is dropped.
  void update(const std::string &Name, const nlohmann::json &Spec);
  void remove(std::string_view Name);

  /// Own place among all for the duty.
  [[nodiscard]] size_t rank(std::string_view Duty) const;
  /// The others, best first.
  [[nodiscard]] std::vector<fleet_member> others(std::string_view Duty) const;
  /// Whether the member is of a better class of CPU than this process.
  [[nodiscard]] bool hasHigherCpuClass(std::string_view Name) const;
  [[nodiscard]] size_t size() const { return Members.size(); }

private:
  fleet_member Self;
  std::vector<fleet_member> Members;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_FLEET_VIEW_H
