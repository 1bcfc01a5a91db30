#include "jobs/pool_role.h"

#include "base/log.h"
#include "base/metrics.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "jobs/checkpoint_keeper.h"
#include "jobs/inner_paths.h"
#include "jobs/job_document.h"
#include "policy/fleet_rank.h"
#include "policy/rendezvous.h"

#include <algorithm>
#include <stdexcept>

namespace cardamom {

using nlohmann::json;

/// Checkpoints go to one of this many stand-bys, the best ones, and to one of
/// this many keepers.
static constexpr size_t CheckpointStandBys = 3;
static constexpr size_t CheckpointKeepers = 3;

static json encodeLease(const pool_lease_record &Record) {
  return {{"holder", Record.Holder},
          {"incarnation", Record.Incarnation},
          {"address", Record.Address},
          {"token", Record.Token},
          {"revision", Record.Revision}};
}

static pool_lease_record decodeLease(const stored_object &Object) {
  pool_lease_record Record{.Revision = Object.Revision};
  if (!Object.Spec.is_object())
    return Record;
  Record.Holder = Object.Spec.value("holder", "");
  Record.Incarnation = Object.Spec.value("incarnation", "");
  Record.Address = Object.Spec.value("address", "");
  Record.Token = Object.Spec.value("token", uint64_t(0));
  return Record;
}

pool_role::pool_role(pool_role_options Options)
    : Options(std::move(Options)),
      Lease({.Self = this->Options.Self,
             .Incarnation = this->Options.Incarnation,
             .Address = this->Options.InnerAddress,
             .Length = this->Options.LeaseLength}) {}

pool_role::~pool_role() = default;

std::string pool_role::schedulerAddress() const {
  return Lease.holds() ? std::string() : Lease.record().Address;
}

bool pool_role::serving(time_point Now) const {
  const object_link &Link = Options.Scheduler.Link;
  if (Released || (SteppedBackAt != time_point{} &&
                   Now - SteppedBackAt < Options.StepBackTime))
    return false;
  const bool HasStore =
      Link.reachable() || Now - Link.lostAt() < Options.MaxStoreSilence;
  // One that has just begun is on its way, and need not be replaced.
  const bool Starting = Now - StartedAt < Options.StartGrace;
  const bool HasJobs = JobWatcher && JobWatcher->ready();
  return Scheduler && HasStore && (HasJobs || Starting);
}

void pool_role::start() {
  reread();
  tick();
}

void pool_role::observe(const stored_object &Object) {
  const std::string Former = Lease.record().Holder;
  LeaseAbsent = Object.Removed || Object.Spec.is_null();
  if (LeaseAbsent)
    Lease.observeAbsent();
  else
    Lease.observe(decodeLease(Object), event_loop::now());
  if (Lease.record().Holder != Former) {
    HolderDown = false;
    AskFailed = 0;
    logState("lease_seen",
             {{"pool", pool()},
              {"holder", Lease.record().Holder},
              {"token", std::to_string(Lease.record().Token)},
              {"revision", std::to_string(Lease.record().Revision)}});
  }
  // After a release the jobs go on until there is a successor.
  const bool WithoutSuccessor = Released && Lease.record().Holder.empty();
  if (Scheduler && !Lease.holds() && !WithoutSuccessor)
    stepDown("another process holds the lease");
  if (Lease.mayAcquire(HolderDown))
    acquireSoon();
}

void pool_role::tick() {
  TickedAt = event_loop::now();
  AskTimer = Options.Scheduler.Loop.after(Options.AskInterval, [this] {
    const time_point Now = event_loop::now();
    const std::string Address = schedulerAddress();
    const bool AskNow = isLikelySuccessor() || AskFailed > 0 ||
                        Now - AskedAt >= Options.SlowAskInterval;
    if (Lease.holds())
      checkOwnLease(Now);
    else if (!Address.empty() && AskNow)
      ask(Address);
    else if (Lease.mayAcquire(false))
      acquireSoon();
    tick();
  });
}

bool pool_role::isLikelySuccessor() const {
  return Options.Rank() < Options.LikelySuccessors;
}

void pool_role::onCandidate(std::string_view Name) {
  const time_point Now = event_loop::now();
  const bool Recently = SteppedBackAt != time_point{} &&
                        Now - SteppedBackAt < Options.StepBackInterval;
  if (Name.empty() || Recently || Released ||
      Now - StartedAt < Options.StartGrace || !Options.IsLarger(Name))
    return;
  logState("stepping_back", {{"pool", pool()}, {"for", std::string(Name)}});
  SteppedBackAt = Now;
}

void pool_role::checkOwnLease(time_point Now) {
  const bool Paused = Now - TickedAt > Options.PauseLimit;
  if (Paused)
    logState("pause_detected",
             {{"pool", pool()},
              {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                        Now - TickedAt)
                                        .count())}});
  if (Paused)
    reread();
}

