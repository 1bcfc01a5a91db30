#include "gateway/leader_election.h"

#include "base/bounded_json.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/percent_encoding.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "jobs/inner_paths.h"
#include "policy/fleet_rank.h"

#include <algorithm>
#include <stdexcept>

namespace cardamom {

using nlohmann::json;

/// Far above any number of changes of holder, and below a token whose successor
/// would overflow.
static constexpr uint64_t MaxFencingToken = uint64_t(1) << 53;

static json encodeLease(const pool_lease_record &Record) {
  return {{"holder", Record.Holder},
          {"incarnation", Record.Incarnation},
          {"address", Record.Address},
          {"token", Record.FencingToken},
          {"settle_ms", Record.SettleTime.count()},
          {"revision", Record.Revision}};
}

/// A lease that another writer has overwritten in an invalid form counts as
/// released. Each new token costs a revision of the store, so the revision is
/// an upper bound on all tokens so far. Its last holder is unknown and may act
/// for LeaseLength.
static pool_lease_record decodeLease(const stored_object &Object,
                                     milliseconds LeaseLength) {
  const std::string Holder = textOr(Object.Spec, "holder", "?");
  const uint64_t Token = countOr(Object.Spec, "token");
  if (Holder == "?" || Token == 0 || Token > MaxFencingToken) {
    logError(
        "lease_unreadable",
        {{"name", Object.Name}, {"revision", std::to_string(Object.Revision)}});
    return {.FencingToken = Object.Revision,
            .SettleTime = LeaseLength,
            .Revision = Object.Revision};
  }
  const milliseconds MaxSettleTime = 2 * LeaseLength;
  const uint64_t SettleMs = countOr(Object.Spec, "settle_ms");
  return {.Holder = Holder,
          .Incarnation = textOr(Object.Spec, "incarnation"),
          .Address = textOr(Object.Spec, "address"),
          .FencingToken = Token,
          .SettleTime =
              milliseconds(std::min(SettleMs, uint64_t(MaxSettleTime.count()))),
          .Revision = Object.Revision};
}

leader_election::leader_election(leader_election_options Options)
    : Options(std::move(Options)),
      Lease({.Self = this->Options.Self,
             .Incarnation = this->Options.Incarnation,
             .Address = this->Options.InnerAddress,
             .Duration = this->Options.LeaseLength,
             .StartedAt = event_loop::now()}) {}

leader_election::~leader_election() = default;

void leader_election::start() {
  readLease();
  tick();
}

std::string leader_election::holderAddress() const {
  return Lease.holds() ? std::string() : Lease.record().Address;
}

json leader_election::encodedLease() const {
  return encodeLease(Lease.record());
}

bool leader_election::isServing(time_point Now) const {
  if (!IsLeader || Released ||
      (YieldedAt != time_point{} && Now - YieldedAt < Options.YieldDuration))
    return false;
  const async_store_client &Store = Options.Store;
  const bool HasStore = Store.reachable() ||
                        Now - Store.outageStartedAt() < Options.MaxStoreOutage;
  return HasStore && Options.CanServe(Now);
}

bool leader_election::hasSettled(time_point Now) const {
  const bool IsFirstHolder = Lease.record().FencingToken == 1;
  return Lease.holds() &&
         (IsFirstHolder || Now - ElectedAt >= Options.LeaseLength);
}

void leader_election::renewIfDue(time_point Now) {
  if (Lease.shouldRenew(Now))
    renew();
}

void leader_election::startLeading(const std::string &Predecessor) {
  IsLeader = true;
  YieldedAt = {};
  ElectedAt = event_loop::now();
  ProbeFailures = 0;
  HolderDown = false;
  watchLease();
  Options.OnElected(Predecessor);
}

void leader_election::stopLeading(std::string_view Reason) {
  IsLeader = false;
  // This function may be called from a callback of the watcher.
  Options.Loop.post(
      [Watcher = std::shared_ptr<object_watcher>(std::move(LeaseWatcher))] {});
  Options.OnStoppedLeading(Reason);
}

void leader_election::checkSuccessor(const json &SuccessorLease) const {
  if (!SuccessorLease.is_object() || !SuccessorLease.contains("revision"))
    throw std::invalid_argument("not a lease");
  if (countOr(SuccessorLease, "revision") < Lease.record().Revision)
    throw std::invalid_argument("the lease is older than one seen before");
}

void leader_election::onSuccessor(const json &SuccessorLease) {
  checkSuccessor(SuccessorLease);
  stored_object Object;
  Object.Spec = SuccessorLease;
  Object.Revision = countOr(SuccessorLease, "revision");
  observeLease(Object);
}

std::optional<milliseconds>
leader_election::settleTimeFor(const json &SuccessorLease,
                               time_point Now) const {
  return Lease.settleTimeFor(countOr(SuccessorLease, "token"), Now);
}

void leader_election::release() {
  const bool WasHolder = Lease.holds();
  Released = true;
  TickTimer.reset();
  if (!WasHolder)
    return;
  const pool_lease_record Record = Lease.release(event_loop::now());
  object_request Request{.Op = object_op::Replace,
                         .Kind = Options.LeaseKind,
                         .Name = Options.Name,
                         .Value = encodeLease(Record),
                         .ExpectedRevision = Record.Revision};
  logInfo("lease_released", {{"pool", Options.Name}});
  Options.Store.call(Request, [](const object_reply & /*Reply*/) {});
}

void leader_election::observeLease(const stored_object &Object) {
  const std::string PreviousHolder = Lease.record().Holder;
  LeaseAbsent = Object.Removed;
  if (LeaseAbsent)
    Lease.observeAbsent();
  else
    Lease.observe(decodeLease(Object, Options.LeaseLength), event_loop::now());
  if (Lease.record().Holder != PreviousHolder) {
    HolderDown = false;
    ProbeFailures = 0;
    // The former holder's answer says nothing about the new one.
    ProbeCall.reset();
    Probing = false;
    logInfo("lease_seen",
            {{"pool", Options.Name},
             {"holder", Lease.record().Holder},
             {"token", std::to_string(Lease.record().FencingToken)},
             {"revision", std::to_string(Lease.record().Revision)}});
  }
  // After the lease was released, the holder continues until there is a
  // successor.
  const bool WithoutSuccessor = Released && Lease.record().Holder.empty();
  if (IsLeader && !Lease.holds() && !WithoutSuccessor)
    stopLeading("another process holds the lease");
  if (Lease.mayAcquire(HolderDown))
    scheduleAcquire();
}

void leader_election::tick() {
  LastTickAt = event_loop::now();
  TickTimer = Options.Loop.after(Options.ProbeInterval, [this] {
    const time_point Now = event_loop::now();
    const std::string Address = holderAddress();
    const bool ProbeNow = isLikelySuccessor() || ProbeFailures > 0 ||
                          Now - LastProbeAt >= Options.SlowProbeInterval;
    if (Lease.holds())
      checkForPause(Now);
    else if (!Address.empty() && ProbeNow)
      probeHolder(Address);
    else if (Lease.mayAcquire(false))
      scheduleAcquire();
    tick();
  });
}

bool leader_election::isLikelySuccessor() const {
  return Options.Rank() < Options.LikelySuccessors;
}

void leader_election::onCandidateProbe(std::string_view Name) {
  const time_point Now = event_loop::now();
  const bool YieldedRecently =
      YieldedAt != time_point{} && Now - YieldedAt < Options.MinYieldInterval;
  if (Name.empty() || YieldedRecently || Released ||
      Now - ElectedAt < Options.StartGrace || !Options.HasHigherCpuClass(Name))
    return;
  logInfo("stepping_back",
          {{"pool", Options.Name}, {"for", std::string(Name)}});
  YieldedAt = Now;
}

void leader_election::checkForPause(time_point Now) {
  const bool Paused = Now - LastTickAt > Options.PauseThreshold;
  if (Paused)
    logInfo("pause_detected",
            {{"pool", Options.Name},
             {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                       Now - LastTickAt)
                                       .count())}});
  if (Paused)
    readLease();
}

