#include "jobs/job_scheduler.h"

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/plain_caller.h"
#include "http/event_loop.h"
#include "jobs/item_run.h"
#include "jobs/result_page.h"
#include "jobs/result_writer.h"
#include "policy/listing_pace.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <vector>

namespace cardamom {

/// How often runs are checked for stalls and items for their time limit.
static constexpr milliseconds TickInterval{200};
/// Pause before a failed item or scoring call is tried again.
static constexpr milliseconds FailurePause{50};
/// Pause before a scoring call whose route is missing is tried again.
static constexpr milliseconds MissingRoutePause{500};
/// Output tokens of an item without an estimate, until some have finished.
static constexpr double InitialMeanTokens = 500;
/// Weight of a finished item in the mean of output tokens.
static constexpr double MeanGain = 0.05;
/// A scoring call gets this multiple of its route's target, and at least the
/// minimum.
static constexpr int ScoringPatience = 4;
static constexpr milliseconds MinScoringPatience{600};
/// Runs with fewer events say little about a replica's speed.
static constexpr uint64_t MinEventsForSpeed = 3;
/// Share of the text so far by which an item that has outrun its estimate is
/// expected to go on.
static constexpr double OverrunShare = 0.3;
/// A run is not moved before it has shown some speed.
static constexpr milliseconds MinRunBeforeMove{300};
/// Texts of ended jobs that are kept in case their items return: those of some
/// steps of several trainers.
static constexpr size_t MaxKeptTexts = 400;
/// Wall clocks of two VMs may differ by about this much.
static constexpr uint64_t ClockSlackMs = 500;

enum class item_phase { Waiting, Running, Scoring, Done };

struct job_scheduler::item_state {
  job_state *Job = nullptr;
  const job_item *Item = nullptr;
  item_phase Phase = item_phase::Waiting;
  item_text Text;
  /// All of the text is there; only the score is missing.
  bool TextComplete = false;
  unsigned Failures = 0;
  /// Broken runs in a row that brought no event.
  unsigned EmptyRuns = 0;
  unsigned ScoringFailures = 0;
  bool Spare = false;
  time_point NotBefore{};
  time_point FirstStartedAt{};
  std::string LastReplica;
  /// Events of the run, and their time, that speed was learned from.
  uint64_t SeenEvents = 0;
  time_point SeenAt{};
  std::unique_ptr<item_run> Run;
  plain_run_ptr Scoring;
  timer_handle Retry;
};

struct job_scheduler::reader {
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
  std::optional<listing_pace> Pace;
  std::vector<std::unique_ptr<item_state>> Items;
  std::vector<std::shared_ptr<reader>> Readers;
};

job_scheduler::job_scheduler(job_scheduler_options Options)
    : Options(std::move(Options)), Placement({}),
      MeanTokens(InitialMeanTokens) {
  tick();
}

job_scheduler::~job_scheduler() {
  Alive.reset();
  for (const auto &[Id, Job] : Jobs) {
    // A timer that has not fired yet may keep the job; its runs must not
    // outlive this object.
    Job->Items.clear();
    Job->Writer.reset();
    const auto Readers = std::move(Job->Readers);
    Job->Readers.clear();
    for (const auto &Reader : Readers) {
      Reader->Timer.reset();
      Reader->Done(false, {});
    }
  }
}

std::function<void(const std::function<void()> &)> job_scheduler::guard() {
  return [Weak = std::weak_ptr<bool>(Alive)](const std::function<void()> &Do) {
    if (!Weak.expired())
      Do();
  };
}

timer_handle job_scheduler::later(milliseconds Delay,
                                  std::function<void()> Task) {
  return Options.Loop.after(
      Delay, [Guard = guard(), Task = std::move(Task)] { Guard(Task); });
}

bool job_scheduler::knows(std::string_view Id) const {
  return Jobs.find(Id) != Jobs.end();
}

size_t job_scheduler::openJobs() const {
  return size_t(std::count_if(Jobs.begin(), Jobs.end(), [](const auto &Entry) {
    const job_state &Job = *Entry.second;
    return !Job.Ended && Job.log().listed().size() < Job.Items.size();
  }));
}

void job_scheduler::addJob(job NewJob, bool HasResults) {
  if (knows(NewJob.Id))
    return;
  auto Job = std::make_shared<job_state>(std::move(NewJob));
  const time_point Now = event_loop::now();
  const route *Route = Options.FindRoute(Job->Job.Host, Job->Job.Target);
  const uint64_t AgeMs =
      Options.UnixNow() - std::min(Options.UnixNow(), Job->Job.SubmittedAtMs);
  Job->AddedAt = Now;
  Job->DueAt = Now - milliseconds(AgeMs);
  if (Route) {
    Job->DueAt += Route->Due;
    Job->MaxAttempts = Route->MaxAttempts;
    Job->SingleVersion = Route->SingleVersion;
    if (Route->ItemTtl.count() > 0)
      Job->ExpiresAtMs = Job->Job.SubmittedAtMs +
                         uint64_t(Route->ItemTtl.count()) + ClockSlackMs;
  }
  for (const job_item &Item : Job->Job.Items) {
    auto State = std::make_unique<item_state>();
    State->Job = Job.get();
    State->Item = &Item;
    Job->Items.push_back(std::move(State));
  }
  markSpareGroups(*Job);
  Job->Writer = makeWriter(Job);
  Job->Pace = makePace(*Job);
  Jobs[Job->Job.Id] = Job;
  for (const auto &Item : Job->Items)
    takeImported(*Item);
  logState("job_added", {{"job", Job->Job.Id},
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
  // The writer belongs to the job.
  job_state *State = Job.get();
  return std::make_unique<result_writer>(
      result_writer_options{
          .Loop = Options.Loop,
          .Link = Options.Link,
          .ResultKind = Options.ResultKind,
          .NewId = Options.NewId,
          .ConfirmLease = Options.ConfirmLease,
          .MaxBatchBytes = Options.MaxBatchBytes,
          .OnReady = [this, State] { onLoaded(*State); },
          .OnListed = [this, State](size_t Count) { onListed(*State, Count); },
          .OnClosedByOther = [this, Id = Job->Job.Id] { endJob(Id); }},
      Job->Job.Id);
}

listing_pace job_scheduler::makePace(const job_state &Job) const {
  std::vector<std::string_view> Groups;
  for (const auto &Item : Job.Items)
    Groups.push_back(Item->Item->Group);
  return {{.Delay = Options.BatchDelay}, Groups, Job.Job.TargetGroups};
}

void job_scheduler::onLoaded(job_state &Job) {
  logState("job_resumed",
           {{"job", Job.Job.Id},
            {"listed", std::to_string(Job.log().listed().size())}});
  serveReaders(Job);
  scheduleSoon();
}

bool job_scheduler::hasProgress(const item_state &Item) {
  return Item.Phase != item_phase::Done && Item.Text.LastEvent.has_value();
}

nlohmann::json job_scheduler::progressOf(const item_state &Item) {
  const item_text &Text = Item.Text;
  return {{"job", Item.Job->Job.Id},       {"text", Text.Text},
          {"last_event", *Text.LastEvent}, {"events", Text.Events},
          {"versions", Text.Versions},     {"failures", Item.Failures},
          {"complete", Item.TextComplete}};
}

nlohmann::json job_scheduler::exportProgress(milliseconds MinAge) const {
  const time_point Now = event_loop::now();
  nlohmann::json Progress = nlohmann::json::object();
  for (const auto &[Id, Job] : Jobs) {
    if (Job->Ended)
      continue;
    for (const item_result &Result : Job->log().waiting()) {
      nlohmann::json &Entry = Progress[Result.ItemId];
      Entry = result_log::encodeBatch({&Result, 1}, {});
      Entry["job"] = Id;
    }
    for (const auto &Item : Job->Items) {
      if (hasProgress(*Item) && Now - Item->FirstStartedAt >= MinAge)
        Progress[Item->Item->Id] = progressOf(*Item);
    }
  }
  return Progress;
}

void job_scheduler::importProgress(const nlohmann::json &Progress) {
  if (!Progress.is_object())
    throw std::invalid_argument("the progress is not an object");
  for (const auto &[ItemId, Entry] : Progress.items())
    Imported[ItemId] = Entry;
  for (const auto &[Id, Job] : Jobs)
    for (const auto &Item : Job->Items)
      takeImported(*Item);
}

void job_scheduler::takeImported(item_state &Item) {
  const auto Found = Imported.find(Item.Item->Id);
  if (Found == Imported.end())
    return;
  const nlohmann::json Entry = std::move(Found->second);
  Imported.erase(Found);
  if (Item.Phase != item_phase::Waiting || Item.Text.Events > 0)
    return;
  try {
    // An item may return in a later job, with another scoring call and newer
    // versions; of an earlier one only the text can be of use.
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
    logState("progress_unreadable",
             {{"item", Item.Item->Id}, {"reason", Error.what()}});
    Item.Text = {};
    return;
  }
  // Text of an earlier job may be older than this one allows.
  if (!Item.Text.Versions.empty() &&
      *Item.Text.Versions.begin() < Item.Job->Job.MinVersion) {
    Item.Text = {};
    Item.TextComplete = false;
  }
}

/// The trainer waits for TargetGroups groups. Those that are expected to take
/// longest are left for last, but for groups that returned from an earlier
/// job, which it always waits for.
void job_scheduler::markSpareGroups(job_state &Job) {
  std::map<std::string, double> Longest;
  for (const auto &Item : Job.Items) {
    double &Tokens = Longest[Item->Item->Group];
    Tokens = std::max(Tokens, expectedTokens(*Item));
  }
  const size_t Wanted =
      Job.Job.TargetGroups == 0 ? Longest.size() : Job.Job.TargetGroups;
  std::vector<std::pair<double, std::string>> Order;
  for (const auto &[Group, Tokens] : Longest)
    if (!SeenGroups.contains(Group))
      Order.emplace_back(Tokens, Group);
  std::sort(Order.rbegin(), Order.rend());
  const size_t Spare =
      std::min(Order.size(), Longest.size() - std::min(Longest.size(), Wanted));
  std::set<std::string> SpareGroups;
  for (size_t I = 0; I < Spare; ++I)
    SpareGroups.insert(Order[I].second);
  for (const auto &Item : Job.Items) {
    Item->Spare = SpareGroups.contains(Item->Item->Group);
    SeenGroups.insert(Item->Item->Group);
  }
}

double job_scheduler::tokensPerEvent() const {
  const service *Service = Options.FindService();
  return Service ? Service->TokensPerEvent : 1;
}

double job_scheduler::expectedTokens(const item_state &Item) const {
  const double Expected = Item.Item->ExpectedTokens > 0
                              ? double(Item.Item->ExpectedTokens)
                              : MeanTokens;
  return Expected;
}

double job_scheduler::remainingTokens(const item_state &Item) const {
  const double Done = double(Item.Text.Events) * tokensPerEvent();
  // Lengths have a heavy tail: what has outrun its estimate goes on for some
  // while.
  return std::max(
      {expectedTokens(Item) - Done, Done * OverrunShare, tokensPerEvent()});
}

uint64_t job_scheduler::exactVersion(const item_state &Item) {
  return Item.Job->SingleVersion && !Item.Text.Versions.empty()
             ? *Item.Text.Versions.begin()
             : 0;
}

/// Text of a version that no replica has any more cannot go on where all of
/// it must come from one version.
void job_scheduler::restartIfVersionGone(item_state &Item) {
  const uint64_t Version = exactVersion(Item);
  if (Version == 0)
    return;
  for (const replica *Replica : Options.Directory.listed(Options.Pool)) {
    const auto It = Replica->Versions.find(Item.Job->Job.Model);
    if (It != Replica->Versions.end() && It->second == Version)
      return;
  }
  logState("item_restarted",
           {{"item", Item.Item->Id}, {"version", std::to_string(Version)}});
  Item.Text = {};
}

void job_scheduler::scheduleSoon() {
  if (SchedulePending)
    return;
  SchedulePending = true;
  Options.Loop.post([this, Guard = guard()] {
    Guard([&] {
      SchedulePending = false;
      schedule();
    });
  });
}

unsigned job_scheduler::runningOn(std::string_view Replica) const {
  const auto It = Running.find(Replica);
  return It == Running.end() ? 0 : It->second;
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
        score(*Item);
        continue;
      }
      restartIfVersionGone(*Item);
      Waiting.push_back({.Index = Candidates.size(),
                         .Model = Job->Job.Model,
                         .MinVersion = Job->Job.MinVersion,
                         .RemainingTokens = remainingTokens(*Item),
                         .Spare = Item->Spare,
                         .DueAt = Job->DueAt,
                         .ExactVersion = exactVersion(*Item),
                         .Avoid = Item->LastReplica});
      Candidates.push_back(Item.get());
    }
  }
  if (Waiting.empty())
    return;
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
  for (const replica *Replica : Replicas) {
    const unsigned Busy = runningOn(Replica->Id);
    const auto Refused = RefusedUntil.find(Replica->Id);
    const bool Paused = Refused != RefusedUntil.end() && Now < Refused->second;
    replica_capacity Entry{
        .Id = Replica->Id,
        .FreeSlots =
            Paused || Busy >= Replica->Slots ? 0 : Replica->Slots - Busy,
        .Slots = std::max(1U, Replica->Slots),
        .Near = Replica->FailureDomain == Options.FailureDomain,
        .Versions = {}};
    for (const auto &[Model, Version] : Replica->Versions)
      if (!Options.ChangingWeights(Replica->Id, Model))
        Entry.Versions[Model] = Version;
    Capacity.push_back(std::move(Entry));
  }
  return Capacity;
}

