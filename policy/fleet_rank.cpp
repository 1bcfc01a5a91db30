#include "policy/fleet_rank.h"

#include "policy/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace cardamom {

unsigned cpuClass(double Cores, double Largest) {
  static constexpr unsigned LastClass = 8;
  unsigned Class = 0;
  for (double Doubled = Cores * 2; Class < LastClass && Doubled < Largest;
       Doubled *= 2)
    ++Class;
  return Class;
}

std::vector<const fleet_member *>
rankMembers(std::span<const fleet_member> Members, std::string_view Duty) {
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
                     .Score = rendezvousScore(Duty, Member.Name),
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
  // A write to the store and the news of it take some tens of milliseconds.
  static constexpr milliseconds Step{80};
  static constexpr size_t LastStep = 10;
  return Step * int(std::min(Rank, LastStep)) +
         milliseconds(long(Random * double(Step.count()) / 2));
}

} // namespace cardamom
