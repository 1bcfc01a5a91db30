/// \file
/// Simulates entries, store, engines and trainer around real step owners, for
/// tests. Everything runs on one thread, in simulated time, from one seed.

#ifndef CARDAMOM_ENTRY_STEP_SIMULATION_H
#define CARDAMOM_ENTRY_STEP_SIMULATION_H

#include "entry/step_owner.h"
#include "inner/gen/messages.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace cardamom {

class step_simulation {
public:
  static constexpr unsigned EntryCount = 3;
  static constexpr unsigned GroupCount = 5;
  static constexpr unsigned SamplesPerGroup = 4;
  static constexpr unsigned MaxTokens = 12;
  static constexpr uint64_t StalenessBound = 1;
  static constexpr uint64_t StepCount = 4;

  struct fault_counts {
    unsigned Crashes = 0;
    unsigned Pauses = 0;
    unsigned Takeovers = 0;
    unsigned LostReplies = 0;
    unsigned Adopted = 0;
    unsigned Resumed = 0;
  };

  explicit step_simulation(uint32_t Seed) : Random(Seed) {
    auto Config = std::make_shared<configuration>();
    Config->Trainers.push_back({.Name = "t",
                                .Priority = 1,
                                .Model = "m",
                                .StalenessBound = StalenessBound,
                                .Scorer = {}});
    Configuration = Config;
    for (unsigned I = 0; I < EntryCount; ++I)
      startEntry(I);
  }

  /// Returns a description of the first violated property; empty when there is
  /// none.
  std::string run() {
    static constexpr int MaxTicks = 40000;
    for (int I = 0; I < MaxTicks && Failure.empty() && Step <= StepCount; ++I)
      tick();
    if (Failure.empty() && Step <= StepCount)
      Failure = "step " + std::to_string(Step) + " did not finish; received " +
                std::to_string(ReceivedSamples.size()) + " samples";
    return Failure;
  }

  fault_counts Counts;

private:
  struct simulated_entry {
    std::unique_ptr<step_owner> Owner;
    uint64_t Generation = 0;
    bool Alive = false;
    time_point PausedUntil{};
    time_point RestartAt{};
  };
  struct event {
    unsigned Entry;
    uint64_t Generation;
    std::function<void(time_point)> Action;
  };
  struct simulated_object {
    uint64_t Version = 0;
    std::string Value;
  };
  struct engine_run {
    std::string Sample;
    uint32_t ResumeTokens = 0;
    std::vector<uint64_t> Versions;
    time_point StartedAt;
    milliseconds TokenTime{0};
    outcome_kind Kind = outcome_kind::Completed;
    uint32_t TokenLimit = MaxTokens;
    bool Cancelled = false;
    std::shared_ptr<run_progress> Progress;
    step_owner_options::run_callback OnEnd;
    unsigned Entry = 0;
    uint64_t Generation = 0;
    bool Ended = false;
  };

  bool chance(double Probability) {
    return std::uniform_real_distribution<>(0, 1)(Random) < Probability;
  }
  unsigned randomBelow(unsigned Limit) {
    return std::uniform_int_distribution<unsigned>(0, Limit - 1)(Random);
  }
  milliseconds delay(unsigned MaxMs) {
    return milliseconds(randomBelow(MaxMs) + 1);
  }

  void schedule(unsigned Entry, milliseconds After,
                std::function<void(time_point)> Action) {
    Events.emplace(Now + After, event{Entry, EntryStates[Entry].Generation,
                                      std::move(Action)});
  }

