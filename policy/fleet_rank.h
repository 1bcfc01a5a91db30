/// \file
/// Ranks the members of a fleet for a role that one of them holds.
///
/// Usage:
///   for (const fleet_member *M : rankMembers(Members, "pool")) ...
///   wait takeoverDelay(Rank, Random) before trying to acquire the role
///
/// The VMs of a fleet differ in size, and a role on a small VM slows down the
/// whole fleet. Members with at least half as many cores as the largest are
/// therefore ranked first, then those with at least a quarter, and so on. Among
/// members of the same class, rendezvous hashing distributes the roles. All
/// members with the same view of the fleet compute the same order, so usually
/// only one of them tries to acquire a free role at a time. Pure functions;
/// rankMembers() costs O(n log n).

#ifndef CARDAMOM_POLICY_FLEET_RANK_H
#define CARDAMOM_POLICY_FLEET_RANK_H

#include "base/time.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct fleet_member {
  std::string Name;
  /// Address for the inner protocol, "IP:port".
  std::string Address;
  /// CPU cores that the process may use.
  double Cores = 1;
};

/// Returns the members, most suitable first.
std::vector<const fleet_member *>
rankMembers(std::span<const fleet_member> Members, std::string_view Role);

/// Returns how many times Cores can be doubled and stay below Largest, at most
/// 8. It is 0 for members with at least half as many cores as the largest.
unsigned cpuClass(double Cores, double Largest);

/// Delay before a member tries to acquire a free role. Rank 0 is the most
/// suitable member. Random in [0, 1) staggers members whose views of the fleet
/// differ.
milliseconds takeoverDelay(size_t Rank, double Random);

} // namespace cardamom

#endif // CARDAMOM_POLICY_FLEET_RANK_H