/// Items on replicas that have turned slow go on where they end sooner.
void job_scheduler::moveSlowItems(time_point Now) {
  std::vector<const replica *> Replicas =
      Options.Directory.usable(Options.Pool, Now);
  const size_t Usable = Replicas.size();
  std::vector<item_state *> Candidates;
  std::vector<running_item> Running;
  for (const auto &[Id, Job] : Jobs) {
    if (Job->Ended)
      continue;
    for (const auto &Item : Job->Items) {
      if (Item->Phase != item_phase::Running ||
          Now - Item->Run->startedAt() < MinRunBeforeMove)
        continue;
      const std::string &Where = Item->Run->replicaId();
      auto It = std::find_if(
          Replicas.begin(), Replicas.end(),
          [&](const replica *Replica) { return Replica->Id == Where; });
      if (It == Replicas.end()) {
        // Draining or failing: its items may go, but none may come.
        const replica *Leaving = Options.Directory.find(Where);
        if (!Leaving)
          continue;
        It = Replicas.insert(Replicas.end(), Leaving);
      }
      Running.push_back({.Index = Candidates.size(),
                         .Model = Job->Job.Model,
                         .MinVersion = Job->Job.MinVersion,
                         .ExactVersion = exactVersion(*Item),
                         .RemainingTokens = remainingTokens(*Item),
                         .Spare = Item->Spare,
                         .DueAt = Job->DueAt,
                         .Replica = size_t(It - Replicas.begin())});
      Candidates.push_back(Item.get());
    }
  }
  std::vector<replica_capacity> Capacity = capacity(Replicas, Now);
  for (size_t I = Usable; I < Capacity.size(); ++I)
    Capacity[I].FreeSlots = 0;
  for (const placed_item &Move : Placement.moves(Running, Capacity, Now)) {
    item_state &Item = *Candidates[Move.Index];
    logState("item_moved",
             {{"item", Item.Item->Id},
              {"from", Item.Run->replicaId()},
              {"to", Replicas[Move.Replica]->Id},
              {"events", std::to_string(Item.Text.Events)},
              {"ms_per_token_from", std::to_string(Placement.msPerToken(
                                        Item.Run->replicaId(), Now))},
              {"ms_per_token_to", std::to_string(Placement.msPerToken(
                                      Replicas[Move.Replica]->Id, Now))}});
    metrics::get().counter("items_moved_total").add();
    stopRun(Item);
    startItem(Item, *Replicas[Move.Replica]);
  }
}

