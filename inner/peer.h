/// \file
/// Identity of a process, as announced to its peers.

#ifndef CARDAMOM_INNER_PEER_H
#define CARDAMOM_INNER_PEER_H

#include <cstdint>
#include <string>

namespace cardamom {

/// Version of the inner protocol; peers with another version are refused.
inline constexpr uint32_t InnerProtocolVersion = 1;

struct peer_identity {
  std::string Name;
  /// Random number chosen at process start and never reused.
  uint64_t Incarnation = 0;
  std::string FailureDomain;
  std::string Build;
  /// "entry", "agent" or the name of a tool.
  std::string Role;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_PEER_H
