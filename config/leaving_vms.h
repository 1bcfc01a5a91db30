/// \file
/// List of VMs in the store.

#ifndef CARDAMOM_CONFIG_LEAVING_VMS_H
#define CARDAMOM_CONFIG_LEAVING_VMS_H

#include <set>
#include <string>
#include <string_view>

namespace cardamom {

/// Returns the names of the VMs in state "leaving". Format: "VM control API" in
/// docs/platform-formats.md. Entries that cannot be read are logged and left
/// out. Throws std::invalid_argument if Document is no such list.
std::set<std::string> parseLeavingVms(std::string_view Document);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_LEAVING_VMS_H
