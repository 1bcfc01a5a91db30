#include "jobs/job_scheduler.h"

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/dispatch_gate.h"
#include "gateway/unary_client.h"
#include "http/event_loop.h"
#include "jobs/item_run.h"
#include "jobs/job_document.h"
#include "jobs/result_page.h"
#include "jobs/result_writer.h"
#include "policy/result_batch_delay.h"
#include "policy/step_forecast.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamom {

/// Interval at which runs are checked for stalls and items for expiry.
static constexpr milliseconds TickInterval{200};
/// Delay before a failed item or scoring call is retried.
static constexpr milliseconds FailureRetryDelay{50};
/// Delay before a scoring call whose route is missing is retried.
static constexpr milliseconds MissingRouteRetryDelay{500};
/// Initial mean of the output tokens, which is the estimate for items without
/// one of their own.
static constexpr double InitialMeanOutputTokens = 500;
/// Weight of a finished item in the moving average of output tokens.
static constexpr double MeanOutputTokensGain = 0.05;
/// Weight of a new job in the moving average of a model's demand.
static constexpr double ModelDemandGain = 0.3;
/// The timeout of a scoring call is this multiple of its route's target
/// latency, but at least the minimum.
static constexpr int ScoringTimeoutFactor = 4;
static constexpr milliseconds MinScoringTimeout{600};
/// Minimum number of new events for a measurement of a replica's speed.
static constexpr uint64_t MinEventsForSpeed = 3;
/// If an item has exceeded its estimate, the remaining tokens are estimated as
/// this fraction of the tokens generated so far.
static constexpr double OverrunFraction = 0.3;
/// A run is moved only after this time, when its speed can be measured.
static constexpr milliseconds MinRunBeforeMove{300};
/// Maximum number of unfinished items of ended jobs whose texts are kept in
/// case the items return in a later job. Enough for a few steps of several
/// trainers.
static constexpr size_t MaxSavedItems = 400;
/// Interval at which items that pace their steps are moved away from replicas
/// in a slow phase. About the interval between two events of a stream.
static constexpr milliseconds PhaseTickInterval{50};
/// Items whose remaining time is within this fraction of their step's pace it.
static constexpr double PacingMargin = 0.3;
/// Items with less remaining time are not moved because of a slow phase.
static constexpr double MinPacingMs = 300;
/// Assumed maximum difference between the wall clocks of two VMs.
static constexpr uint64_t MaxClockSkewMs = 500;

enum class item_phase { Waiting, Running, Scoring, Done };

struct job_scheduler::item_state {
  job_state *Job = nullptr;
  const job_item *Item = nullptr;
  item_phase Phase = item_phase::Waiting;
  item_text Text;
  /// The text is complete; only the score is missing.
  bool TextComplete = false;
  unsigned Failures = 0;
  /// Consecutive broken runs without an event.
  unsigned EmptyRuns = 0;
  unsigned ScoringFailures = 0;
  /// As in the scoring call's route when the call was last sent.
  unsigned MaxScoringAttempts = 1;
  bool Spare = false;
  /// The item's group has returned from an earlier job.
  bool Returned = false;
  time_point NotBefore{};
  time_point FirstStartedAt{};
  std::string LastReplica;
  /// Number of the run's events at the last measurement of its speed, and the
  /// time of the latest of them.
  uint64_t MeasuredEvents = 0;
  time_point MeasuredAt{};
  std::unique_ptr<item_run> Run;
  unary_call_ptr ScoringCall;
  timer_handle RetryTimer;
};

struct job_scheduler::pending_read {
  uint64_t After = 0;
  std::function<void(bool, std::string)> Done;
  timer_handle Timer;
};

struct job_scheduler::job_state {
  explicit job_state(job Job) : Job(std::move(Job)) {}

  [[nodiscard]] const result_log &log() const { return Writer->log(); }

  job Job;
  time_point AddedAt;
  time_point DueAt;
  uint64_t ExpiresAtMs = 0;
  unsigned MaxAttempts = 1;
  bool SingleVersion = false;
  bool Ended = false;
  time_point EndedAt{};
  std::unique_ptr<result_writer> Writer;
  std::optional<result_batch_delay> BatchDelay;
  std::vector<std::unique_ptr<item_state>> Items;
  std::vector<std::shared_ptr<pending_read>> PendingReads;
};

job_scheduler::job_scheduler(job_scheduler_options Options)
    : Options(std::move(Options)), Placement({}), Speed({}),
      MeanOutputTokens(InitialMeanOutputTokens) {
  tick();
}

job_scheduler::~job_scheduler() {
  Alive.reset();
  for (const auto &[Id, Job] : Jobs) {
    // A timer that has not fired yet may keep the job alive; its runs must not
    // outlive this object.
    Job->Items.clear();
    Job->Writer.reset();
    const auto Reads = std::move(Job->PendingReads);
    Job->PendingReads.clear();
    for (const auto &Read : Reads) {
      Read->Timer.reset();
      Read->Done(false, {});
    }
  }
}

std::function<void(const std::function<void()> &)>
job_scheduler::makeAliveGuard() {
  return
      [Weak = std::weak_ptr<bool>(Alive)](const std::function<void()> &Task) {
        if (!Weak.expired())
          Task();
      };
}

timer_handle job_scheduler::runLater(milliseconds Delay,
                                     std::function<void()> Task) {
  return Options.Loop.after(Delay, [Guard = makeAliveGuard(),
                                    Task = std::move(Task)] { Guard(Task); });
}

bool job_scheduler::hasJob(std::string_view Id) const {
  return Jobs.find(Id) != Jobs.end();
}

bool job_scheduler::isClosed(std::string_view Id) const {
  const auto It = Jobs.find(Id);
  if (It == Jobs.end())
    return true;
  const job_state &Job = *It->second;
  return Job.Ended &&
         (Job.log().closed() || Job.log().listed().size() >= Job.Items.size());
}

