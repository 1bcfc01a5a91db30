/// \file
/// Chooses which item of a batch job runs next, and on which replica.
///
/// Use:
///   item_placement Placement({});
///   Placement.onProgress("replica", Tokens, Elapsed);
///   for (const placed_item &P : Placement.place(Waiting, Replicas)) start ...
///
/// Answers the load of trainers that wait for most groups of a step while
/// replicas differ in speed: the longest items go first and to the fastest
/// replicas, and the groups that the trainer does not wait for go last. Items
/// wait here, not at replicas, so that one that turns slow holds up only what
/// it runs. Pure but for learned speeds. place() costs
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
  /// Replica that failed it last; used only when there is no other.
  std::string_view Avoid;
};

struct replica_capacity {
  std::string_view Id;
  unsigned FreeSlots = 0;
  unsigned Slots = 1;
  /// In the failure domain of this process.
  bool Near = false;
  /// Versions of the weights by model; models that are being changed are left
  /// out.
  std::map<std::string_view, uint64_t> Versions;
};

struct placed_item {
  size_t Index = 0;
  /// Index into the replicas.
  size_t Replica = 0;
};

struct item_placement_options {
  /// Weight of a new observation in the moving average of speed.
  double SpeedGain = 0.3;
  /// Gain in predicted time that outweighs bytes between failure domains.
  double NearFactor = 0.95;
  /// Until a replica's speed is known.
  double DefaultMsPerToken = 1;
};

class item_placement {
public:
  explicit item_placement(item_placement_options Options) : Options(Options) {}

  [[nodiscard]] std::vector<placed_item>
  place(std::vector<waiting_item> Waiting,
        std::span<const replica_capacity> Replicas) const;

  /// Observed generation: Tokens in Elapsed within one run.
  void onProgress(std::string_view Replica, double Tokens,
                  milliseconds Elapsed);
  [[nodiscard]] double msPerToken(std::string_view Replica) const;
  void forget(std::string_view Replica);

private:
  [[nodiscard]] double typicalMsPerToken() const;

  item_placement_options Options;
  std::map<std::string, double, std::less<>> MsPerToken;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_ITEM_PLACEMENT_H
