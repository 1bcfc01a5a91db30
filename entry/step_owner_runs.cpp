#include "base/metrics.h"
#include "entry/step_owner.h"
#include "inner/gen/messages.pb.h"
#include "policy/staleness.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace cardamom {

using json = nlohmann::json;

// Below the longest deadline that agents accept (300 s).
static constexpr milliseconds RunTimeout{290000};
static constexpr milliseconds ScoreTimeout{30000};
// Runs in flight per slot of the pool: enough to keep the agents' queues from
// running empty, few enough that most samples can still be sent to the best
// upstream.
static constexpr double RunsPerSlot = 1.5;
static constexpr unsigned MinRuns = 8;
static constexpr milliseconds StragglerInterval{500};
static constexpr milliseconds RetryDelayMin{100};
static constexpr milliseconds RetryDelayMax{3000};
static constexpr size_t HashedPrefixBytes = 256;
// Suffix of the sample name of a run that generates only the rest of a sample.
// A new owner does not have the earlier part and must not adopt such a run.
static constexpr std::string_view ResumedSuffix = "/resumed";

step_sample *step_owner::findSampleOfRun(uint64_t StepId, const sample_key &Key,
                                         dispatch_id Id) {
  active_step *Step = findStep(StepId);
  step_sample *Sample = Step ? Step->Samples.find(Key) : nullptr;
  return Sample && Sample->Run == Id ? Sample : nullptr;
}

unsigned step_owner::readySlots(const std::string &Pool,
                                uint64_t MinVersion) const {
  unsigned Slots = 0;
  for (const upstream_view &View : Options.UpstreamsOfPool(Pool))
    if (View.Connected && View.Ready && !View.Draining &&
        View.ObservedVersion >= MinVersion)
      Slots += View.Slots;
  return Slots;
}

uint64_t step_owner::minVersion(const active_step &Step,
                                const trainer_rule &Rule,
                                time_point Now) const {
  const uint64_t MinDeliverable =
      minDeliverableVersion(TrainerVersion, Rule.StalenessBound);
  const auto Config = Options.Config();
  if (!Config)
    return MinDeliverable;
  const hold_parameters HoldParameters{
      .IdleWeight = Config->IdleWeight,
      .StalenessWeight = Config->StalenessWeight,
      .Slots = readySlots(Rule.Model, 0),
      .Samples = unsigned(Step.Samples.size())};
  return std::max(MinDeliverable, Rollout.requiredVersion(HoldParameters, Now));
}

void step_owner::dispatchWaiting(active_step &Step, time_point Now) {
  if (Step.AdoptDeadline)
    return;
  const trainer_rule Rule = rule();
  const uint64_t MinVersion = minVersion(Step, Rule, Now);
  const auto Limit = size_t(std::max(
      double(MinRuns), RunsPerSlot * readySlots(Rule.Model, MinVersion)));
  size_t Running = 0;
  for (auto &[Id, Other] : Steps)
    Running += Other->Samples.count(sample_state::Running);
  for (step_sample &Sample : Step.Samples.samples()) {
    if (Running >= Limit)
      return;
    if (Sample.State != sample_state::Waiting || Sample.NotBefore > Now)
      continue;
    startRun(Step, Sample, makeCall(Step, Sample, Rule, Now), Now);
    ++Running;
  }
}

std::string step_owner::sampleName(uint64_t Step, const sample_key &Key) const {
  return Options.Trainer + "/" + std::to_string(Step) + "/" +
         std::to_string(Key.Group) + "/" + std::to_string(Key.Index);
}