bool job_scheduler::needsSingleVersions() const {
  return std::any_of(Jobs.begin(), Jobs.end(), [](const auto &Entry) {
    return !Entry.second->Ended && Entry.second->SingleVersion;
  });
}

bool job_scheduler::hasWaitingItems(std::string_view Model,
                                    uint64_t Version) const {
  return std::any_of(Jobs.begin(), Jobs.end(), [&](const auto &Entry) {
    const job_state &Job = *Entry.second;
    return !Job.Ended && Job.Job.Model == Model &&
           Job.Job.MinVersion < Version &&
           std::any_of(Job.Items.begin(), Job.Items.end(),
                       [](const auto &Item) {
                         return Item->Phase == item_phase::Waiting &&
                                !Item->TextComplete;
                       });
  });
}

size_t job_scheduler::openJobCount() const {
  return size_t(std::count_if(Jobs.begin(), Jobs.end(), [](const auto &Entry) {
    const job_state &Job = *Entry.second;
    return !Job.Ended && Job.log().listed().size() < Job.Items.size();
  }));
}

void job_scheduler::addJob(job NewJob, bool HasResults) {
  if (hasJob(NewJob.Id))
    return;
  auto Job = std::make_shared<job_state>(std::move(NewJob));
  const time_point Now = event_loop::now();
  if (!Job->Job.Terms)
    if (const route *Route = Options.FindRoute(Job->Job.Host, Job->Job.Target))
      Job->Job.Terms = termsOf(*Route);
  const uint64_t AgeMs =
      Options.UnixNow() - std::min(Options.UnixNow(), Job->Job.SubmittedAtMs);
  Job->AddedAt = Now;
  Job->DueAt = Now - milliseconds(AgeMs);
  if (const auto &Terms = Job->Job.Terms) {
    Job->DueAt += Terms->JobTimeout;
    Job->MaxAttempts = Terms->MaxAttempts;
    Job->SingleVersion = Terms->SingleVersion;
    if (Terms->ItemTtl.count() > 0)
      Job->ExpiresAtMs = Job->Job.SubmittedAtMs +
                         uint64_t(Terms->ItemTtl.count()) + MaxClockSkewMs;
  }
  for (const job_item &Item : Job->Job.Items) {
    auto State = std::make_unique<item_state>();
    State->Job = Job.get();
    State->Item = &Item;
    Job->Items.push_back(std::move(State));
  }
  markSpareGroups(*Job);
  updateModelDemand(*Job);
  Job->Writer = makeWriter(Job);
  Job->BatchDelay = makeBatchDelay(*Job);
  Jobs[Job->Job.Id] = Job;
  for (const auto &Item : Job->Items)
    applyImportedProgress(*Item);
  logInfo("job_added", {{"job", Job->Job.Id},
                        {"model", Job->Job.Model},
                        {"step", std::to_string(Job->Job.Step)},
                        {"items", std::to_string(Job->Items.size())},
                        {"min_version", std::to_string(Job->Job.MinVersion)},
                        {"age_ms", std::to_string(AgeMs)}});
  Job->Writer->start(HasResults);
  scheduleSoon();
}

std::unique_ptr<result_writer>
job_scheduler::makeWriter(const std::shared_ptr<job_state> &Job) {
  // The job owns the writer, so a raw pointer is safe in its callbacks.
  job_state *State = Job.get();
  return std::make_unique<result_writer>(
      result_writer_options{
          .Loop = Options.Loop,
          .Store = Options.Store,
          .ResultKind = Options.ResultKind,
          .NewId = Options.NewId,
          .ConfirmLease = Options.ConfirmLease,
          .MaxBatchBytes = Options.MaxBatchBytes,
          .OnReady = [this, State] { onResultsLoaded(*State); },
          .OnListed = [this, State](size_t Count) { onListed(*State, Count); },
          .OnClosedByOther = [this, Id = Job->Job.Id] { endJob(Id); }},
      Job->Job.Id);
}

result_batch_delay job_scheduler::makeBatchDelay(const job_state &Job) const {
  std::vector<std::string_view> Groups;
  for (const auto &Item : Job.Items)
    Groups.push_back(Item->Item->Group);
  return {{.MaxDelay = Options.MaxBatchDelay}, Groups, Job.Job.TargetGroups};
}

void job_scheduler::onResultsLoaded(job_state &Job) {
  logInfo("job_resumed",
          {{"job", Job.Job.Id},
           {"listed", std::to_string(Job.log().listed().size())}});
  answerReads(Job);
  scheduleSoon();
}

bool job_scheduler::hasProgress(const item_state &Item) {
  return Item.Phase != item_phase::Done && Item.Text.LastEvent.has_value();
}

nlohmann::json job_scheduler::encodeProgress(const item_state &Item) {
  const item_text &Text = Item.Text;
  return {{"job", Item.Job->Job.Id},       {"text", Text.Text},
          {"last_event", *Text.LastEvent}, {"events", Text.Events},
          {"versions", Text.Versions},     {"failures", Item.Failures},
          {"complete", Item.TextComplete}};
}

nlohmann::json job_scheduler::exportProgress(milliseconds MinAge) const {
  const time_point Now = event_loop::now();
  nlohmann::json Progress = nlohmann::json::object();
  if (Now < ImportedUntil) {
    Progress = ImportedProgress;
    for (const std::string &Id : SavedItemIds)
      Progress.erase(Id);
  }
  for (const auto &[Id, Job] : Jobs) {
    if (Job->Ended)
      continue;
    for (const item_result &Result : Job->log().queuedResults()) {
      nlohmann::json &Entry = Progress[Result.ItemId];
      Entry = result_log::encodeBatch({&Result, 1}, {});
      Entry["job"] = Id;
    }
    for (const auto &Item : Job->Items) {
      if (hasProgress(*Item) && Now - Item->FirstStartedAt >= MinAge)
        Progress[Item->Item->Id] = encodeProgress(*Item);
    }
  }
  return Progress;
}

