#include "gateway/route_table.h"

#include <cctype>

namespace cardamom {

std::string hostName(std::string_view Host) {
  std::string Name(Host.substr(0, Host.find(':')));
  for (char &C : Name)
    C = char(std::tolower(static_cast<unsigned char>(C)));
  return Name;
}

route_table::route_table(std::span<const route> Routes) {
  for (const route &Route : Routes)
    Hosts[hostName(Route.Host)][Route.PathPrefix] = Route;
}

const route *route_table::match(std::string_view Host,
                                std::string_view Path) const {
  const auto HostRoutes = Hosts.find(hostName(Host));
  if (HostRoutes == Hosts.end())
    return nullptr;
  // Prefixes end with a slash, so only the parts of Path up to a slash can
  // match.
  std::string_view Prefix = Path;
  while (true) {
    const size_t Slash = Prefix.rfind('/');
    if (Slash == std::string_view::npos)
      return nullptr;
    Prefix = Prefix.substr(0, Slash + 1);
    if (const auto It = HostRoutes->second.find(Prefix);
        It != HostRoutes->second.end())
      return &It->second;
    Prefix.remove_suffix(1);
  }
}

std::vector<const route *>
route_table::rolloutRoutes(std::string_view Host) const {
  std::vector<const route *> Found;
  const auto HostRoutes = Hosts.find(hostName(Host));
  if (HostRoutes == Hosts.end())
    return Found;
  for (const auto &[Prefix, Route] : HostRoutes->second)
    if (Route.Kind == route_kind::Rollout)
      Found.push_back(&Route);
  return Found;
}

} // namespace cardamom