  void startEntry(unsigned I) {
    simulated_entry &Entry = EntryStates[I];
    Entry.Generation = ++LastGeneration;
    Entry.Alive = true;
    Entry.PausedUntil = {};
    step_owner_options OwnerOptions;
    OwnerOptions.Trainer = "t";
    OwnerOptions.Lease.Key = "trainers/t";
    OwnerOptions.Lease.Self.Owner = "entry-" + std::to_string(I);
    OwnerOptions.Lease.Self.Address = std::to_string(I);
    OwnerOptions.Lease.Self.Incarnation = Entry.Generation;
    // Short, so that takeovers occur in the middle of steps.
    OwnerOptions.Lease.Duration = milliseconds(2000);
    OwnerOptions.Lease.RenewInterval = milliseconds(600);
    OwnerOptions.Lease.Get = [this, I](const std::string &Key, auto Answer) {
      storeCall(
          I, [this, Key] { return get(Key); }, Answer);
    };
    OwnerOptions.Lease.Put = [this, I](const std::string &Key,
                                       const std::string &Value,
                                       uint64_t IfVersion, auto Answer) {
      storeCall(
          I, [=, this] { return put(Key, Value, IfVersion); }, Answer);
    };
    OwnerOptions.Config = [this] { return Configuration; };
    OwnerOptions.Dispatch = [this, I](const dispatch_call &Call, auto Progress,
                                      auto OnEnd) {
      return dispatch(I, Call, Progress, OnEnd);
    };
    OwnerOptions.Cancel = [this](dispatch_id Id) {
      Runs.at(Id).Cancelled = true;
    };
    OwnerOptions.Abandon = [this](dispatch_id Id) {
      Runs.at(Id).Cancelled = true;
      Runs.at(Id).OnEnd = nullptr;
    };
    OwnerOptions.Detach = [this](dispatch_id Id) {
      Runs.at(Id).OnEnd = nullptr;
    };
    OwnerOptions.Acknowledge = [this](const std::string &,
                                      const std::string &Id) {
      Retained.erase(Id);
    };
    OwnerOptions.FindRuns = [this, I](const std::string &,
                                      const std::string &Prefix, auto OnFound) {
      schedule(I, delay(800), [this, Prefix, OnFound](time_point At) {
        OnFound(findRuns(Prefix), At);
      });
    };
    OwnerOptions.PredictMs = [](auto &&...) { return 50.0; };
    OwnerOptions.UpstreamsOfPool = [](const std::string &) {
      return std::vector<upstream_view>{
          {.Name = "upstream", .Connected = true, .Slots = 4}};
    };
    OwnerOptions.NewRequestId = [this] {
      return "r" + std::to_string(++LastRequestId);
    };
    OwnerOptions.Straggler.MinElapsed = milliseconds(300);
    OwnerOptions.Straggler.MinRemaining = milliseconds(300);
    Entry.Owner = std::make_unique<step_owner>(std::move(OwnerOptions));
  }

  store_result get(const std::string &Key) {
    const auto It = Objects.find(Key);
    if (It == Objects.end())
      return {.Status = store_status::NotFound};
    return {.Status = store_status::Ok,
            .Version = It->second.Version,
            .Value = It->second.Value};
  }

  store_result put(const std::string &Key, const std::string &Value,
                   uint64_t IfVersion) {
    simulated_object &Object = Objects[Key];
    if (Object.Version != IfVersion)
      return {.Status = store_status::Conflict, .Version = Object.Version};
    Object = {Object.Version + 1, Value};
    return {.Status = store_status::Ok, .Version = Object.Version};
  }

  template <typename callback>
  void storeCall(unsigned Entry, const std::function<store_result()> &Operation,
                 callback Answer) {
    // The call takes effect when it reaches the store, even if the caller has
    // crashed or is paused by then.
    const milliseconds Delay = delay(40);
    StoreEffects.emplace(
        Now + Delay, [=, this, Generation = EntryStates[Entry].Generation] {
          store_result Result;
          if (Now >= OutageUntil)
            Result = Operation();
          if (Result.Status == store_status::Ok && chance(0.05))
            Result = {.Status = store_status::Unknown};
          if (EntryStates[Entry].Generation == Generation)
            schedule(Entry, delay(40),
                     [Answer, Result](time_point At) { Answer(Result, At); });
        });
  }

