#include "policy/subset.h"

#include "policy/rendezvous.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace cardamom {

std::vector<size_t> chooseSubset(std::string_view Entry,
                                 std::span<const subset_candidate> Candidates,
                                 const subset_options &Options) {
  std::vector<size_t> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), size_t(0));
  if (Candidates.size() <= Options.Size)
    return Order;

  std::vector<uint64_t> Scores(Candidates.size());
  for (size_t I = 0; I < Candidates.size(); ++I)
    Scores[I] = rendezvousScore(Entry, Candidates[I].Name);
  std::sort(Order.begin(), Order.end(),
            [&](size_t A, size_t B) { return Scores[A] > Scores[B]; });

  // Rank of each candidate within its failure domain. Choosing by ascending
  // rank takes the same number from each domain.
  std::map<std::string_view, size_t> NextRank;
  std::vector<size_t> Rank(Candidates.size());
  for (size_t Index : Order)
    Rank[Index] = NextRank[Candidates[Index].FailureDomain]++;
  std::stable_sort(Order.begin(), Order.end(),
                   [&](size_t A, size_t B) { return Rank[A] < Rank[B]; });
  Order.resize(Options.Size);
  std::sort(Order.begin(), Order.end());
  return Order;
}

} // namespace cardamom