void pool_role::ask(const std::string &Address) {
  if (Asking)
    return;
  Asking = true;
  AskedAt = event_loop::now();
  const bool Candidate =
      !Released && Options.Scheduler.Link.reachable() && isLikelySuccessor();
  const http_request Question{
      .Method = "GET",
      .Target = std::string(InnerAlivePath) + "?pool=" + percentEncode(pool()) +
                (Candidate ? "&from=" + Options.Self : std::string()),
      .Headers = {{"Host", Address}},
      .Body = {}};
  AskCall = Options.Scheduler.Client.fetch(
      Address, Question, Options.AskTimeout,
      [this](const call_end &End, const http_response &Response) {
        Asking = false;
        onAsked(End, Response.Status);
      });
}

void pool_role::onAsked(const call_end &End, unsigned Status) {
  static constexpr unsigned StatusOk = 200;
  static constexpr unsigned StatusUnavailable = 503;
  const bool Answered = End.Result == call_result::Complete;
  if (Answered && Status == StatusOk) {
    AskFailed = 0;
    HolderDown = false;
    return;
  }
  // After an outage of the whole store the holder may not know yet that it is
  // over.
  const object_link &Link = Options.Scheduler.Link;
  const bool AfterOutage =
      !Link.reachable() ||
      event_loop::now() - Link.backAt() < Options.OutageGrace;
  if (Answered && Status == StatusUnavailable && AfterOutage &&
      Link.backAt() != time_point{})
    return;
  if (!Link.reachable())
    return;
  // An answer other than "serving" needs no second question.
  AskFailed += Answered ? Options.AskFailures : 1;
  if (AskFailed < Options.AskFailures)
    return;
  if (!HolderDown)
    logState("holder_down", {{"pool", pool()},
                             {"holder", Lease.record().Holder},
                             {"status", std::to_string(Status)},
                             {"detail", End.Detail}});
  HolderDown = true;
  // Another process may have taken over already.
  reread();
}

void pool_role::acquireSoon() {
  if (AcquireTimer || Writing || Released)
    return;
  const auto Wait = takeoverDelay(Options.Rank(), Options.Random()) +
                    (LeaseAbsent ? Options.FirstAcquireDelay : milliseconds(0));
  AcquireTimer = Options.Scheduler.Loop.after(Wait, [this] {
    AcquireTimer.reset();
    acquire();
  });
}

void pool_role::acquire() {
  if (Writing || Released || !Lease.mayAcquire(HolderDown) ||
      !Options.Scheduler.Link.reachable())
    return;
  write(Lease.proposal(), /*Renewal=*/false);
}

void pool_role::renew() {
  if (Writing || Released || !Lease.holds())
    return;
  write(Lease.proposal(), /*Renewal=*/true);
}

void pool_role::write(const pool_lease_record &Record, bool Renewal) {
  Writing = true;
  json Value = encodeLease(Record);
  // A write that changes nothing gets no new revision, and a renewal must have
  // one.
  Value["write_id"] = Options.Scheduler.NewId();
  object_request Request{.Op = Record.Revision == 0 ? object_op::Create
                                                    : object_op::Replace,
                         .Kind = Options.LeaseKind,
                         .Name = pool(),
                         .Value = std::move(Value)};
  if (Record.Revision != 0)
    Request.Revision = Record.Revision;
  const time_point SentAt = event_loop::now();
  Options.Scheduler.Link.call(Request, [this, Weak = std::weak_ptr<bool>(Alive),
                                        Record, Renewal,
                                        SentAt](const object_reply &Reply) {
    if (Weak.expired())
      return;
    Writing = false;
    if (Reply.Outcome == object_outcome::Done && !Reply.Objects.empty()) {
      const std::string Predecessor = Lease.record().Address;
      pool_lease_record Written = Record;
      Written.Revision = Reply.Objects.front().Revision;
      Lease.onWritten(Written, SentAt, event_loop::now());
      if (!Renewal)
        becomeScheduler(Predecessor);
      return;
    }
    logState("lease_write_failed",
             {{"pool", pool()},
              {"outcome", std::string(toString(Reply.Outcome))},
              {"detail", Reply.Detail}});
    reread();
  });
}

