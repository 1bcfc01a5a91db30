#include "jobs/weight_updater.h"

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/dispatch_gate.h"
#include "http/event_loop.h"
#include "http/http_client.h"

#include <algorithm>
#include <stdexcept>
#include <vector>

namespace cardamom {

/// Interval at which changes are planned.
static constexpr milliseconds PlanningInterval{100};
/// Delay before a replica whose report or order failed is retried.
static constexpr milliseconds FailureRetryDelay{500};

weight_updater::weight_updater(weight_updater_options Options)
    : Options(std::move(Options)) {
  tick();
}

weight_updater::~weight_updater() = default;

void weight_updater::setTargetVersion(const std::string &Model,
                                      uint64_t Version) {
  uint64_t &Target = TargetVersions[Model];
  if (Version <= Target)
    return;
  Target = Version;
  NamedAt[Model] = event_loop::now();
  logInfo("version_named",
          {{"model", Model}, {"version", std::to_string(Version)}});
  plan();
}

bool weight_updater::isChanging(std::string_view Replica,
                                std::string_view Model) const {
  const auto It = Changes.find(Replica);
  return It != Changes.end() && It->second.OrderSent &&
         It->second.Planned.Model == Model;
}

void weight_updater::tick() {
  TickTimer = Options.Loop.after(PlanningInterval, [this] {
    plan();
    tick();
  });
}

std::vector<std::string> weight_updater::postponedModels(time_point Now) const {
  std::vector<std::string> Models;
  for (const auto &[Model, Version] : TargetVersions) {
    const auto Age = Now - NamedAt.find(Model)->second;
    if (Age < Options.NamingDelay ||
        (Age < Options.MaxNamingDelay && Options.ItemsWaiting &&
         Options.ItemsWaiting(Model, Version)))
      Models.push_back(Model);
  }
  return Models;
}

void weight_updater::updateDemand(std::span<const weight_replica> Replicas) {
  if (!Options.ModelDemand)
    return;
  const std::map<std::string, double, std::less<>> Present =
      Options.ModelDemand();
  std::vector<double> Old;
  std::vector<double> New;
  for (const std::string &Model : trainedModels(Replicas, TargetVersions)) {
    const auto Find = [&](const auto &Map) {
      const auto It = Map.find(Model);
      return It == Map.end() ? 0 : It->second;
    };
    Old.push_back(Find(Demand));
    New.push_back(Find(Present));
  }
  // A model without demand may only be between two steps.
  if (New.empty() || std::find(New.begin(), New.end(), 0) != New.end())
    return;
  const std::vector<size_t> OldQuotas = modelQuotas(Replicas.size(), Old);
  const std::vector<size_t> NewQuotas = modelQuotas(Replicas.size(), New);
  for (size_t I = 0; I < New.size(); ++I) {
    if (std::max(OldQuotas[I], NewQuotas[I]) -
            std::min(OldQuotas[I], NewQuotas[I]) <=
        1)
      continue;
    Demand = Present;
    std::string Shares;
    for (const size_t Quota : NewQuotas)
      Shares += (Shares.empty() ? "" : ",") + std::to_string(Quota);
    logInfo("model_shares_changed",
            {{"pool", Options.Pool}, {"replicas", Shares}});
    return;
  }
}

void weight_updater::plan() {
  const time_point Now = event_loop::now();
  std::vector<weight_replica> Replicas;
  for (const replica *Replica : Options.Directory.listed(Options.Pool)) {
    if (Replica->Draining)
      continue;
    const auto RetryAt = RetryNotBefore.find(Replica->Id);
    weight_replica &Candidate = Replicas.emplace_back(weight_replica{
        .Id = Replica->Id,
        .OrderPending = Changes.contains(Replica->Id),
        .InBackoff =
            (RetryAt != RetryNotBefore.end() && Now < RetryAt->second) ||
            Options.Directory.inBackoff(Replica->Id, Now),
        .RunningRequests = Options.RunningItemCount(Replica->Id)});
    for (const auto &[Model, Version] : Replica->Versions)
      Candidate.Versions[Model] = Version;
  }
  updateDemand(Replicas);
  const std::vector<std::string> Postponed = postponedModels(Now);
  const std::vector<weight_change> Planned =
      planWeightChanges({.Replicas = Replicas,
                         .NewestVersions = TargetVersions,
                         .Demand = Demand,
                         .PostponedModels = Postponed});
  if (Planned.empty())
    return;
  if (!Options.MayOrder(Now))
    return;
  for (const weight_change &Change : Planned)
    startChange(std::string(Replicas[Change.Replica].Id), Change);
}

weight_updater::pending_change *
weight_updater::findChange(const std::string &ReplicaId) {
  const auto It = Changes.find(ReplicaId);
  return It == Changes.end() ? nullptr : &It->second;
}

void weight_updater::startChange(const std::string &ReplicaId,
                                 weight_change Planned) {
  pending_change &Change = Changes[ReplicaId];
  Change.Planned = std::move(Planned);
  Change.StartedAt = event_loop::now();
  requestReport(ReplicaId);
}

void weight_updater::requestReport(const std::string &ReplicaId) {
  pending_change *Change = findChange(ReplicaId);
  const replica *Replica = Options.Directory.find(ReplicaId);
  if (!Change)
    return;
  if (!Replica) {
    endChange(ReplicaId);
    return;
  }
  Change->Call = Options.Client.fetch(
      Replica->Address, Options.Protocols.EncodeReportRequest(ReplicaId),
      Options.CallTimeout,
      [this, ReplicaId, StartedAtMs = Replica->StartedAtMs](
          const call_completion &End, const http_response &Response) {
        try {
          if (End.Result != call_result::Complete)
            throw std::invalid_argument(std::string(toString(End.Result)));
          if (!belongsToReplica(ReplicaId, StartedAtMs, Response))
            throw std::invalid_argument("response to another request");
          onReport(ReplicaId, Options.Protocols.DecodeReplicaReport(Response));
        } catch (const std::invalid_argument &Error) {
          logInfo("report_failed",
                  {{"replica", ReplicaId}, {"reason", Error.what()}});
          RetryNotBefore[ReplicaId] = event_loop::now() + FailureRetryDelay;
          endChange(ReplicaId);
        }
      });
}

bool weight_updater::belongsToReplica(const std::string &ReplicaId,
                                      uint64_t StartedAtMs,
                                      const http_response &Response) {
  const upstream_head Head = Options.Protocols.Upstream.Decode(Response);
  Options.Directory.onResponseHead(ReplicaId, StartedAtMs, /*RequestId=*/{},
                                   Head, event_loop::now());
  return Head.RequestId.empty();
}

void weight_updater::onReport(const std::string &ReplicaId,
                              const replica_report &Report) {
  pending_change *Change = findChange(ReplicaId);
  if (!Change)
    return;
  const auto Version = Report.Versions.find(Change->Planned.Model);
  const bool HasVersion = Version != Report.Versions.end() &&
                          Version->second >= Change->Planned.Version;
  if (HasVersion && !Report.OrderInProgress) {
    Options.Directory.setVersion(ReplicaId, Change->Planned.Model,
                                 Version->second);
    logInfo("weights_changed",
            {{"replica", ReplicaId},
             {"model", Change->Planned.Model},
             {"version", std::to_string(Version->second)},
             {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                       event_loop::now() - Change->StartedAt)
                                       .count())}});
    endChange(ReplicaId);
    Options.OnVersionChanged();
    return;
  }
  const bool Overdue =
      event_loop::now() - Change->StartedAt > Options.LoadTimeout;
  const bool Settled =
      event_loop::now() - Change->OrderSentAt > Options.OrderSettleTime;
  if (Change->OrderSent && !Overdue && (Report.OrderInProgress || !Settled)) {
    requestReportLater(ReplicaId);
    return;
  }
  // An order that was lost or failed is sent again, at once or after a delay.
  // If the first one is accepted after all, the replica's number of orders
  // changes and it rejects the second.
  if (Report.OrderInProgress || Overdue) {
    RetryNotBefore[ReplicaId] = event_loop::now() + FailureRetryDelay;
    endChange(ReplicaId);
    return;
  }
  sendOrder(ReplicaId, Report);
}

