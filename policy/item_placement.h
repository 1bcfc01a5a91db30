/// \file
/// Chooses which item of a batch job runs next, and on which replica.
///
/// Use:
///   item_placement Placement({});
///   Placement.onProgress("replica", Tokens, Elapsed, Now);
///   for (const placed_item &P : Placement.place(Waiting, Replicas, Now)) ...
///   for (const placed_item &P : Placement.moves(Running, Replicas, Now)) ...
///
/// Answers the load of trainers that wait for most groups of a step while
/// replicas differ in speed: the longest items go first and to the fastest
/// replicas, and the groups that the trainer does not wait for go last. Items
/// wait here, not at replicas, so that one that turns slow holds up only what
/// it runs; and what runs there goes on elsewhere, from its last event, once a
/// faster replica is free. Pure but for learned speeds. place() costs
/// O(items log items + placed x replicas).

#ifndef CARDAMOM_POLICY_ITEM_PLACEMENT_H
#define CARDAMOM_POLICY_ITEM_PLACEMENT_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct waiting_item {
  /// Set by the caller to find the item again.
  size_t Index = 0;
  std::string_view Model;
  uint64_t MinVersion = 0;
  /// Output tokens still to be generated.
  double RemainingTokens = 0;
  /// Items of the group that the trainer does not wait for.
  bool Spare = false;
  /// When the job's results are due.
  time_point DueAt;
  /// Version that the replica must have; 0 = MinVersion or any newer one.
  uint64_t ExactVersion = 0;
  /// Replica that failed it last; used only when there is no other.
  std::string_view AvoidReplica;
};

struct replica_capacity {
  std::string_view Id;
  unsigned FreeSlots = 0;
  unsigned Slots = 1;
  /// In the failure domain of this process.
  bool SameFailureDomain = false;
  /// Versions of the weights by model; models that are being changed are left
  /// out.
  std::map<std::string_view, uint64_t> Versions;
};

struct placed_item {
  size_t Index = 0;
  /// Index into the replicas.
  size_t Replica = 0;
};

/// An item that runs, for the question whether it should run elsewhere.
struct running_item {
  size_t Index = 0;
  std::string_view Model;
  uint64_t MinVersion = 0;
  uint64_t ExactVersion = 0;
  double RemainingTokens = 0;
  bool Spare = false;
  time_point DueAt;
  /// Index into the replicas.
  size_t Replica = 0;
};

struct item_placement_options {
  /// Weight of a new observation in the moving average of speed.
  double SpeedSmoothing = 0.3;
  /// Gain in predicted time that outweighs bytes between failure domains.
  double SameDomainCostFactor = 0.95;
  /// Until a replica's speed is known.
  double DefaultMsPerToken = 1;
  /// A speed that was observed longer ago is not believed.
  milliseconds SpeedMaxAge{4000};
  /// A move must bring this share of the remaining time, and this much.
  double MinMoveGainFraction = 0.3;
  milliseconds MinMoveGain{150};
};

class item_placement {
public:
  explicit item_placement(item_placement_options Options) : Options(Options) {}

  [[nodiscard]] std::vector<placed_item>
  place(std::vector<waiting_item> Waiting,
        std::span<const replica_capacity> Replicas, time_point Now) const;
  /// Running items that would end clearly sooner on a replica with a free
  /// slot, those that would gain most first.
  [[nodiscard]] std::vector<placed_item>
  planMoves(std::span<const running_item> Running,
            std::span<const replica_capacity> Replicas, time_point Now) const;

  /// Observed generation: Tokens in Elapsed within one run.
  void onProgress(std::string_view Replica, double Tokens, milliseconds Elapsed,
                  time_point Now);
  [[nodiscard]] double msPerToken(std::string_view Replica,
                                  time_point Now) const;
  void forgetReplica(std::string_view Replica);

private:
  struct observed_speed {
    double MsPerToken;
    time_point ObservedAt;
  };

  [[nodiscard]] double averageMsPerToken() const;
  [[nodiscard]] double costPerToken(const replica_capacity &Replica,
                                    unsigned Free, time_point Now) const;

  item_placement_options Options;
  std::map<std::string, observed_speed, std::less<>> Speeds;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_ITEM_PLACEMENT_H