/// Closes the run's connection, on which the replica drops it.
void job_scheduler::stopRun(item_state &Item) {
  if (!Item.Run)
    return;
  observeSpeed(Item);
  if (--Running[Item.Run->replicaId()] == 0)
    Running.erase(Item.Run->replicaId());
  Item.Run.reset();
}

void job_scheduler::startItem(item_state &Item, const replica &Replica) {
  const job &Job = Item.Job->Job;
  upstream_call Call{.RequestId = Item.Item->Id,
                     .Method = "POST",
                     .Target = Item.Item->Path,
                     .Host = Job.Host,
                     .Headers = Item.Item->Headers,
                     .Body = Item.Item->Body,
                     .ReplicaId = Replica.Id,
                     .ResumeAfter = Item.Text.LastEvent};
  const std::string ReplicaId = Replica.Id;
  item_run_options RunOptions{
      .Client = Options.Client,
      .Protocol = Options.Protocols.Upstream,
      .EventVersionField = Options.Protocols.EventVersionField,
      .MinVersion = Job.MinVersion,
      .SingleVersion = Item.Job->SingleVersion,
      .OnVersion =
          [this, ReplicaId, Model = Job.Model](uint64_t Version) {
            Options.Directory.setVersion(ReplicaId, Model, Version);
          },
      .OnLoad =
          [this, ReplicaId](const load_report &Load) {
            Options.Directory.onLoad(ReplicaId, Load, event_loop::now());
          }};
  logState(
      "item_started",
      {{"job", Job.Id},
       {"item", Item.Item->Id},
       {"replica", ReplicaId},
       {"running", std::to_string(runningOn(ReplicaId))},
       {"resume",
        Item.Text.LastEvent ? std::to_string(*Item.Text.LastEvent) : "none"}});
  Item.Phase = item_phase::Running;
  Item.SeenEvents = 0;
  if (Item.FirstStartedAt == time_point{})
    Item.FirstStartedAt = event_loop::now();
  ++Running[ReplicaId];
  metrics::get().counter("items_started_total").add();
  // The run must not be destroyed from inside its own hook.
  const std::weak_ptr<job_state> WeakJob = Jobs[Job.Id];
  Item.Run = std::make_unique<item_run>(
      std::move(RunOptions), Call, Replica, Item.Text, event_loop::now(),
      [this, Guard = guard(), WeakJob, &Item](const item_run_end &End) {
        Options.Loop.post([this, Guard, WeakJob, &Item, End] {
          Guard([&] {
            const auto Job = WeakJob.lock();
            if (Job && !Job->Ended && Item.Phase == item_phase::Running)
              onRunEnd(Item, End);
          });
        });
      });
}

