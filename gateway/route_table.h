/// \file
/// Finds the route of a request by host and longest path prefix.
///
/// Use:
///   route_table Table(Config.Routes);
///   if (const route *Route = Table.match(Host, Path)) ...
///
/// match() costs O(path segments x log routes). Immutable, so a table may be
/// used while a newer one is installed.

#ifndef CARDAMOM_GATEWAY_ROUTE_TABLE_H
#define CARDAMOM_GATEWAY_ROUTE_TABLE_H

#include "gateway/gateway_config.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

/// Returns the name in a Host header, in lower case and without the port.
std::string hostName(std::string_view Host);

class route_table {
public:
  explicit route_table(std::span<const route> Routes);

  /// Returns null when no route matches. Host may include a port.
  [[nodiscard]] const route *match(std::string_view Host,
                                   std::string_view Path) const;
  /// Routes for batch jobs on the host.
  [[nodiscard]] std::vector<const route *>
  rolloutRoutes(std::string_view Host) const;

private:
  std::map<std::string, std::map<std::string, route, std::less<>>, std::less<>>
      Hosts;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_ROUTE_TABLE_H
