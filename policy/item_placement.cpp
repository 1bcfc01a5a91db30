#include "policy/item_placement.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace cardamom {

double item_placement::typicalMsPerToken() const {
  if (MsPerToken.empty())
    return Options.DefaultMsPerToken;
  double Sum = 0;
  for (const auto &[Id, Speed] : MsPerToken)
    Sum += Speed;
  return Sum / double(MsPerToken.size());
}

double item_placement::msPerToken(std::string_view Replica) const {
  const auto It = MsPerToken.find(Replica);
  // One that is unknown is taken for an average one, so that it is tried.
  return It == MsPerToken.end() ? typicalMsPerToken() : It->second;
}

void item_placement::onProgress(std::string_view Replica, double Tokens,
                                milliseconds Elapsed) {
  if (Tokens <= 0 || Elapsed.count() <= 0)
    return;
  const double Observed = double(Elapsed.count()) / Tokens;
  const auto [It, New] = MsPerToken.try_emplace(std::string(Replica), Observed);
  if (!New)
    It->second += Options.SpeedGain * (Observed - It->second);
}

void item_placement::forget(std::string_view Replica) {
  if (const auto It = MsPerToken.find(Replica); It != MsPerToken.end())
    MsPerToken.erase(It);
}

static bool serves(const replica_capacity &Replica, const waiting_item &Item) {
  const auto It = Replica.Versions.find(Item.Model);
  return It != Replica.Versions.end() && It->second >= Item.MinVersion;
}

std::vector<placed_item>
item_placement::place(std::vector<waiting_item> Waiting,
                      std::span<const replica_capacity> Replicas) const {
  std::sort(Waiting.begin(), Waiting.end(),
            [](const waiting_item &A, const waiting_item &B) {
              return std::tuple(A.Spare, A.DueAt, -A.RemainingTokens, A.Index) <
                     std::tuple(B.Spare, B.DueAt, -B.RemainingTokens, B.Index);
            });
  std::vector<unsigned> Free;
  unsigned Total = 0;
  for (const replica_capacity &Replica : Replicas) {
    Free.push_back(Replica.FreeSlots);
    Total += Replica.FreeSlots;
  }
  std::vector<placed_item> Placed;
  for (const waiting_item &Item : Waiting) {
    if (Total == 0)
      break;
    std::optional<size_t> Best;
    double BestCost = 0;
    for (size_t I = 0; I < Replicas.size(); ++I) {
      if (Free[I] == 0 || !serves(Replicas[I], Item))
        continue;
      double Cost = msPerToken(Replicas[I].Id);
      if (Replicas[I].Near)
        Cost *= Options.NearFactor;
      if (Replicas[I].Id == Item.Avoid)
        Cost *= 100;
      // Equal speeds: the emptier one, whose steps are shorter.
      Cost *= 1 + 0.1 * (1 - double(Free[I]) / Replicas[I].Slots);
      if (Best && Cost >= BestCost)
        continue;
      Best = I;
      BestCost = Cost;
    }
    if (!Best)
      continue;
    --Free[*Best];
    --Total;
    Placed.push_back({.Index = Item.Index, .Replica = *Best});
  }
  return Placed;
}

} // namespace cardamom