/// Learns from the events since the last look at the run.
void job_scheduler::observeSpeed(item_state &Item) {
  const item_run &Run = *Item.Run;
  if (!Run.firstEventAt())
    return;
  if (Item.SeenEvents == 0) {
    Item.SeenEvents = 1;
    Item.SeenAt = *Run.firstEventAt();
  }
  const uint64_t Events = Run.events() - Item.SeenEvents;
  if (Events < MinEventsForSpeed)
    return;
  Placement.onProgress(
      Run.replicaId(), double(Events) * tokensPerEvent(),
      std::chrono::duration_cast<milliseconds>(Run.progressAt() - Item.SeenAt),
      Run.progressAt());
  Item.SeenEvents = Run.events();
  Item.SeenAt = Run.progressAt();
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
    logState("item_run_ended", {{"job", Item.Job->Job.Id},
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
    MeanTokens +=
        MeanGain * (double(Item.Text.Events) * tokensPerEvent() - MeanTokens);
    score(Item);
    break;
  case item_run_outcome::Refused:
    RefusedUntil[ReplicaId] = Now + Options.RefusalPause;
    break;
  case item_run_outcome::Misdirected:
  case item_run_outcome::Broken:
    Options.Directory.onCallFailed(ReplicaId, Now);
    // A run that brought nothing is not repeated at once.
    Item.EmptyRuns = Progressed ? 0 : std::min(Item.EmptyRuns + 1, 5U);
    if (Item.EmptyRuns > 1)
      retryLater(Item, FailurePause * (1U << Item.EmptyRuns));
    break;
  case item_run_outcome::TooOld:
    // Text of two versions where one is wanted cannot be used.
    if (Item.Job->SingleVersion)
      Item.Text = {};
    break;
  case item_run_outcome::Failed:
    if (++Item.Failures >= Item.Job->MaxAttempts)
      giveUp(Item, "attempts");
    else
      retryLater(Item, FailurePause);
    break;
  case item_run_outcome::Impossible:
    giveUp(Item, "unprocessable");
    break;
  }
  scheduleSoon();
}

void job_scheduler::retryLater(item_state &Item, milliseconds Delay) {
  Item.NotBefore = event_loop::now() + Delay;
  Item.Retry = later(Delay + milliseconds(1), [this] { scheduleSoon(); });
}

void job_scheduler::score(item_state &Item) {
  if (!Item.Item->Scoring) {
    complete(Item, {});
    return;
  }
  Item.Phase = item_phase::Scoring;
  const scoring_call &Scoring = *Item.Item->Scoring;
  const route *Route = Options.FindRoute(Scoring.Host, Scoring.Path);
  const std::weak_ptr<job_state> WeakJob = Jobs[Item.Job->Job.Id];
  if (!Route) {
    // The configuration may bring the route back until the item expires.
    logState("scoring_route_missing",
             {{"item", Item.Item->Id}, {"host", Scoring.Host}});
    Item.Retry = later(MissingRoutePause, [this, &Item] { score(Item); });
    return;
  }
  const time_point Now = event_loop::now();
  Item.Scoring = Options.Caller.start(
      {.Call = {.RequestId = Scoring.RequestId,
                .Method = "POST",
                .Target = Scoring.Path,
                .Host = Scoring.Host,
                .Headers = {},
                .Body = Scoring.Body},
       .Service = Route->Services.front().Service,
       .Idempotent = true,
       .MaxAttempts = 1,
       .Target = Route->TargetLatency,
       .ReceivedAt = Now,
       .Deadline = Now + std::max(Route->TargetLatency * ScoringPatience,
                                  MinScoringPatience)},
      [this, Guard = guard(), WeakJob, &Item](const plain_answer &Answer) {
        Guard([&] {
          const auto Job = WeakJob.lock();
          if (Job && !Job->Ended && Item.Phase == item_phase::Scoring)
            onScored(Item, Answer);
        });
      });
}

void job_scheduler::onScored(item_state &Item, const plain_answer &Answer) {
  // Called from the run itself, which must outlive the call.
  const plain_run_ptr Finished = std::move(Item.Scoring);
  if (Answer.FromReplica && Answer.Head.Status / 100 == 2) {
    complete(Item, Answer.Head.Signature);
    return;
  }
  logState("scoring_failed", {{"item", Item.Item->Id},
                              {"request", Item.Item->Scoring->RequestId},
                              {"status", std::to_string(Answer.Head.Status)},
                              {"reason", Answer.Verdict.Reason}});
  const route *Route =
      Options.FindRoute(Item.Item->Scoring->Host, Item.Item->Scoring->Path);
  const unsigned MaxFailures = Route ? Route->MaxAttempts : 1;
  if (Answer.FromReplica && ++Item.ScoringFailures >= MaxFailures) {
    giveUp(Item, "scoring");
    return;
  }
  Item.Retry = later(FailurePause, [this, &Item] { score(Item); });
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
  logState("item_given_up", {{"job", Item.Job->Job.Id},
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
  Item.Retry.reset();
  Item.Job->Writer->queue(std::move(Result),
                          Item.Job->Pace->onFinished(Item.Item->Group));
}

void job_scheduler::onListed(job_state &Job, size_t Count) {
  dropListedItems(Job);
  if (!Job.Writer->ready())
    return;
  logState(
      "results_listed",
      {{"job", Job.Job.Id},
       {"results", std::to_string(Count)},
       {"listed", std::to_string(Job.log().listed().size())},
       {"age_ms", std::to_string(Options.UnixNow() - Job.Job.SubmittedAtMs)}});
  serveReaders(Job);
}

/// Items that another scheduler has listed need no run of ours.
void job_scheduler::dropListedItems(job_state &Job) {
  for (const auto &Item : Job.Items) {
    if (Item->Phase == item_phase::Done || !Job.log().isListed(Item->Item->Id))
      continue;
    stopRun(*Item);
    Item->Scoring.reset();
    Item->Retry.reset();
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
    keepForLaterJob(*Item);
    Item->Scoring.reset();
    Item->Retry.reset();
    Item->Phase = item_phase::Done;
  }
  logState("job_ended", {{"job", Job->Job.Id},
                         {"listed", std::to_string(Job->log().listed().size())},
                         {"items", std::to_string(Job->Items.size())},
                         {"stopped_runs", std::to_string(Stopped)}});
  serveReaders(*Job);
  if (Job->log().listed().size() < Job->Items.size())
    Job->Writer->close();
  scheduleSoon();
}

/// Groups that were not complete may return in a later job, and go on from
/// their text there if its versions are new enough.
void job_scheduler::keepForLaterJob(const item_state &Item) {
  if (!hasProgress(Item))
    return;
  const std::string &Id = Item.Item->Id;
  Imported[Id] = progressOf(Item);
  KeptTexts.push_back(Id);
  if (KeptTexts.size() <= MaxKeptTexts)
    return;
  Imported.erase(KeptTexts.front());
  KeptTexts.pop_front();
}

void job_scheduler::read(const job_call &Call,
                         std::function<void(bool, std::string)> Done) {
  const auto It = Jobs.find(Call.JobId);
  if (It == Jobs.end()) {
    Done(false, {});
    return;
  }
  const std::shared_ptr<job_state> Job = It->second;
  // Until an ended job is closed a former scheduler may list results: the store
  // knows.
  const size_t Listed = Job->log().listed().size();
  if (Job->Ended && !Job->log().closed() && Call.After >= Listed &&
      Listed < Job->Items.size()) {
    Done(false, {});
    return;
  }
  auto Reader = std::make_shared<reader>();
  Reader->After = Call.After;
  Reader->Done = std::move(Done);
  Job->Readers.push_back(Reader);
  // A reader whose time is over gets the page as it is then.
  const std::weak_ptr<reader> Weak = Reader;
  Reader->Timer =
      later(std::max(Call.Wait, milliseconds(Job->Writer->ready() ? 0 : 1)),
            [this, Job, Weak] {
              const auto Self = Weak.lock();
              if (!Self)
                return;
              std::erase(Job->Readers, Self);
              Self->Done(Job->Writer->ready(), page(*Job, Self->After));
            });
  serveReaders(*Job);
}

void job_scheduler::serveReaders(job_state &Job) {
  if (!Job.Writer->ready())
    return;
  const size_t Listed = Job.log().listed().size();
  const bool NoMore = Job.Ended || Listed == Job.Items.size();
  std::vector<std::shared_ptr<reader>> Ready;
  std::erase_if(Job.Readers, [&](const std::shared_ptr<reader> &Reader) {
    if (Reader->After >= Listed && !NoMore)
      return false;
    Ready.push_back(Reader);
    return true;
  });
  for (const std::shared_ptr<reader> &Reader : Ready) {
    Reader->Timer.reset();
    Reader->Done(true, page(Job, Reader->After));
  }
}

std::optional<std::string>
job_scheduler::itemBody(std::string_view JobId, std::string_view ItemId) const {
  const auto It = Jobs.find(JobId);
  return It == Jobs.end() ? std::nullopt : bodyOf(It->second->Job, ItemId);
}

std::string job_scheduler::page(const job_state &Job, uint64_t After) const {
  return encodePage(Job.log().listed(), Job.Items.size(), After,
                    Options.MaxPageBytes, Options.Protocols);
}

void job_scheduler::tick() {
  TickTimer = Options.Loop.after(TickInterval, [this] {
    checkRuns(event_loop::now());
    expireItems();
    dropEndedJobs(event_loop::now());
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
                         .Detail = "no event in time"});
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
      Item->Scoring.reset();
      giveUp(*Item, "expired");
    }
  }
}

} // namespace cardamom
