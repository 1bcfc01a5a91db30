#include "entry/step_owner.h"

#include "base/invariant.h"
#include "base/metrics.h"
#include "policy/staleness.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace cardamom {

using json = nlohmann::json;

// A trainer sends one call at a time; several wait only when it repeats them.
static constexpr size_t MaxWaitingCalls = 64;
// Open steps of one trainer.
static constexpr size_t MaxSteps = 4;
// How long a new owner waits for the agents to list their retained runs.
static constexpr milliseconds AdoptTimeout{1000};
// A response must fit in one frame of the inner protocol, JSON escapes
// included.
static constexpr size_t MaxDrawBytes = 480U << 10;

static verdict notRun(std::string Reason, std::string Message) {
  return {.Certainty = run_certainty::NotRun,
          .Reason = std::move(Reason),
          .Message = std::move(Message),
          .RetryAfter = milliseconds(300)};
}

step_owner::step_owner(step_owner_options OwnerOptions)
    : Options(std::move(OwnerOptions)), Lease([this] {
        trainer_lease_options Lease = Options.Lease;
        Lease.OnUpdated = [this](time_point Now) { onLeaseUpdated(Now); };
        return Lease;
      }()),
      Stragglers(Options.Straggler) {}

step_owner::~step_owner() = default;

trainer_rule step_owner::rule() const {
  const auto Config = Options.Config();
  const trainer_rule *Rule =
      Config ? Config->findTrainer(Options.Trainer) : nullptr;
  return Rule ? *Rule : trainer_rule{};
}

step_owner::active_step *step_owner::findStep(uint64_t Step) {
  const auto It = Steps.find(Step);
  return It == Steps.end() ? nullptr : It->second.get();
}

void step_owner::call(const trainer_call &Call, bool Forwarded,
                      answer_callback Answer, time_point Now) {
  if (Releasing) {
    Answer({errorReply(notRun("shutting_down", "this entry is shutting down")),
            {}});
    return;
  }
  if (Lease.ensureFresh(Now)) {
    serve(Call, Forwarded, Answer, Now);
    return;
  }
  if (WaitingCalls.size() >= MaxWaitingCalls) {
    Answer({errorReply(notRun("too_many_calls",
                              "64 calls of this trainer are already waiting")),
            {}});
    return;
  }
  WaitingCalls.push_back({Call, Forwarded, std::move(Answer)});
}

void step_owner::onLeaseUpdated(time_point Now) {
  if (Lease.state() != lease_state::Held)
    dropAll();
  for (const waiting_call &Waiting : std::exchange(WaitingCalls, {}))
    serve(Waiting.Call, Waiting.Forwarded, Waiting.Answer, Now);
}

void step_owner::serve(const trainer_call &Call, bool Forwarded,
                       const answer_callback &Answer, time_point Now) {
  try {
    if (Lease.state() == lease_state::Held) {
      if (Call.Kind == trainer_call::kind::Submit)
        Answer({submit(Call, Now), {}});
      else
        draw(Call, Answer, Now);
      return;
    }
  } catch (const input_error &Error) {
    Answer({errorReply(Error), {}});
    return;
  }
  const std::string &Owner = Lease.record().Owner;
  if (Lease.state() != lease_state::HeldByOther)
    Answer({errorReply(notRun("store_unavailable",
                              "the owner of the trainer's steps is unknown "
                              "because the store is unavailable")),
            {}});
  else if (Forwarded || Owner.empty())
    Answer({errorReply(notRun(
                "not_owner", "the trainer's steps are owned by another entry")),
            {}});
  else
    Answer({{}, Lease.record().Address});
}

http_reply step_owner::submit(const trainer_call &Call, time_point Now) {
  step_submission Submission = parseSubmission(Call.Body);
  TrainerVersion = std::max(TrainerVersion, Submission.Version);
  active_step *Step = findStep(Call.Step);
  if (Step && !Step->Samples.sameSubmission(Submission))
    throw input_error(409, "step_conflict", "step",
                      "the content of the first submission of this step");
  if (!Step) {
    evictSteps(Call.Step);
    Step = (Steps[Call.Step] =
                std::make_unique<active_step>(Call.Step, std::move(Submission)))
               .get();
    metrics::get().counter("steps_submitted_total").add();
    if (Call.Step <= Lease.inheritedStep() && Lease.epoch() > 1) {
      Step->AdoptDeadline = Now + AdoptTimeout;
      Options.FindRuns(
          rule().Model, Options.Trainer + "/" + std::to_string(Call.Step) + "/",
          [this, Id = Call.Step](const std::vector<retained_run> &Runs,
                                 time_point At) { adopt(Id, Runs, At); });
    }
    Lease.setStep(Call.Step, Now);
    // A trainer usually submits right after it publishes weights, before the
    // next tick.
    observeRollout(Now);
    dispatchWaiting(*Step, Now);
  }
  http_reply Reply;
  Reply.Body = json{{"epoch", Lease.epoch()},
                    {"step", Call.Step},
                    {"samples", Step->Samples.samples().size()}}
                   .dump();
  return Reply;
}