  dispatch_id dispatch(unsigned Entry, const dispatch_call &Call,
                       std::shared_ptr<run_progress> Progress,
                       step_owner_options::run_callback OnEnd) {
    const dispatch_id Id = ++LastRun;
    const wire::run_request &Request = *Call.Request;
    const auto Existing = Retained.find(Request.request_id());
    if (!Call.AdoptFromUpstream.empty()) {
      ++Counts.Adopted;
      if (Existing == Retained.end()) {
        scheduleRunEnd(Entry, OnEnd, {.Kind = outcome_kind::NeverSeen}, "");
        Runs[Id].Ended = true;
        return Id;
      }
      Runs[Id] = Runs.at(Existing->second);
      Runs.at(Existing->second).Ended = true;
      Existing->second = Id;
    } else {
      engine_run &Run = Runs[Id];
      Run.Sample = Request.sample();
      Run.ResumeTokens = Request.model().resume_tokens();
      Run.StartedAt = Now;
      // One run in ten is a straggler.
      Run.TokenTime = chance(0.1) ? milliseconds(800) : delay(150);
      chooseOutcome(Run);
      Counts.Resumed += Run.ResumeTokens > 0;
      Retained[Request.request_id()] = Id;
    }
    engine_run &Run = Runs[Id];
    Run.Progress = std::move(Progress);
    Run.Progress->onSent("u1");
    Run.OnEnd = std::move(OnEnd);
    Run.Entry = Entry;
    Run.Generation = EntryStates[Entry].Generation;
    Run.Ended = false;
    RequestIds[Id] = Request.request_id();
    return Id;
  }

  void chooseOutcome(engine_run &Run) {
    static constexpr outcome_kind Outcomes[] = {
        outcome_kind::Preempted, outcome_kind::UpstreamFailed,
        outcome_kind::ReconnectTimedOut, outcome_kind::RefusedByAgent};
    Run.TokenLimit = MaxTokens - Run.ResumeTokens;
    if (!chance(0.2))
      return;
    Run.Kind = Outcomes[randomBelow(4)];
    Run.TokenLimit = randomBelow(Run.TokenLimit + 1);
  }

  void scheduleRunEnd(unsigned Entry,
                      const step_owner_options::run_callback &OnEnd,
                      dispatch_result Result, std::string Text) {
    Result.Verdict = classify({.Kind = Result.Kind});
    Result.Upstream = "u1";
    schedule(Entry, delay(20),
             [OnEnd, Run = run_result{Result, std::move(Text)}](time_point At) {
               OnEnd(Run, At);
             });
  }

  void advanceRun(dispatch_id Id, engine_run &Run) {
    while (Run.Versions.size() < Run.TokenLimit && !Run.Cancelled &&
           Run.StartedAt + Run.TokenTime * (Run.Versions.size() + 1) <= Now) {
      Run.Versions.push_back(EngineVersion);
      if (Run.Progress)
        Run.Progress->addSpan({EngineVersion, 1});
    }
    if (Run.Cancelled || Run.Versions.size() >= Run.TokenLimit)
      endRun(Id, Run);
  }

  void endRun(dispatch_id Id, engine_run &Run) {
    if (!Run.OnEnd || EntryStates[Run.Entry].Generation != Run.Generation)
      return; // No owner waits for this run; the agent retains it for the next.
    dispatch_result Result;
    Result.Kind = Run.Cancelled ? outcome_kind::Cancelled : Run.Kind;
    Result.RequestId = RequestIds[Id];
    Result.Address = "a";
    std::string Text;
    if (Result.Kind != outcome_kind::ReconnectTimedOut &&
        Result.Kind != outcome_kind::RefusedByAgent) {
      Result.OutputComplete = true;
      for (uint64_t Version : Run.Versions) {
        const token_span Span{Version, 1};
        appendSpans(Result.Spans, std::span(&Span, 1));
      }
      for (uint32_t I = 0; I < Run.Versions.size(); ++I)
        Text += tokenText(Run.ResumeTokens + I, Run.Versions[I]);
    }
    Run.Ended = true;
    scheduleRunEnd(Run.Entry, Run.OnEnd, std::move(Result), std::move(Text));
  }

  static std::string tokenText(uint32_t Position, uint64_t Version) {
    return std::to_string(Position) + ":" + std::to_string(Version) + ";";
  }

  std::vector<retained_run> findRuns(const std::string &Prefix) {
    std::vector<retained_run> Found;
    for (const auto &[Name, Id] : Retained)
      if (Runs.at(Id).Sample.starts_with(Prefix))
        Found.push_back({"u1", Name, Runs.at(Id).Sample});
    return Found;
  }