void weight_updater::sendOrder(const std::string &ReplicaId,
                               const replica_report &Report) {
  pending_change *Change = findChange(ReplicaId);
  const replica *Replica = Options.Directory.find(ReplicaId);
  const time_point Now = event_loop::now();
  if (!Replica || Replica->Draining || !Options.MayOrder(Now)) {
    endChange(ReplicaId);
    return;
  }
  Options.OnOrder(Now);
  const load_weights_order Order{.Model = Change->Planned.Model,
                                 .Version = Change->Planned.Version,
                                 .DrainRunsFirst = Options.DrainRunsFirst(),
                                 .LeaseHolder = Options.Holder,
                                 .FencingToken = Options.FencingToken,
                                 .ExpectedOrders = Report.OrdersAccepted,
                                 .ReplicaId = ReplicaId};
  Change->OrderSent = true;
  Change->OrderSentAt = Now;
  metrics::get().counter("weight_orders_total").add();
  logInfo("weights_ordered",
          {{"replica", ReplicaId},
           {"model", Order.Model},
           {"version", std::to_string(Order.Version)},
           {"orders_before", std::to_string(Order.ExpectedOrders)},
           {"token", std::to_string(Order.FencingToken)}});
  Change->Call = Options.Client.fetch(
      Replica->Address, Options.Protocols.EncodeOrder(Order),
      Options.CallTimeout,
      [this, ReplicaId, StartedAtMs = Replica->StartedAtMs](
          const call_completion &End, const http_response &Response) {
        if (End.Result == call_result::Withheld) {
          endChange(ReplicaId);
          return;
        }
        const bool Answered =
            End.Result == call_result::Complete &&
            belongsToReplica(ReplicaId, StartedAtMs, Response);
        onOrderAnswer(ReplicaId, Answered
                                     ? Options.Protocols.DecodeOrder(Response)
                                     : order_outcome::Unknown);
      },
      [this, AcceptsWork = Options.Gate.writeCheck(*Replica)] {
        // Asked on a new connection only, which takes time to establish.
        const time_point WrittenAt = event_loop::now();
        if (!AcceptsWork() || !Options.MayOrder(WrittenAt))
          return false;
        Options.OnOrder(WrittenAt);
        return true;
      });
}

