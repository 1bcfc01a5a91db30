#include "policy/item_placement.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

namespace cardamom {

double item_placement::averageMsPerToken() const {
  if (Speeds.empty())
    return Options.DefaultMsPerToken;
  double Sum = 0;
  for (const auto &[Id, Speed] : Speeds)
    Sum += Speed.MsPerToken;
  return Sum / double(Speeds.size());
}

double item_placement::msPerToken(std::string_view Replica, double Average,
                                  time_point Now) const {
  const auto It = Speeds.find(Replica);
  // A replica whose speed is unknown, or that was slow some time ago, is
  // assumed to have average speed, so that it is tried.
  if (It == Speeds.end())
    return Average;
  if (Now - It->second.ObservedAt > Options.SpeedMaxAge)
    return std::min(Average, It->second.MsPerToken);
  return It->second.MsPerToken;
}

double item_placement::msPerToken(std::string_view Replica,
                                  time_point Now) const {
  return msPerToken(Replica, averageMsPerToken(), Now);
}

std::vector<double>
item_placement::msPerToken(std::span<const replica_capacity> Replicas,
                           time_point Now) const {
  const double Average = averageMsPerToken();
  std::vector<double> Result;
  Result.reserve(Replicas.size());
  for (const replica_capacity &Replica : Replicas)
    Result.push_back(msPerToken(Replica.Id, Average, Now));
  return Result;
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
                                    unsigned FreeSlots,
                                    double MsPerToken) const {
  // Among replicas of equal speed the less loaded one is preferred, because its
  // generation steps are shorter.
  static constexpr double FullSlotsFactor = 0.1;
  double Cost = MsPerToken;
  if (Replica.SameFailureDomain)
    Cost *= Options.SameDomainCostFactor;
  return Cost * (1 + FullSlotsFactor * (1 - double(FreeSlots) / Replica.Slots));
}

namespace {

/// Weights that an item requires. Items with equal requirements choose among
/// the same replicas.
struct weight_requirement {
  std::string_view Model;
  uint64_t MinVersion = 0;
  uint64_t ExactVersion = 0;
  bool operator<(const weight_requirement &Other) const {
    return std::tie(Model, MinVersion, ExactVersion) <
           std::tie(Other.Model, Other.MinVersion, Other.ExactVersion);
  }
};

/// A replica with free slots, and its cost while it had that many.
struct priced_replica {
  double Cost = 0;
  size_t Replica = 0;
  unsigned FreeSlots = 0;
};

struct later_choice {
  bool operator()(const priced_replica &A, const priced_replica &B) const {
    return std::tuple(A.Cost, A.Replica) > std::tuple(B.Cost, B.Replica);
  }
};

using choice_queue =
    std::priority_queue<priced_replica, std::vector<priced_replica>,
                        later_choice>;

/// Replicas with free slots to which items may move, fastest first.
struct move_targets {
  std::vector<size_t> Replicas;
  /// All replicas before this position have no free slots left.
  size_t FirstOpen = 0;
};

/// The best move that an item has left.
struct candidate_move {
  double GainMs = 0;
  /// Index into the running items.
  size_t Item = 0;
  size_t Replica = 0;
};

struct smaller_gain {
  bool operator()(const candidate_move &A, const candidate_move &B) const {
    return std::tuple(A.GainMs, B.Item) < std::tuple(B.GainMs, A.Item);
  }
};

} // namespace

template <typename Item>
static weight_requirement requirementOf(const Item &RequiringItem) {
  return {.Model = RequiringItem.Model,
          .MinVersion = RequiringItem.MinVersion,
          .ExactVersion = RequiringItem.ExactVersion};
}

static bool serves(const replica_capacity &Replica,
                   const weight_requirement &Requirement) {
  const auto It = Replica.Versions.find(Requirement.Model);
  if (It == Replica.Versions.end() || It->second < Requirement.MinVersion)
    return false;
  return Requirement.ExactVersion == 0 ||
         It->second == Requirement.ExactVersion;
}

bool mustRestart(const waiting_item &Item,
                 std::span<const replica_capacity> Replicas) {
  if (Item.ExactVersion == 0)
    return false;
  const auto AnyServes = [&](const weight_requirement &Requirement) {
    return std::any_of(Replicas.begin(), Replicas.end(),
                       [&](const replica_capacity &Replica) {
                         return serves(Replica, Requirement);
                       });
  };
  return !AnyServes(requirementOf(Item)) &&
         AnyServes({.Model = Item.Model, .MinVersion = Item.MinVersion});
}

static std::vector<unsigned>
freeSlots(std::span<const replica_capacity> Replicas) {
  std::vector<unsigned> FreeSlots;
  FreeSlots.reserve(Replicas.size());
  for (const replica_capacity &Replica : Replicas)
    FreeSlots.push_back(Replica.FreeSlots);
  return FreeSlots;
}

void item_placement::sortByLatestStart(
    std::vector<waiting_item> &Waiting) const {
  const double Average = averageMsPerToken();
  const auto Key = [&](const waiting_item &Item) {
    const std::chrono::duration<double, std::milli> DueAt =
        Item.DueAt.time_since_epoch();
    return std::tuple(
        Item.Spare, DueAt.count() - Item.RemainingTokens * Average, Item.Index);
  };
  std::sort(Waiting.begin(), Waiting.end(),
            [&](const waiting_item &A, const waiting_item &B) {
              return Key(A) < Key(B);
            });
}

std::vector<placed_item>
item_placement::place(std::vector<waiting_item> Waiting,
                      std::span<const replica_capacity> Replicas,
                      time_point Now) const {
  // A replica that failed the item is used only if no other is available.
  static constexpr double AvoidFactor = 100;
  sortByLatestStart(Waiting);
  const std::vector<double> MsPerToken = msPerToken(Replicas, Now);
  std::vector<unsigned> FreeSlots = freeSlots(Replicas);
  unsigned TotalFreeSlots =
      std::accumulate(FreeSlots.begin(), FreeSlots.end(), 0U);
  const auto Price = [&](size_t Replica) -> priced_replica {
    return {.Cost = costPerToken(Replicas[Replica], FreeSlots[Replica],
                                 MsPerToken[Replica]),
            .Replica = Replica,
            .FreeSlots = FreeSlots[Replica]};
  };
  std::map<weight_requirement, choice_queue> Queues;
  const auto FindQueue =
      [&](const weight_requirement &Requirement) -> choice_queue & {
    const auto [It, New] = Queues.try_emplace(Requirement);
    for (size_t I = 0; New && I < Replicas.size(); ++I)
      if (FreeSlots[I] > 0 && serves(Replicas[I], Requirement))
        It->second.push(Price(I));
    return It->second;
  };
  // Items with other requirements may have taken slots since a replica was
  // priced. Its cost has only risen by that, so that no cheaper replica is
  // missed.
  const auto PopCheapest =
      [&](choice_queue &Queue) -> std::optional<priced_replica> {
    while (!Queue.empty()) {
      const priced_replica Cheapest = Queue.top();
      Queue.pop();
      if (Cheapest.FreeSlots == FreeSlots[Cheapest.Replica])
        return Cheapest;
      if (FreeSlots[Cheapest.Replica] > 0)
        Queue.push(Price(Cheapest.Replica));
    }
    return std::nullopt;
  };
  std::vector<placed_item> Placed;
  for (const waiting_item &Item : Waiting) {
    if (TotalFreeSlots == 0)
      break;
    choice_queue &Queue = FindQueue(requirementOf(Item));
    std::optional<priced_replica> Best = PopCheapest(Queue);
    if (!Best)
      continue;
    if (Replicas[Best->Replica].Id == Item.AvoidReplica) {
      if (std::optional<priced_replica> Other = PopCheapest(Queue)) {
        priced_replica Avoided = *Best;
        Avoided.Cost *= AvoidFactor;
        if (later_choice()(Avoided, *Other))
          std::swap(*Best, *Other);
        Queue.push(*Other);
      }
    }
    --FreeSlots[Best->Replica];
    --TotalFreeSlots;
    if (FreeSlots[Best->Replica] > 0)
      Queue.push(Price(Best->Replica));
    Placed.push_back({.Index = Item.Index, .Replica = Best->Replica});
  }
  return Placed;
}

std::vector<placed_item>
item_placement::planMoves(std::span<const running_item> Running,
                          std::span<const replica_capacity> Replicas,
                          time_point Now) const {
  const std::vector<double> MsPerToken = msPerToken(Replicas, Now);
  std::vector<unsigned> FreeSlots = freeSlots(Replicas);
  std::map<weight_requirement, move_targets> TargetsByRequirement;
  const auto FindTargets =
      [&](const weight_requirement &Requirement) -> move_targets & {
    const auto [It, New] = TargetsByRequirement.try_emplace(Requirement);
    std::vector<size_t> &Targets = It->second.Replicas;
    for (size_t I = 0; New && I < Replicas.size(); ++I)
      if (FreeSlots[I] > 0 && serves(Replicas[I], Requirement))
        Targets.push_back(I);
    if (New)
      std::sort(Targets.begin(), Targets.end(), [&](size_t A, size_t B) {
        return std::tuple(MsPerToken[A], A) < std::tuple(MsPerToken[B], B);
      });
    return It->second;
  };
  // The fastest target with free slots saves most; if it does not save enough,
  // no other does.
  const auto FindMove = [&](size_t Index) -> std::optional<candidate_move> {
    const running_item &Item = Running[Index];
    move_targets &Targets = FindTargets(requirementOf(Item));
    while (Targets.FirstOpen < Targets.Replicas.size() &&
           FreeSlots[Targets.Replicas[Targets.FirstOpen]] == 0)
      ++Targets.FirstOpen;
    if (Targets.FirstOpen == Targets.Replicas.size())
      return std::nullopt;
    const size_t Target = Targets.Replicas[Targets.FirstOpen];
    const double RemainingMs = Item.RemainingTokens * MsPerToken[Item.Replica];
    const double Gain = RemainingMs - Item.RemainingTokens * MsPerToken[Target];
    if (Gain <= RemainingMs * Options.MinMoveGainFraction ||
        Gain <= double(Options.MinMoveGain.count()))
      return std::nullopt;
    return candidate_move{.GainMs = Gain, .Item = Index, .Replica = Target};
  };
  std::priority_queue<candidate_move, std::vector<candidate_move>, smaller_gain>
      Candidates;
  for (size_t Index = 0; Index < Running.size(); ++Index)
    if (const auto Move = FindMove(Index))
      Candidates.push(*Move);
  std::vector<placed_item> Moves;
  while (!Candidates.empty()) {
    const candidate_move Best = Candidates.top();
    Candidates.pop();
    if (FreeSlots[Best.Replica] == 0) {
      if (const auto Move = FindMove(Best.Item))
        Candidates.push(*Move);
      continue;
    }
    --FreeSlots[Best.Replica];
    Moves.push_back(
        {.Index = Running[Best.Item].Index, .Replica = Best.Replica});
  }
  return Moves;
}

std::vector<placed_item>
item_placement::planPhaseMoves(std::span<const running_item> Pacing,
                               std::span<const replica_capacity> Replicas,
                               replica_slowdowns Slowdowns,
                               time_point Now) const {
  const std::vector<double> MsPerToken = msPerToken(Replicas, Now);
  std::vector<unsigned> FreeSlots = freeSlots(Replicas);
  // Time that the replica loses until the end of the phase.
  const auto LossMs = [&](size_t Replica) {
    const double Slowdown =
        std::max(1.0, Slowdowns[Replica].value_or(Options.UnknownSlowdown));
    return double(Options.SlowPhaseRemainder.count()) * (1 - 1 / Slowdown);
  };
  std::vector<const running_item *> Order;
  for (const running_item &Item : Pacing)
    Order.push_back(&Item);
  std::sort(Order.begin(), Order.end(), [](const auto *A, const auto *B) {
    return std::tuple(-A->RemainingTokens, A->Index) <
           std::tuple(-B->RemainingTokens, B->Index);
  });
  std::vector<placed_item> Moves;
  for (const running_item *Item : Order) {
    if (!Slowdowns[Item->Replica])
      continue;
    double BestGain = double(Options.MinPhaseGain.count());
    std::optional<size_t> Best;
    for (size_t I = 0; I < Replicas.size(); ++I) {
      if (I == Item->Replica || FreeSlots[I] == 0 ||
          MsPerToken[I] >
              MsPerToken[Item->Replica] * Options.MaxUsualSpeedRatio ||
          !serves(Replicas[I], requirementOf(*Item)))
        continue;
      const double Gain =
          LossMs(Item->Replica) - LossMs(I) - double(Options.MoveCost.count());
      // Among equal gains the less loaded replica is preferred.
      if (Gain > BestGain ||
          (Best && Gain == BestGain && FreeSlots[I] > FreeSlots[*Best])) {
        BestGain = Gain;
        Best = I;
      }
    }
    if (!Best)
      continue;
    --FreeSlots[*Best];
    Moves.push_back({.Index = Item->Index, .Replica = *Best});
  }
  return Moves;
}

} // namespace cardamom