  void tick() {
    Now += milliseconds(10);
    runDue(StoreEffects, [](auto &Effect) { Effect(); });
    injectFaults();
    runDue(Events, [this](event &Event) { runEvent(Event); });
    for (auto &[Id, Run] : Runs)
      if (!Run.Ended)
        advanceRun(Id, Run);
    for (unsigned I = 0; I < EntryCount; ++I)
      if (EntryStates[I].Alive && EntryStates[I].PausedUntil <= Now)
        EntryStates[I].Owner->tick(Now);
    tickTrainer();
  }

  template <typename queue, typename action>
  void runDue(queue &Queue, action Action) {
    while (!Queue.empty() && Queue.begin()->first <= Now) {
      auto Item = std::move(Queue.begin()->second);
      Queue.erase(Queue.begin());
      Action(Item);
    }
  }

  void runEvent(event &Event) {
    simulated_entry &Entry = EntryStates[Event.Entry];
    if (!Entry.Alive || Entry.Generation != Event.Generation)
      return;
    if (Entry.PausedUntil > Now)
      Events.emplace(Entry.PausedUntil, std::move(Event));
    else
      Event.Action(Now);
  }

  void injectFaults() {
    for (unsigned I = 0; I < EntryCount; ++I) {
      simulated_entry &Entry = EntryStates[I];
      if (!Entry.Alive && Now >= Entry.RestartAt)
        startEntry(I);
      if (Entry.Alive && chance(0.0005)) {
        ++Counts.Crashes;
        Entry.Alive = false;
        Entry.Owner.reset();
        Entry.RestartAt = Now + delay(5000);
      } else if (Entry.Alive && Entry.PausedUntil <= Now && chance(0.0008)) {
        ++Counts.Pauses;
        Entry.PausedUntil = Now + delay(6000);
        // Some entries resume during a store outage, when they cannot learn
        // that they have lost the lease.
        if (chance(0.5))
          PlannedOutages.emplace(Entry.PausedUntil - milliseconds(20),
                                 Entry.PausedUntil + delay(4000));
      }
    }
    if (chance(0.0003))
      OutageUntil = Now + delay(6000);
    runDue(PlannedOutages, [this](time_point Until) {
      OutageUntil = std::max(OutageUntil, Until);
    });
  }

  // Simulates the trainer, which sends one call at a time and repeats it after
  // 2 s.
  void tickTrainer() {
    if (CallPending && Now < CallDeadline)
      return;
    CallPending = true;
    // The trainer may publish weights in the middle of a step.
    if (Submitted && chance(0.02))
      ++Version;
    const uint64_t CallId = ++LastCallId;
    CallDeadline = Now + milliseconds(2000);
    trainer_call Call;
    Call.Kind =
        Submitted ? trainer_call::kind::Draw : trainer_call::kind::Submit;
    Call.Trainer = "t";
    Call.Step = Step;
    Call.Body = Submitted ? drawBody() : submitBody();
    if (EngineVersion < Version && chance(0.05))
      EngineVersion = Version;
    sendCall(randomBelow(EntryCount), Call, false, CallId);
  }

  void sendCall(unsigned Entry, const trainer_call &Call, bool Forwarded,
                uint64_t CallId) {
    if (!EntryStates[Entry].Alive) {
      retrySoon(CallId);
      return;
    }
    schedule(Entry, delay(20), [=, this](time_point At) {
      EntryStates[Entry].Owner->call(
          Call, Forwarded,
          [=, this](const step_answer &Answer) {
            if (!Answer.ForwardTo.empty())
              sendCall(unsigned(std::stoul(Answer.ForwardTo)), Call, true,
                       CallId);
            else
              onReply(Call, Answer.Reply, CallId);
          },
          At);
    });
  }

  void retrySoon(uint64_t CallId) {
    if (CallId == LastCallId)
      CallDeadline = std::min(CallDeadline, Now + milliseconds(100));
  }