void leader_election::probeHolder(const std::string &Address) {
  if (Probing)
    return;
  Probing = true;
  LastProbeAt = event_loop::now();
  const bool Candidate =
      !Released && Options.Store.reachable() && isLikelySuccessor();
  const http_request Request{
      .Method = "GET",
      .Target = std::string(InnerAlivePath) +
                "?pool=" + percentEncode(Options.Name) +
                (Candidate ? "&from=" + Options.Self : std::string()),
      .Headers = {{"Host", Address}},
      .Body = {}};
  ProbeCall = Options.Client.fetch(
      Address, Request, Options.ProbeTimeout,
      [this](const call_completion &End, const http_response &Response) {
        Probing = false;
        onProbeAnswer(End, Response.Status);
      });
}

void leader_election::onProbeAnswer(const call_completion &End,
                                    unsigned Status) {
  static constexpr unsigned StatusOk = 200;
  static constexpr unsigned StatusUnavailable = 503;
  const bool Answered = End.Result == call_result::Complete;
  if (Answered && Status == StatusOk) {
    ProbeFailures = 0;
    HolderDown = false;
    return;
  }
  // After an outage of the store, the holder may not have noticed yet that the
  // store is reachable again.
  const async_store_client &Store = Options.Store;
  const bool AfterOutage =
      !Store.reachable() ||
      event_loop::now() - Store.outageEndedAt() < Options.OutageGrace;
  if (Answered && Status == StatusUnavailable && AfterOutage &&
      Store.outageEndedAt() != time_point{})
    return;
  if (!Store.reachable())
    return;
  // A response that reports that the holder cannot serve needs no second probe.
  ProbeFailures += Answered ? Options.MaxProbeFailures : 1;
  if (ProbeFailures < Options.MaxProbeFailures)
    return;
  if (!HolderDown)
    logInfo("holder_down", {{"pool", Options.Name},
                            {"holder", Lease.record().Holder},
                            {"status", std::to_string(Status)},
                            {"detail", End.Detail}});
  HolderDown = true;
  // Another process may already have taken over the lease.
  readLease();
}