/// Reads the lease back: the write may have been done although its answer was
/// lost, or another process may hold the lease.
void pool_role::reread() {
  if (Rereading)
    return;
  Rereading = true;
  Options.Scheduler.Link.whenReachable([this,
                                        Weak = std::weak_ptr<bool>(Alive)] {
    if (Weak.expired())
      return;
    Options.Scheduler.Link.call(
        {.Op = object_op::Get, .Kind = Options.LeaseKind, .Name = pool()},
        [this, Weak](const object_reply &Reply) {
          if (Weak.expired())
            return;
          Rereading = false;
          if (Reply.Outcome == object_outcome::Done && !Reply.Objects.empty()) {
            const std::string Predecessor = Lease.record().Address;
            const bool Held = Lease.holds();
            observe(Reply.Objects.front());
            if (Lease.holds() && !Held && !Scheduler && !Released)
              becomeScheduler(Predecessor);
          } else if (Reply.Outcome == object_outcome::NotFound) {
            stored_object Absent;
            Absent.Removed = true;
            observe(Absent);
          } else {
            reread();
          }
        });
  });
}

/// Learns of a successor. A holder that served on for seconds would show
/// readers fewer results than its successor has shown them.
void pool_role::watchLease() {
  const auto See = [this](const stored_object &Object) {
    if (Object.Name == pool())
      observe(Object);
  };
  LeaseWatcher = std::make_unique<object_watcher>(
      Options.Scheduler.Loop, Options.Scheduler.Link,
      object_watcher_options{.Kind = Options.LeaseKind,
                             .OnSnapshot =
                                 [See](std::span<const stored_object> All) {
                                   for (const stored_object &Object : All)
                                     See(Object);
                                 },
                             .OnChange = See});
  LeaseWatcher->start();
}

void pool_role::confirmLease(std::function<void()> Go) {
  Options.Scheduler.Link.call(
      {.Op = object_op::Get, .Kind = Options.LeaseKind, .Name = pool()},
      [this, Weak = std::weak_ptr<bool>(Alive),
       Go = std::move(Go)](const object_reply &Reply) {
        if (Weak.expired())
          return;
        if (Reply.Outcome == object_outcome::Done && !Reply.Objects.empty()) {
          observe(Reply.Objects.front());
          if (Lease.holds())
            Go();
          return;
        }
        if (Lease.holds())
          Options.Scheduler.Link.whenReachable([this, Weak, Go] {
            if (!Weak.expired())
              confirmLease(Go);
          });
      });
}

void pool_role::learnLease(const json &Told) {
  if (!Told.is_object() || !Told.contains("revision"))
    throw std::invalid_argument("not a lease");
  stored_object Object;
  Object.Spec = Told;
  Object.Revision = Told.value("revision", uint64_t(0));
  if (Object.Revision > Lease.record().Revision)
    observe(Object);
}

/// Saves the other gateways a read of the lease. One that misses the notice
/// gets no answer from the former holder and then reads the lease.
void pool_role::tellOthers() {
  Notices.clear();
  for (const std::string &Address : Options.StandBys(pool())) {
    const http_request Notice{.Method = "POST",
                              .Target = std::string(InnerLeasePath) +
                                        "?pool=" + percentEncode(pool()),
                              .Headers = {{"Host", Address}},
                              .Body = encodeLease(Lease.record()).dump()};
    Notices.push_back(Options.Scheduler.Client.fetch(
        Address, Notice, Options.AskTimeout,
        [](const call_end & /*End*/, const http_response & /*Response*/) {}));
  }
}