  void onReply(const trainer_call &Call, const http_reply &Reply,
               uint64_t CallId) {
    // The trainer cannot distinguish a lost reply from a late one.
    if (chance(0.05)) {
      ++Counts.LostReplies;
      return;
    }
    if (CallId != LastCallId || !CallPending)
      return;
    if (Reply.Status != 200) {
      const auto Body = nlohmann::json::parse(Reply.Body);
      if (Body["error"]["reason"] == "step_unknown")
        Submitted = false;
      retrySoon(CallId);
      return;
    }
    CallPending = false;
    if (Call.Kind == trainer_call::kind::Submit)
      Submitted = true;
    else
      onDrawReply(nlohmann::json::parse(Reply.Body));
  }

  void onDrawReply(const nlohmann::json &Body) {
    const auto ReplyEpoch = Body["epoch"].get<uint64_t>();
    if (ReplyEpoch < Epoch) {
      Failure = "the reply to a draw has a lower epoch than the draw";
      return;
    }
    Counts.Takeovers += ReplyEpoch > Epoch;
    Epoch = ReplyEpoch;
    for (const auto &Sample : Body["samples"])
      checkSample(Sample);
    const bool All =
        ReceivedSamples.size() == size_t(GroupCount) * SamplesPerGroup;
    if (Body["complete"].get<bool>() != All)
      Failure = "\"complete\" contradicts the received samples";
    if (!All)
      return;
    ++Step;
    StepVersion = ++Version;
    ReceivedSamples.clear();
    Submitted = false;
  }

  void checkSample(const nlohmann::json &Sample) {
    const sample_key Key{Sample["group"].get<uint64_t>(),
                         Sample["index"].get<uint32_t>()};
    if (Key.Group >= GroupCount || Key.Index >= SamplesPerGroup)
      Failure = "unknown sample";
    if (!ReceivedSamples.insert(Key).second)
      Failure = "a sample was delivered twice";
    std::string Expected;
    uint32_t Position = 0;
    for (const auto &Span : Sample["spans"]) {
      const auto SpanVersion = Span["version"].get<uint64_t>();
      if (Version > SpanVersion && Version - SpanVersion > StalenessBound)
        Failure = "a stale sample was delivered";
      for (uint32_t I = 0; I < Span["tokens"].get<uint32_t>(); ++I)
        Expected += tokenText(Position++, SpanVersion);
    }
    if (Position != MaxTokens || Sample["text"] != Expected)
      Failure = "weight versions or text are wrong: " + Sample.dump();
  }

  std::string submitBody() {
    nlohmann::json Body = {{"version", StepVersion},
                           {"groups", nlohmann::json::array()}};
    for (unsigned I = 0; I < GroupCount; ++I)
      Body["groups"].push_back({{"group", I},
                                {"prompt", "p" + std::to_string(I)},
                                {"n", SamplesPerGroup},
                                {"max_tokens", MaxTokens}});
    return Body.dump();
  }

  std::string drawBody() {
    nlohmann::json Body = {{"version", Version},
                           {"epoch", Epoch},
                           {"have", nlohmann::json::array()},
                           {"max", 5},
                           {"wait_ms", 500}};
    for (const sample_key &Key : ReceivedSamples)
      Body["have"].push_back({Key.Group, Key.Index});
    return Body.dump();
  }

  std::mt19937 Random;
  time_point Now = time_point() + milliseconds(1000000);
  std::shared_ptr<const configuration> Configuration;
  std::map<unsigned, simulated_entry> EntryStates;
  std::multimap<time_point, event> Events;
  std::multimap<time_point, std::function<void()>> StoreEffects;
  std::map<std::string, simulated_object> Objects;
  time_point OutageUntil{};
  std::multimap<time_point, time_point> PlannedOutages;
  std::map<dispatch_id, engine_run> Runs;
  std::map<dispatch_id, std::string> RequestIds;
  /// Runs that agents retain, by request id.
  std::map<std::string, dispatch_id> Retained;
  uint64_t LastGeneration = 0;
  uint64_t LastRequestId = 0;
  dispatch_id LastRun = 0;

  uint64_t Step = 1;
  uint64_t Version = 1;
  uint64_t StepVersion = 1;
  uint64_t EngineVersion = 1;
  uint64_t Epoch = 0;
  std::set<sample_key> ReceivedSamples;
  bool Submitted = false;
  bool CallPending = false;
  time_point CallDeadline{};
  uint64_t LastCallId = 0;
  std::string Failure;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_STEP_SIMULATION_H
