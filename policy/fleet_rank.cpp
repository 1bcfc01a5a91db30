#include "policy/fleet_rank.h"

#include "policy/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace cardamom {

unsigned cpuClass(double Cores, double Largest) {
  static constexpr unsigned MaxClass = 8;
  unsigned Class = 0;
  for (double Doubled = Cores * 2; Class < MaxClass && Doubled < Largest;
       Doubled *= 2)
    ++Class;
  return Class;
}

std::vector<const fleet_member *>
rankMembers(std::span<const fleet_member> Members, std::string_view Role) {
  double Largest = 0;
  for (const fleet_member &Member : Members)
    Largest = std::max(Largest, Member.Cores);
  struct ranked {
    unsigned Class;
    uint64_t Score;
    const fleet_member *Member;
  };
  std::vector<ranked> Order;
  Order.reserve(Members.size());
  for (const fleet_member &Member : Members)
    Order.push_back({.Class = cpuClass(Member.Cores, Largest),
                     .Score = rendezvousScore(Role, Member.Name),
                     .Member = &Member});
  std::sort(Order.begin(), Order.end(), [](const ranked &A, const ranked &B) {
    return std::tie(A.Class, B.Score) < std::tie(B.Class, A.Score);
  });
  std::vector<const fleet_member *> Ranked;
  Ranked.reserve(Order.size());
  for (const ranked &Entry : Order)
    Ranked.push_back(Entry.Member);
  return Ranked;
}

milliseconds takeoverDelay(size_t Rank, double Random) {
  // Writing to the store and notifying the other members takes some tens of
  // milliseconds.
  static constexpr milliseconds DelayPerRank{80};
  static constexpr size_t MaxDelayedRanks = 10;
  return DelayPerRank * int(std::min(Rank, MaxDelayedRanks)) +
         milliseconds(long(Random * double(DelayPerRank.count()) / 2));
}

} // namespace cardamom