void pool_role::becomeScheduler(const std::string &PredecessorAddress) {
  KeepersAsked = false;
  dropLastProgress();
  SteppedBackAt = {};
  AcquiredAtRevision = Lease.record().Revision;
  StartedAt = event_loop::now();
  AskFailed = 0;
  HolderDown = false;
  logState("scheduler_started",
           {{"pool", pool()}, {"token", std::to_string(Lease.record().Token)}});
  metrics::get().counter("scheduler_starts_total").add();
  job_scheduler_options SchedulerOptions = Options.Scheduler;
  SchedulerOptions.ChangingWeights = [this](std::string_view Replica,
                                            std::string_view Model) {
    return Weights && Weights->changing(Replica, Model);
  };
  SchedulerOptions.ConfirmLease = [this](std::function<void()> Go) {
    confirmLease(std::move(Go));
  };
  Scheduler = std::make_unique<job_scheduler>(std::move(SchedulerOptions));
  watchLease();
  Weights = std::make_unique<weight_driver>(weight_driver_options{
      .Loop = Options.Scheduler.Loop,
      .Client = Options.Scheduler.Client,
      .Directory = Options.Scheduler.Directory,
      .Protocols = Options.Scheduler.Protocols,
      .Pool = pool(),
      .Holder = Options.Self,
      .FencingToken = Lease.record().Token,
      .MayOrder =
          [this](time_point Now) {
            if (Lease.shouldRenew(Now))
              renew();
            return Lease.mayAct(Now);
          },
      .WantLease = [this] { renew(); },
      .RunningOn =
          [this](std::string_view Replica) {
            return Scheduler ? Scheduler->runningOn(Replica) : 0;
          },
      .FinishRunsFirst = Options.SingleVersion,
      .OnFenced = [this] { reread(); },
      .OnChanged = [this] { replicasChanged(); }});
  if (PredecessorAddress.empty())
    startWatching();
  else if (PredecessorAddress == Options.InnerAddress)
    askForCheckpoint(standBysWithCheckpoint());
  else
    askForHandover(PredecessorAddress);
}

void pool_role::askForHandover(const std::string &Address) {
  const http_request Question{.Method = "POST",
                              .Target = std::string(InnerHandoverPath) +
                                        "?pool=" + percentEncode(pool()),
                              .Headers = {{"Host", Address}},
                              .Body = encodeLease(Lease.record()).dump()};
  HandoverCall = Options.Scheduler.Client.fetch(
      Address, Question, Options.HandoverTimeout,
      [this](const call_end &End, const http_response &Response) {
        if (!Scheduler)
          return;
        const bool Stopped =
            End.Result == call_result::Complete && Response.Status == 200;
        if (Stopped)
          Lease.predecessorStopped(event_loop::now());
        else
          logState("handover_failed",
                   {{"pool", pool()},
                    {"result", std::string(toString(End.Result))},
                    {"status", std::to_string(Response.Status)}});
        // A predecessor that has restarted has no progress.
        if (Stopped && takeProgress(Response.Body, "predecessor") > 0)
          startWatching();
        else
          askForCheckpoint(standBysWithCheckpoint());
      });
}

/// The predecessor used one of these, or this process, because each leaves
/// itself out.
std::vector<std::string> pool_role::standBysWithCheckpoint() const {
  std::vector<std::string> Addresses = Options.StandBys(pool());
  if (Addresses.size() > CheckpointStandBys)
    Addresses.resize(CheckpointStandBys);
  return Addresses;
}

/// The predecessor is gone: what it has sent to its stand-by and to a keeper
/// is all there is.
void pool_role::askForCheckpoint(std::vector<std::string> Addresses) {
  if (!Checkpoint.empty() && takeProgress(Checkpoint, "own checkpoint") > 0) {
    startWatching();
    return;
  }
  if (Addresses.empty()) {
    if (KeepersAsked)
      startWatching();
    else
      findKeepers();
    return;
  }
  const std::string Address = Addresses.front();
  Addresses.erase(Addresses.begin());
  const http_request Question{.Method = "GET",
                              .Target = std::string(InnerCheckpointPath) +
                                        "?pool=" + percentEncode(pool()),
                              .Headers = {{"Host", Address}},
                              .Body = {}};
  HandoverCall = Options.Scheduler.Client.fetch(
      Address, Question, Options.HandoverTimeout,
      [this, Address, Addresses = std::move(Addresses)](
          const call_end &End, const http_response &Response) {
        if (!Scheduler)
          return;
        if (End.Result == call_result::Complete && Response.Status == 200 &&
            takeProgress(Response.Body, Address) > 0)
          startWatching();
        else
          askForCheckpoint(Addresses);
      });
}

