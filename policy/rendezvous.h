/// \file
/// Rendezvous (highest random weight) hashing.

#ifndef CARDAMOM_POLICY_RENDEZVOUS_H
#define CARDAMOM_POLICY_RENDEZVOUS_H

#include <cstdint>
#include <string_view>

namespace cardamom {

/// Returns the score of Node for Key. The node with the highest score owns the
/// key; removing another node does not change the owner. The score is the same
/// on all machines and in all versions.
uint64_t rendezvousScore(std::string_view Key, std::string_view Node);

} // namespace cardamom

#endif // CARDAMOM_POLICY_RENDEZVOUS_H