void job_scheduler::importProgress(const nlohmann::json &Progress) {
  if (!Progress.is_object())
    throw std::invalid_argument("progress is not a JSON object");
  for (const auto &[ItemId, Entry] : Progress.items())
    ImportedProgress[ItemId] = Entry;
  ImportedUntil = event_loop::now() + Options.ImportedProgressLifetime;
  for (const auto &[Id, Job] : Jobs)
    for (const auto &Item : Job->Items)
      applyImportedProgress(*Item);
}

void job_scheduler::applyImportedProgress(item_state &Item) {
  const auto Found = ImportedProgress.find(Item.Item->Id);
  if (Found == ImportedProgress.end())
    return;
  const nlohmann::json Entry = std::move(Found->second);
  ImportedProgress.erase(Found);
  if (Item.Phase != item_phase::Waiting || Item.Text.Events > 0)
    return;
  try {
    // An item may return in a later job with another scoring call and newer
    // versions. Of an earlier job's progress, only the text is usable.
    const bool SameJob = Entry.at("job") == Item.Job->Job.Id;
    if (Entry.contains("results")) {
      if (!SameJob)
        return;
      for (item_result &Result : result_log::decodeBatch(Entry))
        queueResult(Item, std::move(Result));
      return;
    }
    Item.Text = {.Text = Entry.at("text"),
                 .LastEvent = Entry.at("last_event").get<uint64_t>(),
                 .Events = Entry.at("events"),
                 .Versions = Entry.at("versions")};
    Item.Failures = SameJob ? Entry.at("failures").get<unsigned>() : 0;
    Item.TextComplete = Entry.at("complete");
  } catch (const std::exception &Error) {
    logInfo("progress_unreadable",
            {{"item", Item.Item->Id}, {"reason", Error.what()}});
    Item.Text = {};
    return;
  }
  // Text from an earlier job may come from older weights than this job allows.
  if (!Item.Text.Versions.empty() &&
      *Item.Text.Versions.begin() < Item.Job->Job.MinVersion) {
    Item.Text = {};
    Item.TextComplete = false;
  }
}

/// The trainer waits for TargetGroups groups. The groups expected to take
/// longest beyond that number are marked as spare and run last. Groups that
/// returned from an earlier job are never spare, because the trainer always
/// waits for them.
void job_scheduler::markSpareGroups(job_state &Job) {
  std::map<std::string, double> TokensByGroup;
  for (const auto &Item : Job.Items) {
    double &Tokens = TokensByGroup[Item->Item->Group];
    Tokens = std::max(Tokens, expectedTokens(*Item));
  }
  const size_t RequiredGroups =
      Job.Job.TargetGroups == 0 ? TokensByGroup.size() : Job.Job.TargetGroups;
  std::vector<std::pair<double, std::string>> NewGroups;
  for (const auto &[Group, Tokens] : TokensByGroup)
    if (!SeenGroups.contains(Group))
      NewGroups.emplace_back(Tokens, Group);
  std::sort(NewGroups.rbegin(), NewGroups.rend());
  const size_t SpareCount = std::min(
      NewGroups.size(),
      TokensByGroup.size() - std::min(TokensByGroup.size(), RequiredGroups));
  std::set<std::string> SpareGroups;
  for (size_t I = 0; I < SpareCount; ++I)
    SpareGroups.insert(NewGroups[I].second);
  for (const auto &Item : Job.Items)
    Item->Returned = SeenGroups.contains(Item->Item->Group);
  for (const auto &Item : Job.Items) {
    Item->Spare = SpareGroups.contains(Item->Item->Group);
    SeenGroups.insert(Item->Item->Group);
  }
}

void job_scheduler::updateModelDemand(const job_state &Job) {
  double Tokens = 0;
  for (const auto &Item : Job.Items)
    Tokens += expectedTokens(*Item);
  double &Demand = ModelDemand[Job.Job.Model];
  Demand += Demand == 0 ? Tokens : ModelDemandGain * (Tokens - Demand);
}

double job_scheduler::tokensPerEvent() const {
  const service *Service = Options.FindService();
  return Service ? Service->TokensPerEvent : 1;
}

double job_scheduler::expectedTokens(const item_state &Item) const {
  const double Expected = Item.Item->ExpectedTokens > 0
                              ? double(Item.Item->ExpectedTokens)
                              : MeanOutputTokens;
  return Expected;
}

double job_scheduler::remainingTokens(const item_state &Item) const {
  const double GeneratedTokens = double(Item.Text.Events) * tokensPerEvent();
  // Text lengths have a heavy-tailed distribution: an item that has exceeded
  // its estimate usually continues for some time.
  return std::max({expectedTokens(Item) - GeneratedTokens,
                   GeneratedTokens * OverrunFraction, tokensPerEvent()});
}

uint64_t job_scheduler::exactVersion(const item_state &Item) {
  return Item.Job->SingleVersion && !Item.Text.Versions.empty()
             ? *Item.Text.Versions.begin()
             : 0;
}

waiting_item job_scheduler::describeWaiting(const item_state &Item,
                                            size_t Index) const {
  const job_state &Job = *Item.Job;
  return {.Index = Index,
          .Model = Job.Job.Model,
          .MinVersion = Job.Job.MinVersion,
          .RemainingTokens = remainingTokens(Item),
          .Spare = Item.Spare,
          .DueAt = Job.DueAt,
          .ExactVersion = exactVersion(Item),
          .AvoidReplica = Item.LastReplica};
}

