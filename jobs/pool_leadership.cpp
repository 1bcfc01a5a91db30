#include "jobs/pool_leadership.h"

#include "base/bounded_json.h"
#include "base/identifier.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/percent_encoding.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "jobs/checkpoint_server.h"
#include "jobs/inner_paths.h"
#include "jobs/job_document.h"
#include "policy/fleet_rank.h"
#include "policy/rendezvous.h"

#include <algorithm>
#include <stdexcept>

namespace cardamom {

using nlohmann::json;

/// Checkpoints are sent to one of this many highest-ranked stand-bys, and to
/// one of this many checkpoint servers.
static constexpr size_t CheckpointStandbyCount = 3;
static constexpr size_t CheckpointServerCount = 3;
/// Maximum age of what the scheduler knows of the jobs and of the named weight
/// versions. An ended job must be stopped within 3 s.
static constexpr milliseconds JobMaxAge{2000};
static constexpr milliseconds WeightMaxAge{2000};
/// A list of jobs makes progress if its last page is at most this old. A page
/// takes milliseconds; a call that fails is repeated within a second.
static constexpr milliseconds ListProgressTime{3000};

pool_leadership::pool_leadership(pool_leadership_options Options)
    : Options(std::move(Options)), Election(makeElectionOptions()) {}

pool_leadership::~pool_leadership() = default;

leader_election_options pool_leadership::makeElectionOptions() {
  leader_election_options Result = Options.Election;
  Result.OnElected = [this](const std::string &Predecessor) {
    startScheduler(Predecessor);
  };
  Result.OnStoppedLeading = [this](std::string_view Reason) {
    stopScheduler(Reason);
  };
  Result.CanServe = [this](time_point Now) { return hasJobs(Now); };
  return Result;
}

bool pool_leadership::hasJobs(time_point Now) const {
  const bool Starting = Now - Election.electedAt() < Options.StartGrace;
  return Scheduler &&
         (Starting || (JobWatcher &&
                       (JobWatcher->ready() ||
                        Now - JobWatcher->listedPageAt() < ListProgressTime)));
}

void pool_leadership::startScheduler(const std::string &PredecessorAddress) {
  CheckpointServersListed = false;
  dropFinalProgress();
  AcquiredAtRevision = Election.record().Revision;
  logInfo("scheduler_started",
          {{"pool", pool()},
           {"token", std::to_string(Election.record().FencingToken)}});
  metrics::get().counter("scheduler_starts_total").add();
  job_scheduler_options SchedulerOptions = Options.Scheduler;
  SchedulerOptions.IsChangingWeights = [this](std::string_view Replica,
                                              std::string_view Model) {
    return WeightUpdater && WeightUpdater->isChanging(Replica, Model);
  };
  SchedulerOptions.JobsAreCurrent = [this](time_point Now) {
    if (!JobWatcher || !Options.Scheduler.Store.reachable() ||
        Now - JobWatcher->confirmedAt() <= JobMaxAge)
      return true;
    JobWatcher->renew();
    return false;
  };
  SchedulerOptions.ConfirmLease = [this](std::function<void()> OnConfirmed) {
    Election.confirmLease(std::move(OnConfirmed));
  };
  Scheduler = std::make_unique<job_scheduler>(std::move(SchedulerOptions));
  WeightUpdater = std::make_unique<weight_updater>(weight_updater_options{
      .Loop = Options.Scheduler.Loop,
      .Client = Options.Scheduler.Client,
      .Directory = Options.Scheduler.Directory,
      .Gate = Options.Scheduler.Gate,
      .Protocols = Options.Scheduler.Protocols,
      .Pool = pool(),
      .Holder = Options.Election.Self,
      .FencingToken = Election.record().FencingToken,
      .MayOrder =
          [this](time_point Now) {
            Election.renewIfDue(Now);
            return Election.mayAct(Now);
          },
      .OnOrder = [this](time_point Now) { Election.onActed(Now); },
      .RunningItemCount =
          [this](std::string_view Replica) {
            return Scheduler ? Scheduler->runningItemCount(Replica) : 0;
          },
      .DrainRunsFirst =
          [this] {
            return Options.SingleVersion() ||
                   (Scheduler && Scheduler->needsSingleVersions());
          },
      .ItemsWaiting =
          [this](std::string_view Model, uint64_t Version) {
            return Scheduler && Scheduler->hasWaitingItems(Model, Version);
          },
      .ModelDemand =
          [this] {
            return Scheduler ? Scheduler->modelDemand()
                             : std::map<std::string, double, std::less<>>();
          },
      .OnFenced = [this] { Election.readLease(); },
      .OnVersionChanged = [this] { onReplicasChanged(); }});
  if (PredecessorAddress.empty())
    completeStart();
  else if (PredecessorAddress == Options.Election.InnerAddress)
    requestCheckpoint(checkpointStandbys());
  else
    requestHandover(PredecessorAddress);
}

static std::optional<milliseconds> settleTimeOf(const http_response &Response) {
  const auto Ms = parseWholeNumber(Response.Headers.get(InnerSettleHeader));
  return Ms ? std::optional(milliseconds(*Ms)) : std::nullopt;
}

void pool_leadership::requestHandover(const std::string &Address) {
  const http_request Request{.Method = "POST",
                             .Target = std::string(InnerHandoverPath) +
                                       "?pool=" + percentEncode(pool()),
                             .Headers = {{"Host", Address}},
                             .Body = toJsonText(Election.encodedLease())};
  HandoverCall = Options.Scheduler.Client.fetch(
      Address, Request, Options.HandoverTimeout,
      [this](const call_completion &End, const http_response &Response) {
        if (!Scheduler)
          return;
        const bool Stopped =
            End.Result == call_result::Complete && Response.Status == 200;
        if (Stopped)
          Election.onPredecessorStopped(settleTimeOf(Response),
                                        event_loop::now());
        else
          logInfo("handover_failed",
                  {{"pool", pool()},
                   {"result", std::string(toString(End.Result))},
                   {"status", std::to_string(Response.Status)}});
        // A predecessor that has restarted returns empty progress.
        if (Stopped && importProgress(Response.Body, "predecessor") > 0)
          completeStart();
        else
          requestCheckpoint(checkpointStandbys());
      });
}

/// Returns the gateways to which checkpoints are sent. The predecessor has sent
/// its checkpoints to one of them or to this process, because the stand-bys of
/// a gateway are all other gateways, in the same order.
std::vector<std::string> pool_leadership::checkpointStandbys() const {
  std::vector<std::string> Addresses = Options.Election.Standbys(pool());
  if (Addresses.size() > CheckpointStandbyCount)
    Addresses.resize(CheckpointStandbyCount);
  return Addresses;
}

/// Used if the predecessor has not handed over its progress: imports the
/// checkpoint that it sent to a stand-by or a checkpoint server.
void pool_leadership::requestCheckpoint(std::vector<std::string> Addresses) {
  if (!Checkpoint.empty() && importProgress(Checkpoint, "own checkpoint") > 0) {
    completeStart();
    return;
  }
  if (Addresses.empty()) {
    if (CheckpointServersListed)
      completeStart();
    else
      findCheckpointServers();
    return;
  }
  const std::string Address = Addresses.front();
  Addresses.erase(Addresses.begin());
  const http_request Request{.Method = "GET",
                             .Target = std::string(InnerCheckpointPath) +
                                       "?pool=" + percentEncode(pool()),
                             .Headers = {{"Host", Address}},
                             .Body = {}};
  HandoverCall = Options.Scheduler.Client.fetch(
      Address, Request, Options.HandoverTimeout,
      [this, Address, Addresses = std::move(Addresses)](
          const call_completion &End, const http_response &Response) {
        if (!Scheduler)
          return;
        if (End.Result == call_result::Complete && Response.Status == 200 &&
            importProgress(Response.Body, Address) > 0)
          completeStart();
        else
          requestCheckpoint(Addresses);
      });
}

/// Reads the addresses of the checkpoint servers from the store. Their
/// checkpoints are on disk and survive a power failure of all gateways.
void pool_leadership::findCheckpointServers() {
  CheckpointServersListed = true;
  Options.Scheduler.Store.call(
      {.Op = object_op::List, .Kind = std::string(CheckpointServerKind)},
      [this, Weak = std::weak_ptr<bool>(Alive)](const object_reply &Reply) {
        if (Weak.expired() || !Scheduler)
          return;
        std::vector<std::pair<uint64_t, std::string>> Ranked;
        for (const stored_object &Object : Reply.Objects)
          Ranked.emplace_back(rendezvousScore(pool(), Object.Name),
                              textOr(Object.Spec, "address"));
        std::sort(Ranked.rbegin(), Ranked.rend());
        CheckpointServers.clear();
        for (const auto &[Score, Address] : Ranked)
          if (CheckpointServers.size() < CheckpointServerCount &&
              !Address.empty())
            CheckpointServers.push_back(Address);
        if (!JobWatcher)
          requestCheckpoint(CheckpointServers);
        // If the request failed, it is repeated before the next checkpoint.
        CheckpointServersListed = Reply.Outcome == object_outcome::Done;
      });
}

size_t pool_leadership::importProgress(std::string_view Document,
                                       std::string_view Source) {
  try {
    const json Progress = parseBoundedJson(Document);
    Scheduler->importProgress(Progress);
    logInfo("progress_taken", {{"pool", pool()},
                               {"from", std::string(Source)},
                               {"items", std::to_string(Progress.size())}});
    return Progress.size();
  } catch (const std::invalid_argument &Error) {
    logInfo("progress_unreadable",
            {{"pool", pool()}, {"reason", Error.what()}});
    return 0;
  }
}

void pool_leadership::sendCheckpoint() {
  CheckpointTimer = Options.Scheduler.Loop.after(Options.CheckpointInterval,
                                                 [this] { sendCheckpoint(); });
  const std::vector<std::string> Standbys = checkpointStandbys();
  if (!Scheduler)
    return;
  if (!CheckpointServersListed && Options.Scheduler.Store.reachable())
    findCheckpointServers();
  const json Progress = Scheduler->exportProgress(Options.CheckpointMinAge);
  std::string Document = toJsonText(Progress);
  if (Document == Checkpoint)
    return;
  Checkpoint = Document;
  if (!Standbys.empty())
    CheckpointCall = sendCheckpointTo(Standbys[StandbyIndex % Standbys.size()],
                                      Document, StandbyIndex);
  if (!CheckpointServers.empty())
    CheckpointServerCall = sendCheckpointTo(
        CheckpointServers[CheckpointServerIndex % CheckpointServers.size()],
        Document, CheckpointServerIndex);
}

/// If the call fails, the next checkpoint replaces this one and goes to another
/// address.
std::shared_ptr<client_call_state>
pool_leadership::sendCheckpointTo(const std::string &Address,
                                  const std::string &Document, size_t &Index) {
  const http_request Notice{.Method = "POST",
                            .Target = std::string(InnerCheckpointPath) +
                                      "?pool=" + percentEncode(pool()),
                            .Headers = {{"Host", Address}},
                            .Body = Document};
  return Options.Scheduler.Client.fetch(
      Address, Notice, Options.CheckpointInterval,
      [&Index](const call_completion &End, const http_response & /*Response*/) {
        if (End.Result != call_result::Complete)
          ++Index;
      });
}

scheduler_handover pool_leadership::handOver(const json &SuccessorLease) {
  Election.checkSuccessor(SuccessorLease);
  json Progress =
      Scheduler ? Scheduler->exportProgress() : std::move(FinalProgress);
  dropFinalProgress();
  logInfo("handover_given", {{"pool", pool()},
                             {"to", textOr(SuccessorLease, "holder")},
                             {"items", std::to_string(Progress.size())}});
  Election.onSuccessor(SuccessorLease);
  stopScheduler("handed over");
  dropFinalProgress();
  return {.Progress = std::move(Progress),
          .SettleTime =
              Election.settleTimeFor(SuccessorLease, event_loop::now())};
}

void pool_leadership::completeStart() {
  logInfo("lease_settling",
          {{"pool", pool()},
           {"token", std::to_string(Election.record().FencingToken)},
           {"orders_wait_ms",
            std::to_string(Election.waitToAct(event_loop::now()).count())}});
  // The announcement stops the predecessor's scheduler, so it must follow the
  // hand-over.
  Election.announceLease();
  Checkpoint.clear();
  sendCheckpoint();
  Compactor = std::make_unique<ended_job_compactor>(
      ended_job_compactor_options{.Loop = Options.Scheduler.Loop,
                                  .Store = Options.Scheduler.Store,
                                  .JobKind = Options.JobKind,
                                  .IsClosed = [this](std::string_view Id) {
                                    return Scheduler && Scheduler->isClosed(Id);
                                  }});
  JobWatcher = std::make_unique<object_watcher>(
      Options.Scheduler.Loop, Options.Scheduler.Store,
      object_watcher_options{.Kind = Options.JobKind,
                             .OnPage =
                                 [this](std::span<const stored_object> Page) {
                                   for (const stored_object &Object : Page)
                                     onJob(Object, /*Listed=*/true);
                                 },
                             .OnChange =
                                 [this](const stored_object &Object) {
                                   onJob(Object, /*Listed=*/false);
                                 },
                             .OnConfirmed =
                                 [this] {
                                   if (Scheduler)
                                     Scheduler->scheduleSoon();
                                 },
                             .MaxAge = JobMaxAge});
  JobWatcher->start();
  const auto OnVersion = [this](const stored_object &Object) {
    // After the scheduler has stopped, this watch may still run for a moment
    // without a weight updater.
    if (Object.Removed || !WeightUpdater)
      return;
    try {
      const model_version Announced =
          Options.Scheduler.Protocols.DecodeModelVersion(Object);
      WeightUpdater->setTargetVersion(Announced.Model, Announced.Version);
    } catch (const std::invalid_argument &Error) {
      logInfo("version_unreadable",
              {{"object", Object.Name}, {"reason", Error.what()}});
    }
  };
  WeightWatcher = std::make_unique<object_watcher>(
      Options.Scheduler.Loop, Options.Scheduler.Store,
      object_watcher_options{
          .Kind = Options.Scheduler.Protocols.ObjectNames.WeightKind,
          .OnSnapshot =
              [OnVersion](std::span<const stored_object> All) {
                for (const stored_object &Object : All)
                  OnVersion(Object);
              },
          .OnChange = OnVersion,
          .MaxAge = WeightMaxAge});
  WeightWatcher->start();
}

void pool_leadership::dropFinalProgress() {
  FinalProgress = json::object();
  FinalProgressTimer.reset();
}

void pool_leadership::stopScheduler(std::string_view Reason) {
  if (!Scheduler)
    return;
  CheckpointTimer.reset();
  // The watch may show the successor's lease before its hand-over request
  // arrives.
  FinalProgress = Scheduler->exportProgress();
  FinalProgressTimer = Options.Scheduler.Loop.after(
      Options.ProgressRetention, [this] { dropFinalProgress(); });
  logInfo("scheduler_stopped",
          {{"pool", pool()}, {"reason", std::string(Reason)}});
  Compactor.reset();
  // This function may be called from callbacks of these objects, so they are
  // destroyed later.
  Options.Scheduler.Loop.post(
      [JobWatch = std::shared_ptr<object_watcher>(std::move(JobWatcher)),
       WeightWatch = std::shared_ptr<object_watcher>(std::move(WeightWatcher)),
       Updater = std::shared_ptr<weight_updater>(std::move(WeightUpdater)),
       OldScheduler = std::shared_ptr<job_scheduler>(std::move(Scheduler))] {});
}

void pool_leadership::onJob(const stored_object &Object, bool Listed) {
  if (Object.Removed || !Scheduler)
    return;
  try {
    if (Scheduler->hasJob(Object.Name)) {
      if (isEnded(Object)) {
        Scheduler->endJob(Object.Name);
        compactEnded(Object);
      }
      return;
    }
    if (isEnded(Object)) {
      compactEnded(Object);
      return;
    }
    if (decodeJobDocument(Object).Pool != pool())
      return;
    // A job that was accepted after the lease was acquired can have results
    // only of this scheduler, or of a former one that is about to detect its
    // successor.
    const bool MayHaveResults = Listed || Object.Revision <= AcquiredAtRevision;
    Scheduler->addJob(decodeStoredJob(Object, Options.Scheduler.Protocols),
                      MayHaveResults);
  } catch (const std::invalid_argument &Error) {
    logError("job_unreadable",
             {{"job", Object.Name}, {"reason", Error.what()}});
  }
}

/// The end of the job has been stored, so its submission is not read any more.
void pool_leadership::compactEnded(const stored_object &Object) {
  if (isStub(Object) || !Compactor)
    return;
  const job_document Document = decodeJobDocument(Object);
  if (Document.Pool != pool())
    return;
  Compactor->add(
      Object,
      Options.Scheduler.Protocols.DecodeJob(Document.Submission).Items.size());
}

void pool_leadership::onJobAccepted(const stored_object &Job) {
  // The watch shows what has happened to a job up to its revision; an older
  // notice might revive a job that has ended since. Until the first page of the
  // list, the revision is not known.
  if (!Scheduler || !JobWatcher || JobWatcher->confirmedAt() == time_point{} ||
      Job.Revision <= JobWatcher->revision())
    return;
  metrics::get().counter("job_notices_used_total").add();
  onJob(Job, /*Listed=*/false);
}

void pool_leadership::onReplicasChanged() {
  if (Scheduler)
    Scheduler->scheduleSoon();
}

} // namespace cardamom
