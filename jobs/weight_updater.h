/// \file
/// Updates the replicas of one pool to the versions of the weights that
/// trainers have announced.
///
/// Use:
///   weight_updater Updater({...});
///   Updater.setTargetVersion("model", 7);
///   Updater.isChanging("replica", "model"); // no new runs there while true
///
/// Each replica has at most one order in flight. An order is conditional on the
/// number of orders that the replica reported just before, so that a delayed
/// order has no effect once another one has been accepted.

#ifndef CARDAMOM_JOBS_WEIGHT_UPDATER_H
#define CARDAMOM_JOBS_WEIGHT_UPDATER_H

#include "gateway/protocols.h"
#include "policy/weight_plan.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cardamom {

class event_loop;
class http_client;
class client_call_state;
class timer_state;

struct weight_updater_options {
  event_loop &Loop;
  http_client &Client;
  replica_directory &Directory;
  const gateway_protocols &Protocols;
  std::string Pool;
  std::string Holder;
  uint64_t FencingToken = 0;
  /// Whether this process may send orders now.
  std::function<bool(time_point Now)> MayOrder;
  /// Starts a renewal of the lease; MayOrder() returns true once it is done.
  std::function<void()> RenewLease;
  std::function<unsigned(std::string_view Replica)> RunningItemCount;
  /// Whether samples of the pool must come from one version of the weights, so
  /// that runs must finish before a change.
  std::function<bool()> DrainRunsFirst;
  /// A replica has rejected an order because it has seen a higher fencing
  /// token.
  std::function<void()> OnFenced;
  /// A replica has loaded a new version.
  std::function<void()> OnVersionChanged;
  /// Interval of the reports that are requested from a replica while it loads.
  milliseconds ReportInterval{250};
  milliseconds CallTimeout{1000};
  /// Reports lag behind orders; a report that shows no change is trusted only
  /// this long after the order.
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

  void setTargetVersion(const std::string &Model, uint64_t Version);
  [[nodiscard]] bool isChanging(std::string_view Replica,
                                std::string_view Model) const;

private:
  struct change {
    weight_change Wanted;
    /// The order is in flight or has been accepted.
    bool Ordered = false;
    time_point StartedAt;
    time_point OrderedAt{};
    std::shared_ptr<client_call_state> Call;
    std::shared_ptr<timer_state> Timer;
  };

  void tick();
  void plan();
  void startChange(const std::string &ReplicaId, weight_change Wanted);
  void requestReport(const std::string &ReplicaId);
  void onReport(const std::string &ReplicaId, const replica_report &Report);
  void sendOrder(const std::string &ReplicaId, const replica_report &Report);
  void onOrderAnswer(const std::string &ReplicaId, order_outcome Outcome);
  void requestReportLater(const std::string &ReplicaId);
  void endChange(const std::string &ReplicaId);
  change *findChange(const std::string &ReplicaId);

  weight_updater_options Options;
  std::map<std::string, uint64_t, std::less<>> TargetVersions;
  std::map<std::string, change, std::less<>> Changes;
  std::map<std::string, time_point, std::less<>> NotBefore;
  std::shared_ptr<timer_state> TickTimer;
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_WEIGHT_UPDATER_H