/// Discards texts that must come from one version of the weights if no replica
/// that accepts work can continue them. A draining replica may keep such a
/// version for a long time; a replica that is changing its weights is about to
/// lose it. One in backoff may accept work again soon.
void job_scheduler::restartItemsOfLostVersions(
    std::span<item_state *const> Items, std::span<waiting_item> Waiting,
    time_point Now) {
  if (std::none_of(Waiting.begin(), Waiting.end(),
                   [](const auto &Item) { return Item.ExactVersion != 0; }))
    return;
  std::vector<const replica *> Accepting =
      Options.Directory.listed(Options.Pool);
  std::erase_if(Accepting,
                [](const replica *Replica) { return Replica->Draining; });
  const std::vector<replica_capacity> Capacity = capacity(Accepting, Now);
  for (waiting_item &Entry : Waiting) {
    if (!mustRestart(Entry, Capacity))
      continue;
    item_state &Item = *Items[Entry.Index];
    logInfo("item_restarted",
            {{"item", Item.Item->Id},
             {"version", std::to_string(Entry.ExactVersion)}});
    metrics::get().counter("items_restarted_total").add();
    Item.Text = {};
    Entry = describeWaiting(Item, Entry.Index);
  }
}

void job_scheduler::scheduleSoon() {
  if (SchedulePending)
    return;
  SchedulePending = true;
  Options.Loop.post([this, Guard = makeAliveGuard()] {
    Guard([&] {
      SchedulePending = false;
      schedule();
    });
  });
}

unsigned job_scheduler::runningItemCount(std::string_view Replica) const {
  const auto It = RunningByReplica.find(Replica);
  return It == RunningByReplica.end() ? 0 : It->second;
}

void job_scheduler::schedule() {
  const time_point Now = event_loop::now();
  std::vector<item_state *> Candidates;
  std::vector<waiting_item> Waiting;
  for (const auto &[Id, Job] : Jobs) {
    if (Job->Ended || !Job->Writer->ready())
      continue;
    for (const auto &Item : Job->Items) {
      if (Item->Phase != item_phase::Waiting || Now < Item->NotBefore)
        continue;
      if (Item->TextComplete) {
        startScoring(*Item);
        continue;
      }
      Waiting.push_back(describeWaiting(*Item, Candidates.size()));
      Candidates.push_back(Item.get());
    }
  }
  if (Waiting.empty())
    return;
  if (Options.JobsAreCurrent && !Options.JobsAreCurrent(Now))
    return;
  if (!Options.Gate.mayChoose(Now)) {
    Options.Gate.whenOpen(
        [this, Guard = makeAliveGuard()] { Guard([&] { scheduleSoon(); }); });
    return;
  }
  restartItemsOfLostVersions(Candidates, Waiting, Now);
  const std::vector<const replica *> Usable =
      Options.Directory.usable(Options.Pool, Now);
  for (const placed_item &Placed :
       Placement.place(std::move(Waiting), capacity(Usable, Now), Now))
    startItem(*Candidates[Placed.Index], *Usable[Placed.Replica]);
}

std::vector<replica_capacity>
job_scheduler::capacity(std::span<const replica *const> Replicas,
                        time_point Now) const {
  std::vector<replica_capacity> Capacity;
  std::vector<replica_pace::item_room> Rooms;
  for (const replica *Replica : Replicas) {
    const unsigned RunningItems = runningItemCount(Replica->Id);
    const auto Refused = RefusedUntil.find(Replica->Id);
    const bool InBackoff =
        Refused != RefusedUntil.end() && Now < Refused->second;
    replica_capacity Entry{
        .Id = Replica->Id,
        .FreeSlots = InBackoff || RunningItems >= Replica->Slots
                         ? 0
                         : Replica->Slots - RunningItems,
        .Slots = std::max(1U, Replica->Slots),
        .SameFailureDomain = Replica->FailureDomain == Options.FailureDomain,
        .Versions = {}};
    for (const auto &[Model, Version] : Replica->Versions)
      if (!Options.IsChangingWeights(Replica->Id, Model))
        Entry.Versions[Model] = Version;
    Capacity.push_back(std::move(Entry));
    Rooms.push_back({.Replica = Replica->Id,
                     .Running = RunningItems,
                     .FreeSlots = Capacity.back().FreeSlots});
  }
  Options.Directory.pace().reduce(Rooms);
  for (size_t I = 0; I < Capacity.size(); ++I)
    Capacity[I].FreeSlots = Rooms[I].FreeSlots;
  return Capacity;
}

/// Moves items from replicas that have become slow to replicas on which they
/// are expected to finish sooner.
void job_scheduler::moveSlowItems(time_point Now) {
  if (!Options.Gate.mayChoose(Now) ||
      (Options.JobsAreCurrent && !Options.JobsAreCurrent(Now)))
    return;
  std::vector<const replica *> Replicas =
      Options.Directory.usable(Options.Pool, Now);
  const size_t UsableCount = Replicas.size();
  std::unordered_map<std::string_view, size_t> Indexes;
  for (const replica *Replica : Replicas)
    Indexes.emplace(Replica->Id, Indexes.size());
  std::vector<item_state *> Candidates;
  std::vector<running_item> Running;
  for (const auto &[Id, Job] : Jobs) {
    if (Job->Ended)
      continue;
    for (const auto &Item : Job->Items) {
      if (Item->Phase != item_phase::Running ||
          Now - Item->Run->startedAt() < MinRunBeforeMove)
        continue;
      const std::string &ReplicaId = Item->Run->replicaId();
      auto Found = Indexes.find(ReplicaId);
      if (Found == Indexes.end()) {
        // The replica is draining or failing: items may be moved away from it,
        // but not to it.
        const replica *Unusable = Options.Directory.find(ReplicaId);
        if (!Unusable)
          continue;
        Found = Indexes.emplace(Unusable->Id, Replicas.size()).first;
        Replicas.push_back(Unusable);
      }
      Running.push_back({.Index = Candidates.size(),
                         .Model = Job->Job.Model,
                         .MinVersion = Job->Job.MinVersion,
                         .ExactVersion = exactVersion(*Item),
                         .RemainingTokens = remainingTokens(*Item),
                         .Spare = Item->Spare,
                         .DueAt = Job->DueAt,
                         .Replica = Found->second});
      Candidates.push_back(Item.get());
    }
  }
  std::vector<replica_capacity> Capacity = capacity(Replicas, Now);
  for (size_t I = UsableCount; I < Capacity.size(); ++I)
    Capacity[I].FreeSlots = 0;
  for (const placed_item &Move : Placement.planMoves(Running, Capacity, Now))
    move(*Candidates[Move.Index], *Replicas[Move.Replica], "speed", Now);
}

