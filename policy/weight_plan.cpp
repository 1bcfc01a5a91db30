#include "policy/weight_plan.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace cardamom {

namespace {
struct candidate {
  uint64_t Behind;
  unsigned Running;
  weight_change Change;
};
} // namespace

std::vector<weight_change> planWeightChanges(const weight_plan_input &Input) {
  const auto Limit = std::max<long>(
      1, std::lround(Input.ConcurrentShare * double(Input.Replicas.size())));
  long Busy = 0;
  std::vector<candidate> Candidates;
  for (size_t I = 0; I < Input.Replicas.size(); ++I) {
    const weight_replica &Replica = Input.Replicas[I];
    if (Replica.Busy) {
      ++Busy;
      continue;
    }
    for (const auto &[Model, Version] : Replica.Versions) {
      const auto Named = Input.Named.find(Model);
      if (Named == Input.Named.end() || Named->second <= Version)
        continue;
      Candidates.push_back({.Behind = Named->second - Version,
                            .Running = Replica.Running,
                            .Change = {.Replica = I,
                                       .Model = Named->first,
                                       .Version = Named->second}});
    }
  }
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const candidate &A, const candidate &B) {
                     return std::tuple(B.Behind, A.Running) <
                            std::tuple(A.Behind, B.Running);
                   });
  std::vector<weight_change> Changes;
  std::set<size_t> Chosen;
  for (candidate &Candidate : Candidates) {
    if (Busy + long(Changes.size()) >= Limit)
      break;
    if (Chosen.insert(Candidate.Change.Replica).second)
      Changes.push_back(std::move(Candidate.Change));
  }
  return Changes;
}

} // namespace cardamom