/// All gateways may have lost power; keepers have a disk.
void pool_role::findKeepers() {
  KeepersAsked = true;
  Options.Scheduler.Link.call(
      {.Op = object_op::List, .Kind = std::string(KeeperKind)},
      [this, Weak = std::weak_ptr<bool>(Alive)](const object_reply &Reply) {
        if (Weak.expired() || !Scheduler)
          return;
        std::vector<std::pair<uint64_t, std::string>> Ranked;
        for (const stored_object &Object : Reply.Objects)
          if (Object.Spec.is_object())
            Ranked.emplace_back(rendezvousScore(pool(), Object.Name),
                                Object.Spec.value("address", ""));
        std::sort(Ranked.rbegin(), Ranked.rend());
        Keepers.clear();
        for (const auto &[Score, Address] : Ranked)
          if (Keepers.size() < CheckpointKeepers && !Address.empty())
            Keepers.push_back(Address);
        if (!JobWatcher)
          askForCheckpoint(Keepers);
        // A failed list is repeated before the next checkpoint.
        KeepersAsked = Reply.Outcome == object_outcome::Done;
      });
}

size_t pool_role::takeProgress(std::string_view Document,
                               std::string_view Source) {
  try {
    const json Progress =
        json::parse(Document, nullptr, /*allow_exceptions=*/false);
    Scheduler->importProgress(Progress);
    logState("progress_taken", {{"pool", pool()},
                                {"from", std::string(Source)},
                                {"items", std::to_string(Progress.size())}});
    return Progress.size();
  } catch (const std::invalid_argument &Error) {
    logState("progress_unreadable",
             {{"pool", pool()}, {"reason", Error.what()}});
    return 0;
  }
}

void pool_role::sendCheckpoint() {
  CheckpointTimer = Options.Scheduler.Loop.after(Options.CheckpointInterval,
                                                 [this] { sendCheckpoint(); });
  const std::vector<std::string> StandBys = standBysWithCheckpoint();
  if (!Scheduler)
    return;
  if (!KeepersAsked && Options.Scheduler.Link.reachable())
    findKeepers();
  const json Progress = Scheduler->exportProgress(Options.CheckpointMinAge);
  std::string Document =
      Progress.dump(-1, ' ', false, json::error_handler_t::replace);
  if (Document == Checkpoint)
    return;
  Checkpoint = Document;
  if (!StandBys.empty())
    CheckpointCall = sendCheckpointTo(StandBys[StandBy % StandBys.size()],
                                      Document, StandBy);
  if (!Keepers.empty())
    KeeperCall =
        sendCheckpointTo(Keepers[Keeper % Keepers.size()], Document, Keeper);
}

/// A checkpoint that is lost is replaced by the next, which goes elsewhere.
std::shared_ptr<client_call_state>
pool_role::sendCheckpointTo(const std::string &Address,
                            const std::string &Document, size_t &Index) {
  const http_request Notice{.Method = "POST",
                            .Target = std::string(InnerCheckpointPath) +
                                      "?pool=" + percentEncode(pool()),
                            .Headers = {{"Host", Address}},
                            .Body = Document};
  return Options.Scheduler.Client.fetch(
      Address, Notice, Options.CheckpointInterval,
      [&Index](const call_end &End, const http_response & /*Response*/) {
        if (End.Result != call_result::Complete)
          ++Index;
      });
}

json pool_role::handOver(const json &SuccessorLease) {
  stored_object Object;
  Object.Spec = SuccessorLease;
  if (!SuccessorLease.is_object() || !SuccessorLease.contains("revision"))
    throw std::invalid_argument("not a lease");
  Object.Revision = SuccessorLease.value("revision", uint64_t(0));
  if (Object.Revision < Lease.record().Revision)
    throw std::invalid_argument("the lease is older than one seen before");
  json Progress =
      Scheduler ? Scheduler->exportProgress() : std::move(LastProgress);
  dropLastProgress();
  logState("handover_given", {{"pool", pool()},
                              {"to", SuccessorLease.value("holder", "")},
                              {"items", std::to_string(Progress.size())}});
  observe(Object);
  stepDown("handed over");
  dropLastProgress();
  return Progress;
}