void job_scheduler::move(item_state &Item, const replica &Target,
                         std::string_view Reason, time_point Now) {
  logInfo("item_moved",
          {{"item", Item.Item->Id},
           {"reason", std::string(Reason)},
           {"from", Item.Run->replicaId()},
           {"to", Target.Id},
           {"events", std::to_string(Item.Text.Events)},
           {"ms_per_token_from",
            std::to_string(Placement.msPerToken(Item.Run->replicaId(), Now))},
           {"ms_per_token_to",
            std::to_string(Placement.msPerToken(Target.Id, Now))}});
  metrics::get().counter("items_moved_total", "reason", Reason).add();
  stopRun(Item);
  startItem(Item, Target);
}

std::vector<std::optional<double>>
job_scheduler::slowdowns(std::span<const replica *const> Replicas,
                         time_point Now) const {
  std::map<std::string_view, time_point> LatestEvents;
  for (const auto &[Id, Job] : Jobs) {
    for (const auto &Item : Job->Items) {
      if (Item->Phase != item_phase::Running || !Item->Run->firstEventAt())
        continue;
      time_point &Latest = LatestEvents[Item->Run->replicaId()];
      Latest = std::max(Latest, Item->Run->progressAt());
    }
  }
  std::vector<std::optional<double>> Result;
  for (const replica *Replica : Replicas) {
    const auto Latest = LatestEvents.find(Replica->Id);
    const double SilentMs =
        Latest == LatestEvents.end()
            ? 0
            : std::chrono::duration<double, std::milli>(Now - Latest->second)
                  .count();
    Result.push_back(Speed.slowdown(Replica->Id, SilentMs, Now));
  }
  return Result;
}

/// Adds the running items of the job that may be moved and pace its step.
void job_scheduler::addPacingItems(const job_state &Job, time_point Now,
                                   std::vector<item_state *> &Pacing) const {
  std::vector<forecast_item> Forecast;
  for (size_t I = 0; I < Job.Items.size(); ++I) {
    const item_state &Item = *Job.Items[I];
    const bool Generating =
        Item.Phase == item_phase::Waiting || Item.Phase == item_phase::Running;
    const std::string_view Replica =
        Item.Phase == item_phase::Running ? Item.Run->replicaId() : "";
    Forecast.push_back(
        {.Index = I,
         .Group = Item.Item->Group,
         .RemainingMs =
             Generating && !Item.TextComplete
                 ? remainingTokens(Item) * Placement.msPerToken(Replica, Now)
                 : 0,
         .Required = Item.Returned});
  }
  for (const size_t Index :
       pacingItems(Forecast, Job.Job.TargetGroups, PacingMargin)) {
    item_state &Item = *Job.Items[Index];
    if (Item.Phase == item_phase::Running &&
        Forecast[Index].RemainingMs >= MinPacingMs &&
        Now - Item.Run->startedAt() >= MinRunBeforeMove)
      Pacing.push_back(&Item);
  }
}

/// Moves items that pace their steps away from replicas in a slow phase.
void job_scheduler::movePacingItems(time_point Now) {
  std::vector<item_state *> Candidates;
  for (const auto &[Id, Job] : Jobs)
    if (!Job->Ended && Job->Writer->ready())
      addPacingItems(*Job, Now, Candidates);
  if (Candidates.empty() || !Options.Gate.mayChoose(Now) ||
      (Options.JobsAreCurrent && !Options.JobsAreCurrent(Now)))
    return;
  const std::vector<const replica *> Replicas =
      Options.Directory.usable(Options.Pool, Now);
  std::unordered_map<std::string_view, size_t> Indexes;
  for (const replica *Replica : Replicas)
    Indexes.emplace(Replica->Id, Indexes.size());
  std::vector<running_item> Pacing;
  for (size_t I = 0; I < Candidates.size(); ++I) {
    const item_state &Item = *Candidates[I];
    const auto Found = Indexes.find(Item.Run->replicaId());
    if (Found == Indexes.end())
      continue;
    Pacing.push_back({.Index = I,
                      .Model = Item.Job->Job.Model,
                      .MinVersion = Item.Job->Job.MinVersion,
                      .ExactVersion = exactVersion(Item),
                      .RemainingTokens = remainingTokens(Item),
                      .DueAt = Item.Job->DueAt,
                      .Replica = Found->second});
  }
  const std::vector<std::optional<double>> Slowdowns = slowdowns(Replicas, Now);
  for (const placed_item &Move : Placement.planPhaseMoves(
           Pacing, capacity(Replicas, Now), Slowdowns, Now))
    move(*Candidates[Move.Index], *Replicas[Move.Replica], "slow_phase", Now);
}

void job_scheduler::onLoadReport(const std::string &Replica, double Slowdown) {
  Speed.onReport(Replica, Slowdown, event_loop::now());
  if (SharedVms)
    return;
  SharedVms = true;
  Placement.setSharedVms();
  logInfo("shared_vms_detected", {{"pool", Options.Pool}});
  phaseTick();
}

void job_scheduler::phaseTick() {
  PhaseTimer = Options.Loop.after(PhaseTickInterval, [this] {
    movePacingItems(event_loop::now());
    phaseTick();
  });
}

/// Closes the run's connection, whereupon the replica cancels the request.
void job_scheduler::stopRun(item_state &Item) {
  if (!Item.Run)
    return;
  observeSpeed(Item);
  if (--RunningByReplica[Item.Run->replicaId()] == 0)
    RunningByReplica.erase(Item.Run->replicaId());
  Item.Run.reset();
}