dispatch_call step_owner::makeCall(const active_step &Step,
                                   const step_sample &Sample,
                                   const trainer_rule &Rule,
                                   time_point Now) const {
  const step_group &Group = *Sample.Group;
  const auto Tokens = uint32_t(countTokens(Sample.Spans));
  dispatch_call Call;
  Call.Pool = Rule.Model;
  Call.Deadline = Now + RunTimeout;
  Call.Work = Group.MaxTokens - Tokens;
  Call.PrefixHash = XXH3_64bits(
      Group.Prompt.data(), std::min(HashedPrefixBytes, Group.Prompt.size()));
  Call.ExcludedUpstreams = Sample.ExcludedUpstreams;
  Call.RetryIfMayHaveRun = false;
  Call.Restartable = true;
  Call.Request = std::make_shared<wire::run_request>();
  wire::run_request &Request = *Call.Request;
  Request.set_request_id(Options.NewRequestId());
  Request.set_class_(Rule.Priority <= 1 ? wire::TRAINER_FIRST
                                        : wire::TRAINER_SECOND);
  Request.set_idempotent(true);
  Request.set_sample(sampleName(Step.Samples.step(), Sample.Key));
  if (Tokens > 0)
    Request.mutable_sample()->append(ResumedSuffix);
  wire::model_call &Model = *Request.mutable_model();
  Model.set_model(Rule.Model);
  Model.set_prompt(Group.Prompt);
  Model.set_max_tokens(Group.MaxTokens);
  Model.set_resume_text(Sample.Text);
  Model.set_resume_tokens(Tokens);
  Model.set_min_version(minVersion(Step, Rule, Now));
  return Call;
}

void step_owner::startRun(active_step &Step, step_sample &Sample,
                          dispatch_call Call, time_point Now) {
  Sample.State = sample_state::Running;
  Sample.Progress = std::make_shared<run_progress>();
  Sample.RunStarted = Now;
  Sample.CancelSent = false;
  Sample.ExcludedUpstreams.clear();
  // The callback runs after Dispatch has returned, when the id is set.
  const auto Id = std::make_shared<dispatch_id>(0);
  *Id = Options.Dispatch(
      std::move(Call), Sample.Progress,
      [this, Id, StepId = Step.Samples.step(),
       Key = Sample.Key](const run_result &Run, time_point At) {
        onRunEnded(StepId, Key, *Id, Run, At);
      });
  Sample.Run = *Id;
}

static milliseconds retryDelay(const step_sample &Sample,
                               const dispatch_result &Result) {
  static constexpr unsigned MaxDoublings = 5;
  const unsigned Doublings = std::min(Sample.Failures, MaxDoublings);
  return std::min<milliseconds>(
      RetryDelayMax,
      std::max(RetryDelayMin * (1 << Doublings), Result.Verdict.RetryAfter));
}

void step_owner::onRunEnded(uint64_t StepId, sample_key Key, dispatch_id Id,
                            const run_result &Run, time_point Now) {
  step_sample *Sample = findSampleOfRun(StepId, Key, Id);
  if (!Sample)
    return;
  active_step &Step = *findStep(StepId);
  const bool Moved = Sample->CancelSent;
  const run_effect Effect = Step.Samples.applyRunResult(
      *Sample, Run, TrainerVersion, rule().StalenessBound);
  switch (Effect) {
  case run_effect::Finished:
    Rollout.addSampleTime(
        std::chrono::duration_cast<milliseconds>(Now - Sample->RunStarted));
    if (!rule().Scorer.empty())
      startScoring(Step, *Sample, Now);
    else
      answerDraw(false, Now);
    break;
  case run_effect::Resumable:
    metrics::get()
        .counter("samples_resumed_total", "reason", Run.Result.Verdict.Reason)
        .add();
    if (Moved || Run.Result.Kind == outcome_kind::UpstreamFailed)
      Sample->ExcludedUpstreams = {Run.Result.Upstream};
    Sample->NotBefore = Now + (Moved ? milliseconds(0) : RetryDelayMin);
    break;
  case run_effect::Retry:
    metrics::get()
        .counter("samples_repeated_total", "reason", Run.Result.Verdict.Reason)
        .add();
    ++Sample->Failures;
    Sample->NotBefore = Now + retryDelay(*Sample, Run.Result);
    break;
  case run_effect::Stale:
    metrics::get().counter("samples_stale_total").add();
    break;
  }
  dispatchWaiting(Step, Now);
}

