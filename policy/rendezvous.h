/// \file
/// Rendezvous (highest random weight) hashing.

#ifndef CARDAMOM_POLICY_RENDEZVOUS_H
#define CARDAMOM_POLICY_RENDEZVOUS_H

#include <cstdint>
#include <string_view>

namespace cardamom {

/// Score of Node for Key. The node with the highest score owns the key;
/// removing another node never changes that. Equal on all machines and in all
/// versions.
uint64_t rendezvousScore(std::string_view Key, std::string_view Node);

} // namespace cardamom

#endif // CARDAMOM_POLICY_RENDEZVOUS_H
