/// \file
/// Chooses which item of a batch job runs next, and on which replica.
///
/// Usage:
///   item_placement Placement({});
///   Placement.onProgress("replica", Tokens, Elapsed, Now);
///   for (const placed_item &P : Placement.place(Waiting, Replicas, Now)) ...
///   auto Moves = Placement.planMoves(Running, Replicas, Now);
///
/// A trainer waits for most of the groups of a step, and replicas differ in
/// speed. The longest items are therefore placed first and on the fastest
/// replicas; items of groups that the trainer does not wait for are placed
/// last. Where the steps of a trainer overlap and slots are scarce, the items
/// that must start soonest to be finished in time are placed first, so that the
/// short items of an earlier step do not delay the long ones of the next. Items
/// are queued here rather than at the replicas, so that a replica that becomes
/// slow delays only the items that it runs. These are resumed elsewhere, after
/// their last event, once a faster replica has a free slot. Reads no clock and
/// does no I/O; the only state is the observed speed of each replica. Both
/// functions cost O((items + replicas x requirements) log replicas), where a
/// requirement is a model with its allowed versions.

#ifndef CARDAMOM_POLICY_ITEM_PLACEMENT_H
#define CARDAMOM_POLICY_ITEM_PLACEMENT_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct waiting_item {
  /// Chosen by the caller to identify the item.
  size_t Index = 0;
  std::string_view Model;
  uint64_t MinVersion = 0;
  /// Output tokens still to be generated.
  double RemainingTokens = 0;
  /// Whether the trainer does not wait for the item's group.
  bool Spare = false;
  /// Time at which the job's results are due.
  time_point DueAt;
  /// Weight version that the replica must have; 0 = MinVersion or any newer
  /// one.
  uint64_t ExactVersion = 0;
  /// Replica that most recently failed the item; used only if no other is
  /// available.
  std::string_view AvoidReplica;
};

struct replica_capacity {
  std::string_view Id;
  unsigned FreeSlots = 0;
  unsigned Slots = 1;
  /// Whether the replica is in the failure domain of this process.
  bool SameFailureDomain = false;
  /// Weight version by model. Models whose weights are being changed are
  /// absent.
  std::map<std::string_view, uint64_t> Versions;
};

struct placed_item {
  size_t Index = 0;
  /// Index into Replicas.
  size_t Replica = 0;
};

/// A running item that may be moved to another replica.
struct running_item {
  size_t Index = 0;
  std::string_view Model;
  uint64_t MinVersion = 0;
  uint64_t ExactVersion = 0;
  double RemainingTokens = 0;
  bool Spare = false;
  time_point DueAt;
  /// Index into Replicas.
  size_t Replica = 0;
};

/// Whether the item, which is bound to the version of its text, must start
/// again without the text: none of Replicas has that version, and one has
/// another that the item allows. Replicas are all that accept new work, whether
/// or not they have free slots.
[[nodiscard]] bool mustRestart(const waiting_item &Item,
                               std::span<const replica_capacity> Replicas);

/// How long work takes on a replica now, relative to usual; nullopt = unknown.
using replica_slowdowns = std::span<const std::optional<double>>;

struct item_placement_options {
  /// Smoothing factor of the moving average of speed: the weight of a new
  /// observation.
  double SpeedSmoothing = 0.3;
  /// Factor on the cost of replicas in the failure domain of this process. A
  /// replica in another domain must be faster by more than that to justify the
  /// traffic between domains.
  double SameDomainCostFactor = 0.95;
  /// Assumed speed while no speed has been observed.
  double DefaultMsPerToken = 1;
  /// Age after which an observed speed is no longer trusted.
  milliseconds SpeedMaxAge{4000};
  /// A move must save more than this fraction of the remaining time, and more
  /// than MinMoveGain.
  double MinMoveGainFraction = 0.3;
  milliseconds MinMoveGain{150};
  /// A slow phase that has been noticed is expected to last this much longer.
  milliseconds SlowPhaseRemainder{400};
  /// Time that a move costs: a new connection, reading the prompt and the text
  /// again, and the part of an event that is lost.
  milliseconds MoveCost{60};
  /// Minimum gain of a move that avoids a slow phase, after its cost.
  milliseconds MinPhaseGain{60};
  /// A slow phase is no reason to move to a replica whose usual time per token
  /// is longer than that of the present one by more than this factor.
  double MaxUsualSpeedRatio = 1.15;
  /// SpeedSmoothing where replicas share their VMs with other work: slow phases
  /// must not pass for the usual speed.
  double SharedVmSpeedSmoothing = 0.06;
  /// Slowdown assumed for replicas without a recent observation.
  double UnknownSlowdown = 1.2;
};

class item_placement {
public:
  explicit item_placement(item_placement_options Options) : Options(Options) {}

  [[nodiscard]] std::vector<placed_item>
  place(std::vector<waiting_item> Waiting,
        std::span<const replica_capacity> Replicas, time_point Now) const;
  /// Returns the running items that would finish considerably earlier on a
  /// replica with a free slot, in descending order of the time saved.
  [[nodiscard]] std::vector<placed_item>
  planMoves(std::span<const running_item> Running,
            std::span<const replica_capacity> Replicas, time_point Now) const;

  /// Returns moves of items that pace their steps, away from replicas that are
  /// in a slow phase, to replicas with a free slot that are not. Such a phase
  /// is shorter than the items, so that moving any other item gains nothing.
  /// Slowdowns: of Replicas, in their order. O(items x replicas).
  [[nodiscard]] std::vector<placed_item>
  planPhaseMoves(std::span<const running_item> Pacing,
                 std::span<const replica_capacity> Replicas,
                 replica_slowdowns Slowdowns, time_point Now) const;

  /// Records that a run on Replica generated Tokens in Elapsed.
  void onProgress(std::string_view Replica, double Tokens, milliseconds Elapsed,
                  time_point Now);
  [[nodiscard]] double msPerToken(std::string_view Replica,
                                  time_point Now) const;
  void forgetReplica(std::string_view Replica);
  /// To be called when replicas report that they share their VMs.
  void setSharedVms() {
    Options.SpeedSmoothing = Options.SharedVmSpeedSmoothing;
  }

private:
  struct observed_speed {
    double MsPerToken;
    time_point ObservedAt;
  };

  /// Sorts by the time at which an item must start to be finished when its job
  /// is due; spare items come last.
  void sortByLatestStart(std::vector<waiting_item> &Waiting) const;
  [[nodiscard]] double averageMsPerToken() const;
  [[nodiscard]] double msPerToken(std::string_view Replica, double Average,
                                  time_point Now) const;
  /// Returns the speeds of all Replicas, in their order.
  [[nodiscard]] std::vector<double>
  msPerToken(std::span<const replica_capacity> Replicas, time_point Now) const;
  [[nodiscard]] double costPerToken(const replica_capacity &Replica,
                                    unsigned FreeSlots,
                                    double MsPerToken) const;

  item_placement_options Options;
  std::map<std::string, observed_speed, std::less<>> Speeds;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_ITEM_PLACEMENT_H