void job_scheduler::startItem(item_state &Item, const replica &Replica) {
  const job &Job = Item.Job->Job;
  upstream_request Request{.RequestId = Item.Item->Id,
                           .Method = "POST",
                           .Target = Item.Item->Path,
                           .Host = Job.Host,
                           .Headers = Item.Item->Headers,
                           .Body = Item.Item->Body,
                           .ReplicaId = Replica.Id,
                           .ResumeAfterEvent = Item.Text.LastEvent,
                           .Tenant = Job.Owner};
  const std::string ReplicaId = Replica.Id;
  item_run_options RunOptions{
      .Client = Options.Client,
      .Protocol = Options.Protocols.Upstream,
      .MayWrite = Options.Gate.writeCheck(Replica),
      .EventVersionField = Options.Protocols.EventVersionField,
      .MinVersion = Job.MinVersion,
      .SingleVersion = Item.Job->SingleVersion,
      .Buffers = Options.Buffers,
      .OnVersion =
          [this, ReplicaId, Model = Job.Model](uint64_t Version) {
            Options.Directory.setVersion(ReplicaId, Model, Version);
          },
      .OnInterval =
          [this, ReplicaId, StartedAtMs = Replica.StartedAtMs](
              std::chrono::duration<double, std::milli> Time) {
            Options.Directory.onAnswerTime(ReplicaId, StartedAtMs,
                                           pace_measure::EventInterval, Time);
            if (SharedVms)
              Speed.onEvent(ReplicaId, Time.count(), event_loop::now());
          },
      .OnHead =
          [this, ReplicaId, StartedAtMs = Replica.StartedAtMs,
           RequestId = Item.Item->Id](const upstream_head &Head) {
            Options.Directory.onResponseHead(ReplicaId, StartedAtMs, RequestId,
                                             Head, event_loop::now());
            if (Head.RequestId == RequestId && Head.Load && Head.Load->Slowdown)
              onLoadReport(ReplicaId, *Head.Load->Slowdown);
          }};
  logInfo("item_started",
          {{"job", Job.Id},
           {"item", Item.Item->Id},
           {"replica", ReplicaId},
           {"running", std::to_string(runningItemCount(ReplicaId))},
           {"resume", Item.Text.LastEvent ? std::to_string(*Item.Text.LastEvent)
                                          : "none"}});
  Item.Phase = item_phase::Running;
  Item.MeasuredEvents = 0;
  if (Item.FirstStartedAt == time_point{})
    Item.FirstStartedAt = event_loop::now();
  ++RunningByReplica[ReplicaId];
  metrics::get().counter("items_started_total").add();
  // Posted, because the run must not be destroyed inside its own callback.
  const std::weak_ptr<job_state> WeakJob = Jobs[Job.Id];
  Item.Run = std::make_unique<item_run>(
      std::move(RunOptions), Request, Replica, Item.Text, event_loop::now(),
      [this, Guard = makeAliveGuard(), WeakJob,
       &Item](const item_run_end &End) {
        Options.Loop.post([this, Guard, WeakJob, &Item, End] {
          Guard([&] {
            const auto Job = WeakJob.lock();
            if (Job && !Job->Ended && Item.Phase == item_phase::Running)
              onRunEnd(Item, End);
          });
        });
      });
}

/// Updates the replica's speed from the events since the last measurement.
void job_scheduler::observeSpeed(item_state &Item) {
  const item_run &Run = *Item.Run;
  if (!Run.firstEventAt())
    return;
  if (Item.MeasuredEvents == 0) {
    Item.MeasuredEvents = 1;
    Item.MeasuredAt = *Run.firstEventAt();
  }
  const uint64_t Events = Run.events() - Item.MeasuredEvents;
  if (Events < MinEventsForSpeed)
    return;
  Placement.onProgress(Run.replicaId(), double(Events) * tokensPerEvent(),
                       std::chrono::duration_cast<milliseconds>(
                           Run.progressAt() - Item.MeasuredAt),
                       Run.progressAt());
  Item.MeasuredEvents = Run.events();
  Item.MeasuredAt = Run.progressAt();
}

void job_scheduler::onRunEnd(item_state &Item, const item_run_end &End) {
  const std::string ReplicaId = Item.Run->replicaId();
  const time_point Now = event_loop::now();
  const bool Progressed = Item.Run->events() > 0;
  stopRun(Item);
  metrics::get()
      .counter("item_runs_total", "outcome", toString(End.Outcome))
      .add();
  if (End.Outcome != item_run_outcome::Complete)
    logInfo("item_run_ended", {{"job", Item.Job->Job.Id},
                               {"item", Item.Item->Id},
                               {"replica", ReplicaId},
                               {"outcome", std::string(toString(End.Outcome))},
                               {"detail", End.Detail},
                               {"events", std::to_string(Item.Text.Events)}});
  Item.Phase = item_phase::Waiting;
  Item.LastReplica = ReplicaId;
  switch (End.Outcome) {
  case item_run_outcome::Complete:
    Options.Directory.onCallSucceeded(ReplicaId);
    Item.TextComplete = true;
    MeanOutputTokens +=
        MeanOutputTokensGain *
        (double(Item.Text.Events) * tokensPerEvent() - MeanOutputTokens);
    startScoring(Item);
    break;
  case item_run_outcome::Refused:
    RefusedUntil[ReplicaId] = Now + Options.RefusalBackoff;
    Options.Directory.onCallRefused(ReplicaId);
    break;
  case item_run_outcome::Misdirected:
  case item_run_outcome::Broken:
    Options.Directory.onCallFailed(ReplicaId, Now);
    // Repeated runs without an event are retried with an exponential backoff.
    Item.EmptyRuns = Progressed ? 0 : std::min(Item.EmptyRuns + 1, 5U);
    if (Item.EmptyRuns > 1)
      retryLater(Item, FailureRetryDelay * (1U << Item.EmptyRuns));
    break;
  case item_run_outcome::TooOld:
    // Text from two versions is unusable where a single version is required.
    if (Item.Job->SingleVersion)
      Item.Text = {};
    break;
  case item_run_outcome::Failed:
    // A replica that fails everything ends runs at once, so that it would have
    // free slots for all items and use up their attempts.
    Options.Directory.onCallFailed(ReplicaId, Now);
    if (++Item.Failures >= Item.Job->MaxAttempts)
      giveUp(Item, "attempts");
    else
      retryLater(Item, FailureRetryDelay);
    break;
  case item_run_outcome::Impossible:
    giveUp(Item, "unprocessable");
    break;
  }
  scheduleSoon();
}

