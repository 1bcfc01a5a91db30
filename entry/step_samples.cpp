#include "entry/step_samples.h"

#include "policy/staleness.h"

#include <algorithm>
#include <utility>

namespace cardamom {

void run_progress::onSent(std::string_view NewUpstream) {
  std::lock_guard Lock(Mutex);
  Upstream = NewUpstream;
  Tokens = 0;
  OldestVersion = 0;
}

void run_progress::addSpan(const token_span &Span) {
  Tokens += Span.Tokens;
  const uint64_t Previous = OldestVersion.load();
  if (Span.Version != 0 && (Previous == 0 || Span.Version < Previous))
    OldestVersion = Span.Version;
}

std::string run_progress::upstream() const {
  std::lock_guard Lock(Mutex);
  return Upstream;
}

uint64_t countTokens(std::span<const token_span> Spans) {
  uint64_t Tokens = 0;
  for (const token_span &Span : Spans)
    Tokens += Span.Tokens;
  return Tokens;
}

uint64_t oldestVersionOf(std::span<const token_span> Spans) {
  uint64_t Oldest = 0;
  for (const token_span &Span : Spans)
    Oldest = Oldest == 0 ? Span.Version : std::min(Oldest, Span.Version);
  return Oldest;
}

void appendSpans(std::vector<token_span> &To,
                 std::span<const token_span> More) {
  for (const token_span &Span : More) {
    if (!To.empty() && To.back().Version == Span.Version)
      To.back().Tokens += Span.Tokens;
    else
      To.push_back(Span);
  }
}

step_samples::step_samples(uint64_t Step, step_submission StepSubmission)
    : Step(Step), Submission(std::move(StepSubmission)) {
  for (const step_group &Group : Submission.Groups)
    for (uint32_t I = 0; I < Group.Samples; ++I) {
      step_sample Sample;
      Sample.Key = {Group.Id, I};
      Sample.Group = &Group;
      Index[Sample.Key] = Samples.size();
      Samples.push_back(std::move(Sample));
    }
}

bool step_samples::sameSubmission(const step_submission &Other) const {
  const auto Same = [](const step_group &A, const step_group &B) {
    return A.Id == B.Id && A.Prompt == B.Prompt && A.Samples == B.Samples &&
           A.MaxTokens == B.MaxTokens;
  };
  return Submission.Version == Other.Version &&
         std::equal(Submission.Groups.begin(), Submission.Groups.end(),
                    Other.Groups.begin(), Other.Groups.end(), Same);
}

step_sample *step_samples::find(const sample_key &Key) {
  const auto It = Index.find(Key);
  return It == Index.end() ? nullptr : &Samples[It->second];
}

size_t step_samples::count(sample_state State) const {
  return size_t(std::count_if(
      Samples.begin(), Samples.end(),
      [&](const step_sample &Sample) { return Sample.State == State; }));
}

void step_samples::discardOutput(step_sample &Sample) {
  Sample.State = sample_state::Waiting;
  Sample.Text.clear();
  Sample.Spans.clear();
  Sample.Score.reset();
}

// Returns true when the spans give a weight version for every token, and there
// is no text without tokens.
static bool allTokensHaveVersions(const run_result &Run) {
  if (!Run.Result.OutputComplete)
    return false;
  const std::vector<token_span> &Spans = Run.Result.Spans;
  return (Run.Text.empty() || !Spans.empty()) &&
         std::none_of(Spans.begin(), Spans.end(), [](const token_span &Span) {
           return Span.Version == 0 || Span.Tokens == 0;
         });
}

static bool mayHaveOutput(outcome_kind Kind) {
  return Kind == outcome_kind::Completed || Kind == outcome_kind::Preempted ||
         Kind == outcome_kind::Cancelled ||
         Kind == outcome_kind::UpstreamFailed;
}

run_effect step_samples::applyRunResult(step_sample &Sample,
                                        const run_result &Run,
                                        uint64_t TrainerVersion,
                                        uint64_t Bound) {
  Sample.State = sample_state::Waiting;
  Sample.Run = 0;
  Sample.Progress.reset();
  Sample.CancelSent = false;
  Sample.RunAddress = Run.Result.Address;
  Sample.RunId = Run.Result.RequestId;
  const bool Usable =
      mayHaveOutput(Run.Result.Kind) && allTokensHaveVersions(Run);
  if (Usable) {
    Sample.Text += Run.Text;
    appendSpans(Sample.Spans, Run.Result.Spans);
  }
  if (!Sample.Spans.empty() &&
      !isDeliverable(oldestVersionOf(Sample.Spans), TrainerVersion, Bound)) {
    discardOutput(Sample);
    return run_effect::Stale;
  }
  if (!Usable)
    return run_effect::Retry;
  const uint64_t Tokens = countTokens(Sample.Spans);
  if (Tokens > Sample.Group->MaxTokens) {
    discardOutput(Sample);
    return run_effect::Retry;
  }
  if (Run.Result.Kind == outcome_kind::Completed ||
      Tokens == Sample.Group->MaxTokens) {
    Sample.State = sample_state::Done;
    return run_effect::Finished;
  }
  return run_effect::Resumable;
}

std::vector<step_sample *> step_samples::deliverableNow(uint64_t TrainerVersion,
                                                        uint64_t Bound,
                                                        unsigned Max,
                                                        size_t &Stale) {
  std::vector<step_sample *> Deliverable;
  for (step_sample &Sample : Samples) {
    if (Sample.State != sample_state::Done)
      continue;
    if (!Sample.Spans.empty() &&
        !isDeliverable(oldestVersionOf(Sample.Spans), TrainerVersion, Bound)) {
      discardOutput(Sample);
      ++Stale;
    } else if (Deliverable.size() < Max) {
      Deliverable.push_back(&Sample);
    }
  }
  return Deliverable;
}

} // namespace cardamom