void step_owner::observeRollout(time_point Now) {
  if (Options.NewestWeights)
    Rollout.observe(Options.NewestWeights(),
                    Options.UpstreamsOfPool(rule().Model), Now);
}

void step_owner::evictSteps(uint64_t NewStep) {
  // A trainer that submits a later step has received all samples of the earlier
  // finished steps, even if no draw has confirmed it.
  std::erase_if(Steps, [&](auto &Item) {
    step_samples &Samples = Item.second->Samples;
    const size_t Open = Samples.count(sample_state::Waiting) +
                        Samples.count(sample_state::Running) +
                        Samples.count(sample_state::Scoring);
    if (Item.first >= NewStep || Open > 0)
      return false;
    dropStep(*Item.second, true);
    return true;
  });
  while (Steps.size() >= MaxSteps) {
    if (Steps.begin()->first > NewStep)
      throw input_error(409, "step_too_old", "step",
                        "one of the newest four steps");
    dropStep(*Steps.begin()->second, true);
    Steps.erase(Steps.begin());
  }
}

void step_owner::dropStep(active_step &Step, bool CancelRuns) {
  for (step_sample &Sample : Step.Samples.samples()) {
    if (Sample.Run != 0)
      (CancelRuns ? Options.Abandon : Options.Detach)(Sample.Run);
    Sample.Run = 0;
    if (CancelRuns && Sample.State == sample_state::Done)
      Options.Acknowledge(Sample.RunAddress, Sample.RunId);
  }
}

void step_owner::dropAll() {
  for (auto &[Id, Step] : Steps)
    dropStep(*Step, false);
  Steps.clear();
  TrainerVersion = 0;
  if (auto Draw = std::exchange(WaitingDraw, std::nullopt))
    Draw->Answer({errorReply(notRun(
                      "owner_changed",
                      "the trainer's steps are now owned by another entry")),
                  {}});
}

std::optional<http_reply> step_owner::refuseDraw(const trainer_call &Call,
                                                 const draw_request &Draw,
                                                 time_point Now) {
  if (Draw.Epoch > Lease.epoch()) {
    Lease.onHigherEpoch(Draw.Epoch, Now);
    return errorReply(
        notRun("owner_changed",
               "the trainer has seen a higher epoch than that of this "
               "entry's lease"));
  }
  active_step *Step = findStep(Call.Step);
  if (!Step)
    return errorReply(
        404, notRun("step_unknown",
                    "submit the step again with the same step number"));
  for (const sample_key &Key : Draw.ReceivedSamples)
    if (!Step->Samples.find(Key))
      throw input_error(400, "unknown_sample", "have", "samples of the step");
  return std::nullopt;
}

void step_owner::draw(const trainer_call &Call, const answer_callback &Answer,
                      time_point Now) {
  draw_request Draw = parseDraw(Call.Body);
  if (auto Refusal = refuseDraw(Call, Draw, Now)) {
    Answer({std::move(*Refusal), {}});
    return;
  }
  TrainerVersion = std::max(TrainerVersion, Draw.Version);
  markDelivered(*findStep(Call.Step), Draw.ReceivedSamples);
  // A trainer sends one draw at a time, so it no longer waits for the earlier
  // one.
  answerDraw(true, Now);
  const time_point Deadline = Now + Draw.MaxWait;
  WaitingDraw = {Call.Step, std::move(Draw), Answer, Deadline};
  answerDraw(Now >= Deadline, Now);
}

void step_owner::markDelivered(active_step &Step,
                               const std::vector<sample_key> &Received) {
  for (const sample_key &Key : Received) {
    step_sample &Sample = *Step.Samples.find(Key);
    if (Sample.State == sample_state::Delivered)
      continue;
    // After a takeover the trainer may already have received samples that this
    // owner still lists as unfinished.
    if (Sample.Run != 0)
      Options.Abandon(Sample.Run);
    Sample.Run = 0;
    if (!Sample.RunId.empty())
      Options.Acknowledge(Sample.RunAddress, Sample.RunId);
    Step.Samples.discardOutput(Sample);
    Sample.State = sample_state::Delivered;
    metrics::get().counter("samples_delivered_total").add();
  }
}