void job_scheduler::retryLater(item_state &Item, milliseconds Delay) {
  Item.NotBefore = event_loop::now() + Delay;
  Item.RetryTimer =
      runLater(Delay + milliseconds(1), [this] { scheduleSoon(); });
}

void job_scheduler::startScoring(item_state &Item) {
  if (!Item.Item->Scoring) {
    complete(Item, {});
    return;
  }
  Item.Phase = item_phase::Scoring;
  const scoring_call &Scoring = *Item.Item->Scoring;
  const route *Route = Options.FindRoute(Scoring.Host, Scoring.Path);
  const std::weak_ptr<job_state> WeakJob = Jobs[Item.Job->Job.Id];
  if (!Route) {
    // A new configuration may restore the route before the item expires.
    logInfo("scoring_route_missing",
            {{"item", Item.Item->Id}, {"host", Scoring.Host}});
    Item.RetryTimer =
        runLater(MissingRouteRetryDelay, [this, &Item] { startScoring(Item); });
    return;
  }
  Item.MaxScoringAttempts = Route->MaxAttempts;
  const time_point Now = event_loop::now();
  Item.ScoringCall = Options.UnaryClient.start(
      {.UpstreamRequest = {.RequestId = Scoring.RequestId,
                           .Method = "POST",
                           .Target = Scoring.Path,
                           .Host = Scoring.Host,
                           .Headers = {},
                           .Body = Scoring.Body},
       .Service = Route->Services.front().Service,
       .Idempotent = true,
       .MaxAttempts =
           std::max(1U, Route->MaxAttempts -
                            std::min(Route->MaxAttempts, Item.ScoringFailures)),
       .TargetLatency = Route->TargetLatency,
       .ReceivedAt = Now,
       .Deadline = Now + std::max(Route->TargetLatency * ScoringTimeoutFactor,
                                  MinScoringTimeout)},
      [this, Guard = makeAliveGuard(), WeakJob,
       &Item](const unary_result &Result) {
        Guard([&] {
          const auto Job = WeakJob.lock();
          if (Job && !Job->Ended && Item.Phase == item_phase::Scoring)
            onScored(Item, Result);
        });
      });
}

void job_scheduler::onScored(item_state &Item, const unary_result &Result) {
  // This function is called by the scoring call itself, which must not be
  // destroyed before it returns.
  const unary_call_ptr Finished = std::move(Item.ScoringCall);
  if (Result.FromReplica && Result.Head.Status / 100 == 2) {
    complete(Item, Result.Head.Signature);
    return;
  }
  logInfo("scoring_failed", {{"item", Item.Item->Id},
                             {"request", Item.Item->Scoring->RequestId},
                             {"status", std::to_string(Result.Head.Status)},
                             {"reason", Result.Verdict.Reason}});
  // Other statuses, such as 504 at the deadline that the call was given, say
  // nothing about the item.
  Item.ScoringFailures += Result.FailedAttempts;
  if (Item.ScoringFailures >= Item.MaxScoringAttempts) {
    giveUp(Item, "scoring");
    return;
  }
  Item.RetryTimer =
      runLater(FailureRetryDelay, [this, &Item] { startScoring(Item); });
}

void job_scheduler::complete(item_state &Item, std::string Signature) {
  item_result Result{
      .ItemId = Item.Item->Id,
      .Completed = true,
      .Text = std::move(Item.Text.Text),
      .Versions = {Item.Text.Versions.begin(), Item.Text.Versions.end()},
      .Score = std::move(Signature)};
  queueResult(Item, std::move(Result));
}

void job_scheduler::giveUp(item_state &Item, std::string_view Reason) {
  logInfo("item_given_up", {{"job", Item.Job->Job.Id},
                            {"item", Item.Item->Id},
                            {"reason", std::string(Reason)}});
  metrics::get().counter("items_given_up_total", "reason", Reason).add();
  queueResult(Item, {.ItemId = Item.Item->Id,
                     .Completed = false,
                     .Text = {},
                     .Versions = {},
                     .Score = {}});
}

void job_scheduler::queueResult(item_state &Item, item_result Result) {
  Item.Phase = item_phase::Done;
  Item.Run.reset();
  Item.RetryTimer.reset();
  Item.Job->Writer->queue(
      std::move(Result),
      Item.Job->BatchDelay->onItemFinished(Item.Item->Group));
}

void job_scheduler::onListed(job_state &Job, size_t Count) {
  finishListedItems(Job);
  if (!Job.Writer->ready())
    return;
  logInfo(
      "results_listed",
      {{"job", Job.Job.Id},
       {"results", std::to_string(Count)},
       {"listed", std::to_string(Job.log().listed().size())},
       {"age_ms", std::to_string(Options.UnixNow() - Job.Job.SubmittedAtMs)}});
  answerReads(Job);
}

/// Stops the work on items that another scheduler has listed.
void job_scheduler::finishListedItems(job_state &Job) {
  for (const auto &Item : Job.Items) {
    if (Item->Phase == item_phase::Done || !Job.log().isListed(Item->Item->Id))
      continue;
    stopRun(*Item);
    Item->ScoringCall.reset();
    Item->RetryTimer.reset();
    Item->Phase = item_phase::Done;
  }
}