void leader_election::scheduleAcquire() {
  if (AcquireTimer || WritingLease || Released)
    return;
  const auto Delay =
      takeoverDelay(Options.Rank(), Options.Random()) +
      (LeaseAbsent ? Options.FirstAcquireDelay : milliseconds(0));
  AcquireTimer = Options.Loop.after(Delay, [this] {
    AcquireTimer.reset();
    acquire();
  });
}

void leader_election::acquire() {
  if (WritingLease || Released || !Lease.mayAcquire(HolderDown) ||
      !Options.Store.reachable())
    return;
  writeLease(Lease.proposedRecord(event_loop::now()), /*Renewal=*/false);
}

void leader_election::renew() {
  if (WritingLease || Released || !Lease.holds())
    return;
  writeLease(Lease.proposedRecord(event_loop::now()), /*Renewal=*/true);
}

void leader_election::writeLease(const pool_lease_record &Record,
                                 bool Renewal) {
  WritingLease = true;
  json Value = encodeLease(Record);
  // The store assigns no new revision to a write that changes nothing, but a
  // renewal needs one.
  Value["write_id"] = Options.NewId();
  object_request Request{.Op = Record.Revision == 0 ? object_op::Create
                                                    : object_op::Replace,
                         .Kind = Options.LeaseKind,
                         .Name = Options.Name,
                         .Value = std::move(Value)};
  if (Record.Revision != 0)
    Request.ExpectedRevision = Record.Revision;
  const time_point SentAt = event_loop::now();
  Options.Store.call(Request, [this, Weak = std::weak_ptr<bool>(Alive), Record,
                               Renewal, SentAt](const object_reply &Reply) {
    if (Weak.expired())
      return;
    WritingLease = false;
    if (Reply.Outcome == object_outcome::Done && !Reply.Objects.empty()) {
      const std::string Predecessor = Lease.record().Address;
      pool_lease_record Written = Record;
      Written.Revision = Reply.Objects.front().Revision;
      Lease.onWritten(Written, SentAt, event_loop::now());
      if (!Renewal)
        startLeading(Predecessor);
      return;
    }
    logInfo("lease_write_failed",
            {{"pool", Options.Name},
             {"outcome", std::string(toString(Reply.Outcome))},
             {"detail", Reply.Detail}});
    readLease();
  });
}