void step_owner::startScoring(active_step &Step, step_sample &Sample,
                              time_point Now) {
  Sample.State = sample_state::Scoring;
  const json Body = {{"prompt", Sample.Group->Prompt},
                     {"completion", Sample.Text}};
  dispatch_call Call;
  Call.Pool = rule().Scorer;
  Call.Deadline = Now + ScoreTimeout;
  Call.Request = std::make_shared<wire::run_request>();
  wire::run_request &Request = *Call.Request;
  Request.set_request_id(Options.NewRequestId());
  Request.set_class_(rule().Priority <= 1 ? wire::TRAINER_FIRST
                                          : wire::TRAINER_SECOND);
  Request.set_idempotent(true);
  wire::plain_call &Plain = *Request.mutable_plain();
  Plain.set_route("/score");
  Plain.set_method("POST");
  Plain.set_target("/score");
  Plain.set_body(Body.dump(-1, ' ', false, json::error_handler_t::replace));
  wire::header_field &ContentType = *Plain.add_headers();
  ContentType.set_name("Content-Type");
  ContentType.set_value("application/json");
  const auto Id = std::make_shared<dispatch_id>(0);
  *Id = Options.Dispatch(
      std::move(Call), std::make_shared<run_progress>(),
      [this, Id, StepId = Step.Samples.step(),
       Key = Sample.Key](const run_result &Run, time_point At) {
        onScored(StepId, Key, *Id, Run, At);
      });
  Sample.Run = *Id;
}

static std::optional<double> parseScore(const run_result &Run) {
  if (Run.Result.Kind != outcome_kind::Completed)
    return std::nullopt;
  const json Object = json::parse(Run.Text, nullptr, false);
  if (!Object.is_object() || !Object.contains("score") ||
      !Object["score"].is_number())
    return std::nullopt;
  return Object["score"].get<double>();
}

void step_owner::onScored(uint64_t StepId, sample_key Key, dispatch_id Id,
                          const run_result &Run, time_point Now) {
  step_sample *Sample = findSampleOfRun(StepId, Key, Id);
  if (!Sample)
    return;
  Sample->Run = 0;
  Sample->Score = parseScore(Run);
  if (Sample->Score) {
    Options.Acknowledge(Run.Result.Address, Run.Result.RequestId);
    Sample->State = sample_state::Done;
    answerDraw(false, Now);
    return;
  }
  metrics::get()
      .counter("scores_failed_total", "reason", Run.Result.Verdict.Reason)
      .add();
  ++Sample->Failures;
  Sample->NotBefore = Now + retryDelay(*Sample, Run.Result);
}

void step_owner::adopt(uint64_t StepId, const std::vector<retained_run> &Runs,
                       time_point Now) {
  active_step *Step = findStep(StepId);
  if (!Step || !Step->AdoptDeadline)
    return;
  Step->AdoptDeadline.reset();
  const trainer_rule Rule = rule();
  std::map<std::string, const retained_run *> ByName;
  for (const retained_run &Run : Runs)
    ByName.emplace(Run.Sample, &Run);
  for (step_sample &Sample : Step->Samples.samples()) {
    const auto It = ByName.find(sampleName(StepId, Sample.Key));
    if (Sample.State != sample_state::Waiting || It == ByName.end())
      continue;
    dispatch_call Call = makeCall(*Step, Sample, Rule, Now);
    Call.Request->set_request_id(It->second->RequestId);
    Call.AdoptFromUpstream = It->second->Upstream;
    Call.MaxAttempts = 1;
    metrics::get().counter("samples_adopted_total").add();
    startRun(*Step, Sample, std::move(Call), Now);
  }
  dispatchWaiting(*Step, Now);
}

// Lets the agents discard the responses of a complete step once the trainer has
// sent no draw of the step for QuietTime. The samples themselves are kept here,
// because the response to the last draw may have been lost.
void step_owner::acknowledgeComplete(active_step &Step, time_point Now) {
  static constexpr milliseconds QuietTime{5000};
  if (!Step.CompleteSince || Now - *Step.CompleteSince < QuietTime)
    return;
  Step.CompleteSince.reset();
  for (step_sample &Sample : Step.Samples.samples())
    if (Sample.State == sample_state::Done && !Sample.RunId.empty())
      Options.Acknowledge(Sample.RunAddress,
                          std::exchange(Sample.RunId, std::string()));
}