void job_scheduler::endJob(std::string_view Id) {
  const auto It = Jobs.find(Id);
  if (It == Jobs.end() || It->second->Ended)
    return;
  const std::shared_ptr<job_state> Job = It->second;
  Job->Ended = true;
  Job->EndedAt = event_loop::now();
  unsigned Stopped = 0;
  for (const auto &Item : Job->Items) {
    if (Item->Run)
      ++Stopped;
    stopRun(*Item);
    saveForLaterJob(*Item);
    Item->ScoringCall.reset();
    Item->RetryTimer.reset();
    Item->Phase = item_phase::Done;
  }
  logInfo("job_ended", {{"job", Job->Job.Id},
                        {"listed", std::to_string(Job->log().listed().size())},
                        {"items", std::to_string(Job->Items.size())},
                        {"stopped_runs", std::to_string(Stopped)}});
  answerReads(*Job);
  if (Job->log().listed().size() < Job->Items.size())
    Job->Writer->close();
  scheduleSoon();
}

/// Incomplete groups may return in a later job and continue from their text
/// there if its versions are new enough.
void job_scheduler::saveForLaterJob(const item_state &Item) {
  if (!hasProgress(Item))
    return;
  const std::string &Id = Item.Item->Id;
  ImportedProgress[Id] = encodeProgress(Item);
  SavedItemIds.push_back(Id);
  if (SavedItemIds.size() <= MaxSavedItems)
    return;
  ImportedProgress.erase(SavedItemIds.front());
  SavedItemIds.pop_front();
}

void job_scheduler::readResults(const job_call &Call,
                                std::function<void(bool, std::string)> Done) {
  const auto It = Jobs.find(Call.JobId);
  if (It == Jobs.end()) {
    Done(false, {});
    return;
  }
  const std::shared_ptr<job_state> Job = It->second;
  // Until the closing batch of an ended job is written, a previous scheduler
  // may still list results, so the caller has to read them from the store.
  const size_t Listed = Job->log().listed().size();
  if (Job->Ended && !Job->log().closed() && Call.After >= Listed &&
      Listed < Job->Items.size()) {
    Done(false, {});
    return;
  }
  auto Read = std::make_shared<pending_read>();
  Read->After = Call.After;
  Read->Done = std::move(Done);
  Job->PendingReads.push_back(Read);
  // On timeout, the read returns the results listed by then, possibly none.
  const std::weak_ptr<pending_read> WeakRead = Read;
  Read->Timer =
      runLater(std::max(Call.Wait, milliseconds(Job->Writer->ready() ? 0 : 1)),
               [this, Job, WeakRead] {
                 const auto ExpiredRead = WeakRead.lock();
                 if (!ExpiredRead)
                   return;
                 std::erase(Job->PendingReads, ExpiredRead);
                 ExpiredRead->Done(Job->Writer->ready(),
                                   encodePage(*Job, ExpiredRead->After));
               });
  answerReads(*Job);
}

void job_scheduler::answerReads(job_state &Job) {
  if (!Job.Writer->ready())
    return;
  const size_t Listed = Job.log().listed().size();
  const bool ListIsFinal = Job.Ended || Listed == Job.Items.size();
  std::vector<std::shared_ptr<pending_read>> Ready;
  std::erase_if(Job.PendingReads,
                [&](const std::shared_ptr<pending_read> &Read) {
                  if (Read->After >= Listed && !ListIsFinal)
                    return false;
                  Ready.push_back(Read);
                  return true;
                });
  for (const std::shared_ptr<pending_read> &Read : Ready) {
    Read->Timer.reset();
    Read->Done(true, encodePage(Job, Read->After));
  }
}

std::optional<std::string>
job_scheduler::itemBody(std::string_view JobId, std::string_view ItemId) const {
  const auto It = Jobs.find(JobId);
  return It == Jobs.end() ? std::nullopt
                          : findItemBody(It->second->Job, ItemId);
}

std::string job_scheduler::encodePage(const job_state &Job,
                                      uint64_t After) const {
  return encodeResultPage(Job.log().listed(), Job.Items.size(), After,
                          Options.MaxPageBytes, Options.Protocols);
}

void job_scheduler::tick() {
  TickTimer = Options.Loop.after(TickInterval, [this] {
    checkRuns(event_loop::now());
    expireItems();
    dropEndedJobs(event_loop::now());
    Speed.expire(event_loop::now());
    scheduleSoon();
    tick();
  });
}

void job_scheduler::checkRuns(time_point Now) {
  for (const auto &[Id, Job] : Jobs) {
    if (Job->Ended)
      continue;
    for (const auto &Item : Job->Items) {
      if (Item->Phase != item_phase::Running)
        continue;
      observeSpeed(*Item);
      if (Now - Item->Run->progressAt() >= Options.StallTimeout)
        onRunEnd(*Item, {.Outcome = item_run_outcome::Broken,
                         .Detail = "no event within the stall timeout"});
    }
  }
  moveSlowItems(Now);
}

void job_scheduler::dropEndedJobs(time_point Now) {
  std::erase_if(Jobs, [&](const auto &Entry) {
    const job_state &Job = *Entry.second;
    return Job.Ended && !Job.Writer->busy() &&
           Now - Job.EndedAt > Options.EndedRetention;
  });
}

void job_scheduler::expireItems() {
  const uint64_t Now = Options.UnixNow();
  for (const auto &[Id, Job] : Jobs) {
    if (Job->Ended || !Job->Writer->ready() || Job->ExpiresAtMs == 0 ||
        Now < Job->ExpiresAtMs)
      continue;
    for (const auto &Item : Job->Items) {
      if (Item->Phase == item_phase::Done)
        continue;
      stopRun(*Item);
      Item->ScoringCall.reset();
      giveUp(*Item, "expired");
    }
  }
}

} // namespace cardamom
