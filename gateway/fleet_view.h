/// \file
/// The set of gateways known to this one, ranked for each role.
///
/// Use:
///   fleet_view Fleet({.Name = "gw-1", .Address = Inner, .Cores = 0.5});
///   Fleet.update("gw-2", Spec);       // as listed in the store
///   Fleet.rank("pool");               // own rank for a role, 0 = first
///   Fleet.others("pool");             // the other gateways by rank
///
/// Gateways that have failed permanently stay listed. A client that gets no
/// response from one gateway tries the next.

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
  /// The set contains this gateway from the start.
  explicit fleet_view(fleet_member Self);

  /// Spec under which this gateway registers itself in the store.
  [[nodiscard]] nlohmann::json ownSpec() const;
  /// Adds or replaces a gateway; drops it if its spec is malformed.
  void update(const std::string &Name, const nlohmann::json &Spec);
  void remove(std::string_view Name);

  /// Rank of this gateway among all for the role; 0 is the preferred one.
  [[nodiscard]] size_t rank(std::string_view Role) const;
  /// The other gateways in order of preference for the role.
  [[nodiscard]] std::vector<fleet_member> others(std::string_view Role) const;
  /// Whether the gateway is in a higher CPU class (see cpuClass()) than this
  /// one.
  [[nodiscard]] bool hasHigherCpuClass(std::string_view Name) const;
  [[nodiscard]] size_t size() const { return Members.size(); }

private:
  fleet_member Self;
  std::vector<fleet_member> Members;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_FLEET_VIEW_H