void leader_election::readLease() {
  if (ReadingLease)
    return;
  ReadingLease = true;
  Options.Store.whenReachable([this, Weak = std::weak_ptr<bool>(Alive)] {
    if (Weak.expired())
      return;
    Options.Store.call(
        {.Op = object_op::Get, .Kind = Options.LeaseKind, .Name = Options.Name},
        [this, Weak](const object_reply &Reply) {
          if (Weak.expired())
            return;
          ReadingLease = false;
          if (Reply.Outcome == object_outcome::Done && !Reply.Objects.empty()) {
            const std::string Predecessor = Lease.record().Address;
            const bool WasHolder = Lease.holds();
            observeLease(Reply.Objects.front());
            if (Lease.holds() && !WasHolder && !IsLeader && !Released)
              startLeading(Predecessor);
          } else if (Reply.Outcome == object_outcome::NotFound) {
            stored_object Absent;
            Absent.Removed = true;
            observeLease(Absent);
          } else {
            readLease();
          }
        });
  });
}

/// Detects a successor. Without the watch, the former holder could serve
/// readers for seconds longer and would not return the results that its
/// successor has already listed.
void leader_election::watchLease() {
  const auto Observe = [this](const stored_object &Object) {
    if (Object.Name == Options.Name)
      observeLease(Object);
  };
  LeaseWatcher = std::make_unique<object_watcher>(
      Options.Loop, Options.Store,
      object_watcher_options{.Kind = Options.LeaseKind,
                             .OnSnapshot =
                                 [Observe](std::span<const stored_object> All) {
                                   for (const stored_object &Object : All)
                                     Observe(Object);
                                 },
                             .OnChange = Observe,
                             .MaxAge = Options.LeaseLength});
  LeaseWatcher->start();
}

void leader_election::confirmLease(std::function<void()> OnConfirmed) {
  Options.Store.call(
      {.Op = object_op::Get, .Kind = Options.LeaseKind, .Name = Options.Name},
      [this, Weak = std::weak_ptr<bool>(Alive),
       OnConfirmed = std::move(OnConfirmed)](const object_reply &Reply) {
        if (Weak.expired())
          return;
        if (Reply.Outcome == object_outcome::Done && !Reply.Objects.empty()) {
          observeLease(Reply.Objects.front());
          if (Lease.holds())
            OnConfirmed();
          return;
        }
        if (Lease.holds())
          Options.Store.whenReachable([this, Weak, OnConfirmed] {
            if (!Weak.expired())
              confirmLease(OnConfirmed);
          });
      });
}

void leader_election::onLeaseAnnounced(const json &Announced) {
  if (!Announced.is_object() || !Announced.contains("revision"))
    throw std::invalid_argument("not a lease");
  stored_object Object;
  Object.Spec = Announced;
  Object.Revision = countOr(Announced, "revision");
  if (Object.Revision > Lease.record().Revision)
    observeLease(Object);
}

void leader_election::announceLease() {
  AnnouncementCalls.clear();
  for (const std::string &Address : Options.Standbys(Options.Name)) {
    const http_request Notice{.Method = "POST",
                              .Target = std::string(InnerLeasePath) +
                                        "?pool=" + percentEncode(Options.Name),
                              .Headers = {{"Host", Address}},
                              .Body = toJsonText(encodeLease(Lease.record()))};
    AnnouncementCalls.push_back(
        Options.Client.fetch(Address, Notice, Options.ProbeTimeout,
                             [](const call_completion & /*End*/,
                                const http_response & /*Response*/) {}));
  }
}

} // namespace cardamom
