/// \file
/// Chooses a replica of a service for one call.

#ifndef CARDAMOM_GATEWAY_REPLICA_CHOICE_H
#define CARDAMOM_GATEWAY_REPLICA_CHOICE_H

#include "base/time.h"

#include <span>
#include <string>
#include <string_view>

namespace cardamom {

class replica_directory;
class router;
struct replica;

/// Returns the replica of Service with the earliest predicted finish time,
/// excluding those in Tried, or null when there is none. O(replicas).
const replica *chooseReplica(const replica_directory &Directory, router &Router,
                             std::string_view Service,
                             std::span<const std::string> Tried,
                             std::string_view OwnFailureDomain, time_point Now);

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_REPLICA_CHOICE_H