void pool_role::startWatching() {
  // Sent after the hand-over, because it stops the predecessor's scheduler.
  tellOthers();
  Checkpoint.clear();
  sendCheckpoint();
  JobWatcher = std::make_unique<object_watcher>(
      Options.Scheduler.Loop, Options.Scheduler.Link,
      object_watcher_options{.Kind = Options.JobKind,
                             .OnSnapshot =
                                 [this](std::span<const stored_object> All) {
                                   for (const stored_object &Object : All)
                                     onJob(Object, /*Listed=*/true);
                                 },
                             .OnChange =
                                 [this](const stored_object &Object) {
                                   onJob(Object, /*Listed=*/false);
                                 }});
  JobWatcher->start();
  const auto OnVersion = [this](const stored_object &Object) {
    // Between stepping down and the end of this watch there is no driver.
    if (Object.Removed || !Weights)
      return;
    try {
      const named_version Named =
          Options.Scheduler.Protocols.DecodeVersion(Object);
      Weights->setNamed(Named.Model, Named.Version);
    } catch (const std::invalid_argument &Error) {
      logState("version_unreadable",
               {{"object", Object.Name}, {"reason", Error.what()}});
    }
  };
  WeightWatcher = std::make_unique<object_watcher>(
      Options.Scheduler.Loop, Options.Scheduler.Link,
      object_watcher_options{
          .Kind = Options.Scheduler.Protocols.Objects.WeightKind,
          .OnSnapshot =
              [OnVersion](std::span<const stored_object> All) {
                for (const stored_object &Object : All)
                  OnVersion(Object);
              },
          .OnChange = OnVersion});
  WeightWatcher->start();
}

void pool_role::dropLastProgress() {
  LastProgress = json::object();
  LastProgressTimer.reset();
}

void pool_role::stepDown(std::string_view Reason) {
  if (!Scheduler)
    return;
  CheckpointTimer.reset();
  // The watch may report the successor before its hand-over request arrives.
  LastProgress = Scheduler->exportProgress();
  LastProgressTimer = Options.Scheduler.Loop.after(
      Options.KeepProgress, [this] { dropLastProgress(); });
  logState("scheduler_stopped",
           {{"pool", pool()}, {"reason", std::string(Reason)}});
  // Reached from hooks of the objects that are given up.
  Options.Scheduler.Loop.post(
      [Jobs = std::shared_ptr<object_watcher>(std::move(JobWatcher)),
       Versions = std::shared_ptr<object_watcher>(std::move(WeightWatcher)),
       Own = std::shared_ptr<object_watcher>(std::move(LeaseWatcher)),
       Driver = std::shared_ptr<weight_driver>(std::move(Weights)),
       Former = std::shared_ptr<job_scheduler>(std::move(Scheduler))] {});
}

void pool_role::onJob(const stored_object &Object, bool Listed) {
  if (Object.Removed || !Scheduler)
    return;
  try {
    if (Scheduler->knows(Object.Name)) {
      if (isEnded(Object))
        Scheduler->endJob(Object.Name);
      return;
    }
    if (isEnded(Object) || decodeJobDocument(Object).Pool != pool())
      return;
    // A job that was accepted after the lease was taken can have results of
    // this scheduler only, or of one that is about to find out.
    const bool MayHaveResults = Listed || Object.Revision <= AcquiredAtRevision;
    Scheduler->addJob(decodeStoredJob(Object, Options.Scheduler.Protocols),
                      MayHaveResults);
  } catch (const std::invalid_argument &Error) {
    logFault("job_unreadable",
             {{"job", Object.Name}, {"reason", Error.what()}});
  }
}

void pool_role::replicasChanged() {
  if (Scheduler)
    Scheduler->scheduleSoon();
}

void pool_role::release() {
  const bool Held = Lease.holds();
  Released = true;
  AskTimer.reset();
  if (!Held)
    return;
  pool_lease_record Record = Lease.proposal();
  // The address stays, so that a successor can ask for the progress.
  Record.Holder.clear();
  Record.Incarnation.clear();
  object_request Request{.Op = object_op::Replace,
                         .Kind = Options.LeaseKind,
                         .Name = pool(),
                         .Value = encodeLease(Record),
                         .Revision = Record.Revision};
  logState("lease_released", {{"pool", pool()}});
  Options.Scheduler.Link.call(Request, [](const object_reply & /*Reply*/) {});
}

} // namespace cardamom