void weight_updater::onOrderAnswer(const std::string &ReplicaId,
                                   order_outcome Outcome) {
  pending_change *Change = findChange(ReplicaId);
  if (!Change)
    return;
  switch (Outcome) {
  case order_outcome::Accepted:
  case order_outcome::Unknown:
    // If the order got no response, the next report shows whether the replica
    // has accepted it.
    requestReportLater(ReplicaId);
    return;
  case order_outcome::AlreadyLoaded:
    Options.Directory.setVersion(ReplicaId, Change->Planned.Model,
                                 Change->Planned.Version);
    endChange(ReplicaId);
    Options.OnVersionChanged();
    return;
  case order_outcome::Fenced:
    logInfo("order_fenced", {{"replica", ReplicaId}});
    endChange(ReplicaId);
    Options.OnFenced();
    return;
  case order_outcome::Conflict:
  case order_outcome::WrongReplica:
  case order_outcome::Invalid:
    logInfo("order_refused", {{"replica", ReplicaId},
                              {"outcome", std::to_string(int(Outcome))}});
    RetryNotBefore[ReplicaId] = event_loop::now() + FailureRetryDelay;
    endChange(ReplicaId);
    return;
  }
}

void weight_updater::requestReportLater(const std::string &ReplicaId) {
  if (pending_change *Change = findChange(ReplicaId))
    Change->Timer =
        Options.Loop.after(Options.ReportInterval,
                           [this, ReplicaId] { requestReport(ReplicaId); });
}

void weight_updater::endChange(const std::string &ReplicaId) {
  const auto It = Changes.find(ReplicaId);
  if (It == Changes.end())
    return;
  // The call may be the one whose callback is running, so it is destroyed
  // later.
  Options.Loop.post([Call = std::move(It->second.Call)] {});
  Changes.erase(It);
}

} // namespace cardamom