void step_owner::answerDraw(bool Force, time_point Now) {
  if (!WaitingDraw)
    return;
  active_step *Step = findStep(WaitingDraw->Step);
  if (!Step) {
    const waiting_draw Draw = *std::exchange(WaitingDraw, std::nullopt);
    Draw.Answer(
        {errorReply(404,
                    notRun("step_unknown",
                           "submit the step again with the same step number")),
         {}});
    return;
  }
  const draw_request &Draw = WaitingDraw->Draw;
  size_t Stale = 0;
  const std::vector<step_sample *> Deliverable = Step->Samples.deliverableNow(
      Draw.Version, rule().StalenessBound, Draw.MaxSamples, Stale);
  if (Stale > 0) {
    metrics::get().counter("samples_stale_total").add(Stale);
    dispatchWaiting(*Step, Now);
  }
  const bool AllDelivered = Step->Samples.count(sample_state::Delivered) ==
                            Step->Samples.samples().size();
  if (Deliverable.empty() && !AllDelivered && !Force)
    return;
  const waiting_draw AnsweredDraw = *std::exchange(WaitingDraw, std::nullopt);
  http_reply Reply;
  Reply.Body = drawBody(*Step, AnsweredDraw.Draw, Deliverable, Now);
  AnsweredDraw.Answer({std::move(Reply), {}});
}

static json sampleJson(const step_sample &Sample) {
  json Object = {{"group", Sample.Key.Group},
                 {"index", Sample.Key.Index},
                 {"text", Sample.Text},
                 {"spans", json::array()}};
  for (const token_span &Span : Sample.Spans)
    Object["spans"].push_back(
        {{"version", Span.Version}, {"tokens", Span.Tokens}});
  if (Sample.Score)
    Object["score"] = *Sample.Score;
  return Object;
}

std::string step_owner::drawBody(active_step &Step, const draw_request &Draw,
                                 const std::vector<step_sample *> &Deliverable,
                                 time_point Now) {
  std::set<sample_key> Received(Draw.ReceivedSamples.begin(),
                                Draw.ReceivedSamples.end());
  const uint64_t Bound = rule().StalenessBound;
  json Samples = json::array();
  size_t Bytes = 0;
  for (const step_sample *Sample : Deliverable) {
    Bytes += Sample->Text.size();
    if (!Samples.empty() && Bytes > MaxDrawBytes)
      break;
    CARDAMOM_INVARIANT(Received.insert(Sample->Key).second,
                       "a draw never returns a sample twice or one that the "
                       "trainer has received");
    CARDAMOM_INVARIANT(
        Sample->Spans.empty() ||
            isDeliverable(oldestVersionOf(Sample->Spans), Draw.Version, Bound),
        "a draw never returns a sample older than the staleness bound");
    const uint64_t Tokens = countTokens(Sample->Spans);
    CARDAMOM_INVARIANT(Tokens <= Sample->Group->MaxTokens &&
                           (Tokens > 0 || Sample->Text.empty()),
                       "a draw never returns tokens without a weight version");
    Samples.push_back(sampleJson(*Sample));
  }
  const bool Complete = Received.size() == Step.Samples.samples().size();
  if (Complete)
    Step.CompleteSince = Now;
  const json Body = {{"epoch", Lease.epoch()},
                     {"samples", std::move(Samples)},
                     {"complete", Complete}};
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

void step_owner::tick(time_point Now) {
  Lease.tick(Now);
  observeRollout(Now);
  for (auto &[Id, Step] : Steps) {
    if (Step->AdoptDeadline && Now >= *Step->AdoptDeadline)
      Step->AdoptDeadline.reset();
    dispatchWaiting(*Step, Now);
    retryScoring(*Step, Now);
    acknowledgeComplete(*Step, Now);
    cancelStale(*Step);
    moveStragglers(*Step, Now);
  }
  if (WaitingDraw)
    answerDraw(Now >= WaitingDraw->Deadline, Now);
}

void step_owner::release(time_point Now) {
  Releasing = true;
  answerDraw(true, Now);
  for (auto &[Id, Step] : Steps)
    dropStep(*Step, false);
  Steps.clear();
  Lease.release(Now);
}

std::string step_owner::waitingFor() const {
  if (Lease.state() == lease_state::Held && !Lease.record().Owner.empty())
    return "lease of trainer " + Options.Trainer;
  return {};
}

json step_owner::status() const {
  json Status = {{"name", Options.Trainer},
                 {"owner", Lease.record().Owner},
                 {"mine", Lease.state() == lease_state::Held},
                 {"epoch", Lease.epoch()},
                 {"version", TrainerVersion},
                 {"steps", json::array()}};
  for (const auto &[Id, Step] : Steps) {
    const step_samples &Samples = Step->Samples;
    Status["steps"].push_back(
        {{"step", Id},
         {"waiting", Samples.count(sample_state::Waiting)},
         {"running", Samples.count(sample_state::Running)},
         {"scoring", Samples.count(sample_state::Scoring)},
         {"done", Samples.count(sample_state::Done)},
         {"delivered", Samples.count(sample_state::Delivered)}});
  }
  return Status;
}

} // namespace cardamom
