/// \file
/// Updates the replicas of one pool to the versions of the weights that
/// trainers have announced.
///
/// Usage:
///   weight_updater Updater({...});
///   Updater.setTargetVersion("model", 7);
///   Updater.isChanging("replica", "model"); // no new runs there while true
///
/// An order tells a replica to load a version. Each replica has at most one
/// order in flight. An order is conditional on the number of orders that the
/// replica reported just before, so that a delayed order has no effect once
/// another one has been accepted.

#ifndef CARDAMOM_JOBS_WEIGHT_UPDATER_H
#define CARDAMOM_JOBS_WEIGHT_UPDATER_H

#include "gateway/protocols.h"
#include "policy/weight_plan.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

class dispatch_gate;
class event_loop;
class http_client;
class client_call_state;
class timer_state;

struct weight_updater_options {
  event_loop &Loop;
  http_client &Client;
  replica_directory &Directory;
  const dispatch_gate &Gate;
  const gateway_protocols &Protocols;
  std::string Pool;
  std::string Holder;
  uint64_t FencingToken = 0;
  /// Whether this process may send orders now. Starts a renewal of the lease if
  /// that is due.
  std::function<bool(time_point Now)> MayOrder;
  /// An order is sent at the time.
  std::function<void(time_point Now)> OnOrder;
  std::function<unsigned(std::string_view Replica)> RunningItemCount;
  /// Whether samples of the pool must come from one version of the weights, so
  /// that runs must finish before a change.
  std::function<bool()> DrainRunsFirst;
  /// Whether items of the model wait for a replica, and weights older than
  /// Version would do for them. Null = never.
  std::function<bool(std::string_view Model, uint64_t Version)> ItemsWaiting;
  /// Output tokens that trainers ask of each model in a step. Null = unknown.
  std::function<std::map<std::string, double, std::less<>>()> ModelDemand;
  /// A replica has rejected an order because it has seen a higher fencing
  /// token.
  std::function<void()> OnFenced;
  /// A replica has loaded a new version.
  std::function<void()> OnVersionChanged;
  /// A trainer names a version right before it submits its next step, and a
  /// replica starts no items of a model while it loads it. Loads therefore wait
  /// this long, and further while items wait, but no longer than the maximum.
  milliseconds NamingDelay{300};
  milliseconds MaxNamingDelay{1500};
  /// Interval of the reports that are requested from a replica while it loads.
  milliseconds ReportInterval{250};
  milliseconds CallTimeout{1000};
  /// A report may not show an order yet that was sent shortly before. An order
  /// that a report does not show is considered lost only if it was sent longer
  /// ago than this.
  milliseconds OrderSettleTime{1000};
  /// A load that takes longer is considered lost; the change is planned again.
  milliseconds LoadTimeout{15000};
};

class weight_updater {
public:
  explicit weight_updater(weight_updater_options Options);
  ~weight_updater();
  weight_updater(const weight_updater &) = delete;
  weight_updater &operator=(const weight_updater &) = delete;

  /// The model may also belong to another pool.
  void setTargetVersion(const std::string &Model, uint64_t Version);
  [[nodiscard]] bool isChanging(std::string_view Replica,
                                std::string_view Model) const;

private:
  /// A change of weights that is being made on a replica.
  struct pending_change {
    weight_change Planned;
    /// The order is in flight or has been accepted.
    bool OrderSent = false;
    time_point StartedAt;
    time_point OrderSentAt{};
    std::shared_ptr<client_call_state> Call;
    std::shared_ptr<timer_state> Timer;
  };

  void tick();
  void plan();
  void startChange(const std::string &ReplicaId, weight_change Planned);
  void requestReport(const std::string &ReplicaId);
  /// Records the head of a response to a report request or an order, which have
  /// no id. Returns false for a late response to an earlier request.
  bool belongsToReplica(const std::string &ReplicaId, uint64_t StartedAtMs,
                        const http_response &Response);
  void onReport(const std::string &ReplicaId, const replica_report &Report);
  void sendOrder(const std::string &ReplicaId, const replica_report &Report);
  void onOrderAnswer(const std::string &ReplicaId, order_outcome Outcome);
  void requestReportLater(const std::string &ReplicaId);
  void endChange(const std::string &ReplicaId);
  pending_change *findChange(const std::string &ReplicaId);

  weight_updater_options Options;
  [[nodiscard]] std::vector<std::string> postponedModels(time_point Now) const;
  /// Adopts the present demand if it changes the replicas of a model by more
  /// than a single one. Each change costs loads.
  void updateDemand(std::span<const weight_replica> Replicas);

  std::map<std::string, double, std::less<>> Demand;

  std::map<std::string, uint64_t, std::less<>> TargetVersions;
  std::map<std::string, time_point, std::less<>> NamedAt;
  std::map<std::string, pending_change, std::less<>> Changes;
  /// Time of the earliest next attempt, by replica whose report or order
  /// failed.
  std::map<std::string, time_point, std::less<>> RetryNotBefore;
  std::shared_ptr<timer_state> TickTimer;
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_WEIGHT_UPDATER_H