void step_owner::retryScoring(active_step &Step, time_point Now) {
  for (step_sample &Sample : Step.Samples.samples())
    if (Sample.State == sample_state::Scoring && Sample.Run == 0 &&
        Sample.NotBefore <= Now)
      startScoring(Step, Sample, Now);
}

void step_owner::cancelStale(active_step &Step) {
  const uint64_t Bound = rule().StalenessBound;
  for (step_sample &Sample : Step.Samples.samples()) {
    if (Sample.State != sample_state::Running || Sample.CancelSent)
      continue;
    uint64_t Oldest = Sample.Progress->oldestVersion();
    if (const uint64_t EarlierVersion = oldestVersionOf(Sample.Spans);
        EarlierVersion != 0)
      Oldest = Oldest == 0 ? EarlierVersion : std::min(Oldest, EarlierVersion);
    if (Oldest == 0 || willBeDeliverable({.OldestVersion = Oldest,
                                          .TrainerVersion = TrainerVersion,
                                          .StalenessBound = Bound}))
      continue;
    metrics::get().counter("samples_cancelled_stale_total").add();
    Sample.CancelSent = true;
    Options.Cancel(Sample.Run);
  }
}

sample_progress step_owner::progressOf(const step_sample &Sample,
                                       time_point Now) const {
  sample_progress Progress;
  Progress.MaxTokens = Sample.Group->MaxTokens;
  Progress.MoveCount = Sample.Moves;
  if (Sample.State != sample_state::Running) {
    // Finished samples count towards the group's median. A waiting one has no
    // rate.
    const bool Finished = Sample.State != sample_state::Waiting;
    Progress.Tokens = Progress.RunTokens = Progress.MaxTokens;
    Progress.RunElapsed = Finished ? RunTimeout : milliseconds(0);
    return Progress;
  }
  Progress.RunTokens = Sample.Progress->tokens();
  Progress.Tokens = uint32_t(countTokens(Sample.Spans)) + Progress.RunTokens;
  Progress.RunElapsed =
      std::chrono::duration_cast<milliseconds>(Now - Sample.RunStarted);
  return Progress;
}

void step_owner::moveStragglers(active_step &Step, time_point Now) {
  if (Now < Step.NextStragglerCheck)
    return;
  Step.NextStragglerCheck = Now + StragglerInterval;
  size_t First = 0;
  for (const step_group &Group : Step.Samples.submission().Groups) {
    moveGroupStragglers(Step, First, Group.Samples, Now);
    First += Group.Samples;
  }
}

void step_owner::moveGroupStragglers(active_step &Step, size_t First,
                                     size_t Count, time_point Now) {
  const trainer_rule Rule = rule();
  const std::span Group =
      std::span(Step.Samples.samples()).subspan(First, Count);
  std::vector<sample_progress> Progress;
  for (const step_sample &Sample : Group) {
    Progress.push_back(progressOf(Sample, Now));
    sample_progress &Current = Progress.back();
    if (Sample.State != sample_state::Running || Sample.CancelSent ||
        Current.RunElapsed < Options.Straggler.MinElapsed)
      continue;
    Current.BestAlternativeMs = Options.PredictMs(
        Rule.Model, double(Current.MaxTokens) - Current.Tokens,
        minDeliverableVersion(TrainerVersion, Rule.StalenessBound),
        Sample.Progress->upstream(), Now);
  }
  for (size_t Index : Stragglers.findStragglers(Progress)) {
    step_sample &Sample = Group[Index];
    metrics::get().counter("stragglers_moved_total").add();
    ++Sample.Moves;
    Sample.CancelSent = true;
    Options.Cancel(Sample.Run);
  }
}

} // namespace cardamom
