#include "policy/item_placement.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>

namespace cardamom {

double item_placement::averageMsPerToken() const {
  if (Speeds.empty())
    return Options.DefaultMsPerToken;
  double Sum = 0;
  for (const auto &[Id, Speed] : Speeds)
    Sum += Speed.MsPerToken;
  return Sum / double(Speeds.size());
}

double item_placement::msPerToken(std::string_view Replica,
                                  time_point Now) const {
  const auto It = Speeds.find(Replica);
  // A replica whose speed is unknown, or that was slow some time ago, is
  // assumed to have average speed, so that it is tried.
  if (It == Speeds.end())
    return averageMsPerToken();
  if (Now - It->second.ObservedAt > Options.SpeedMaxAge)
    return std::min(averageMsPerToken(), It->second.MsPerToken);
  return It->second.MsPerToken;
}

void item_placement::onProgress(std::string_view Replica, double Tokens,
                                milliseconds Elapsed, time_point Now) {
  if (Tokens <= 0 || Elapsed.count() <= 0)
    return;
  const double Observed = double(Elapsed.count()) / Tokens;
  const auto [It, New] = Speeds.try_emplace(
      std::string(Replica),
      observed_speed{.MsPerToken = Observed, .ObservedAt = Now});
  if (New)
    return;
  It->second.MsPerToken +=
      Options.SpeedSmoothing * (Observed - It->second.MsPerToken);
  It->second.ObservedAt = Now;
}

void item_placement::forgetReplica(std::string_view Replica) {
  if (const auto It = Speeds.find(Replica); It != Speeds.end())
    Speeds.erase(It);
}

double item_placement::costPerToken(const replica_capacity &Replica,
                                    unsigned FreeSlots, time_point Now) const {
  // Among replicas of equal speed the less loaded one is preferred, because its
  // generation steps are shorter.
  static constexpr double FullSlotsFactor = 0.1;
  double Cost = msPerToken(Replica.Id, Now);
  if (Replica.SameFailureDomain)
    Cost *= Options.SameDomainCostFactor;
  return Cost * (1 + FullSlotsFactor * (1 - double(FreeSlots) / Replica.Slots));
}

template <typename Item>
static bool serves(const replica_capacity &Replica, const Item &Requirement) {
  const auto It = Replica.Versions.find(Requirement.Model);
  if (It == Replica.Versions.end() || It->second < Requirement.MinVersion)
    return false;
  return Requirement.ExactVersion == 0 ||
         It->second == Requirement.ExactVersion;
}

std::vector<placed_item>
item_placement::place(std::vector<waiting_item> Waiting,
                      std::span<const replica_capacity> Replicas,
                      time_point Now) const {
  // A replica that failed the item is used only if no other is available.
  static constexpr double AvoidFactor = 100;
  std::sort(Waiting.begin(), Waiting.end(),
            [](const waiting_item &A, const waiting_item &B) {
              return std::tuple(A.Spare, A.DueAt, -A.RemainingTokens, A.Index) <
                     std::tuple(B.Spare, B.DueAt, -B.RemainingTokens, B.Index);
            });
  std::vector<unsigned> FreeSlots;
  unsigned TotalFreeSlots = 0;
  for (const replica_capacity &Replica : Replicas) {
    FreeSlots.push_back(Replica.FreeSlots);
    TotalFreeSlots += Replica.FreeSlots;
  }
  std::vector<placed_item> Placed;
  for (const waiting_item &Item : Waiting) {
    if (TotalFreeSlots == 0)
      break;
    std::optional<size_t> Best;
    double BestCost = 0;
    for (size_t I = 0; I < Replicas.size(); ++I) {
      if (FreeSlots[I] == 0 || !serves(Replicas[I], Item))
        continue;
      double Cost = costPerToken(Replicas[I], FreeSlots[I], Now);
      if (Replicas[I].Id == Item.AvoidReplica)
        Cost *= AvoidFactor;
      if (Best && Cost >= BestCost)
        continue;
      Best = I;
      BestCost = Cost;
    }
    if (!Best)
      continue;
    --FreeSlots[*Best];
    --TotalFreeSlots;
    Placed.push_back({.Index = Item.Index, .Replica = *Best});
  }
  return Placed;
}

std::vector<placed_item>
item_placement::planMoves(std::span<const running_item> Running,
                          std::span<const replica_capacity> Replicas,
                          time_point Now) const {
  struct candidate_move {
    double GainMs;
    placed_item Placed;
  };
  std::vector<candidate_move> Candidates;
  for (const running_item &Item : Running) {
    const double RemainingMs =
        Item.RemainingTokens * msPerToken(Replicas[Item.Replica].Id, Now);
    for (size_t I = 0; I < Replicas.size(); ++I) {
      if (I == Item.Replica || Replicas[I].FreeSlots == 0 ||
          !serves(Replicas[I], Item))
        continue;
      const double Gain =
          RemainingMs - Item.RemainingTokens * msPerToken(Replicas[I].Id, Now);
      if (Gain > RemainingMs * Options.MinMoveGainFraction &&
          Gain > double(Options.MinMoveGain.count()))
        Candidates.push_back(
            {.GainMs = Gain, .Placed = {.Index = Item.Index, .Replica = I}});
    }
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const candidate_move &A, const candidate_move &B) {
              return A.GainMs > B.GainMs;
            });
  std::vector<unsigned> FreeSlots;
  for (const replica_capacity &Replica : Replicas)
    FreeSlots.push_back(Replica.FreeSlots);
  std::set<size_t> Moved;
  std::vector<placed_item> Moves;
  for (const candidate_move &Candidate : Candidates) {
    if (FreeSlots[Candidate.Placed.Replica] == 0 ||
        !Moved.insert(Candidate.Placed.Index).second)
      continue;
    --FreeSlots[Candidate.Placed.Replica];
    Moves.push_back(Candidate.Placed);
  }
  return Moves;
}

} // namespace cardamom
