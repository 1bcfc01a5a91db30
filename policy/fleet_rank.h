/// \file
/// Orders the members of a fleet for a duty that one of them has.
///
/// Use:
///   for (const fleet_member *M : rankMembers(Members, "pool")) ...
///   wait takeoverDelay(Rank, Random) before asking for the duty
///
/// Answers fleets of unlike VMs, where a duty on a small one slows everybody:
/// members with at least half the CPU of the largest come first, then those
/// with a quarter, and so on; within a class rendezvous hashing spreads the
/// duties. All members that know of the same fleet get the same order, so that
/// usually one asks for a free duty at a time. Pure; O(n log n).

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
  /// Inner address, "IP:port".
  std::string Address;
  /// Cores that its process may use.
  double Cores = 1;
};

/// Members, best first.
std::vector<const fleet_member *>
rankMembers(std::span<const fleet_member> Members, std::string_view Duty);

/// How many times over Cores may be doubled and still be at most Largest: 0 for
/// members of the first class.
unsigned cpuClass(double Cores, double Largest);

/// Pause before a member asks for a free duty. Rank 0 is the best; Random in
/// [0, 1) separates members that know of different fleets.
milliseconds takeoverDelay(size_t Rank, double Random);

} // namespace cardamom

#endif // CARDAMOM_POLICY_FLEET_RANK_H
