/// \file
/// State of the samples of one step of one trainer: waiting, running, finished
/// or delivered.
///
/// Performs no I/O and reads no clock. applyRunResult() and deliverableNow()
/// cost at most O(samples). Not thread-safe.

#ifndef CARDAMOM_ENTRY_STEP_SAMPLES_H
#define CARDAMOM_ENTRY_STEP_SAMPLES_H

#include "base/time.h"
#include "entry/dispatch.h"
#include "entry/request_parsing.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

/// Progress of a run. Written by the dispatcher's thread and read by the thread
/// of the step owners.
class run_progress {
public:
  void onSent(std::string_view NewUpstream);
  void addSpan(const token_span &Span);
  [[nodiscard]] std::string upstream() const;
  [[nodiscard]] uint32_t tokens() const { return Tokens.load(); }
  /// Oldest weight version in the output; 0 while there is no output.
  [[nodiscard]] uint64_t oldestVersion() const { return OldestVersion.load(); }

private:
  mutable std::mutex Mutex;
  std::string Upstream;
  std::atomic<uint32_t> Tokens{0};
  std::atomic<uint64_t> OldestVersion{0};
};

/// Result of one run of a sample.
struct run_result {
  dispatch_result Result{};
  std::string Text{};
};

enum class sample_state {
  /// Needs a run.
  Waiting,
  Running,
  /// Generated; waits for its score.
  Scoring,
  Done,
  /// The trainer has received it.
  Delivered,
};

struct step_sample {
  sample_key Key;
  const step_group *Group = nullptr;
  sample_state State = sample_state::Waiting;
  /// Output of earlier runs; in state Done, the complete output.
  std::string Text;
  std::vector<token_span> Spans;
  std::optional<double> Score;
  unsigned Moves = 0;
  /// Upstreams that the next run does not use.
  std::vector<std::string> ExcludedUpstreams;
  time_point NotBefore{};
  unsigned Failures = 0;

  // The current run or scoring call.
  dispatch_id Run = 0;
  std::shared_ptr<run_progress> Progress;
  time_point RunStarted{};
  bool CancelSent = false;
  /// The last run, which the agent retains until it is acknowledged.
  std::string RunAddress;
  std::string RunId;
};

uint64_t countTokens(std::span<const token_span> Spans);
/// Oldest version in Spans; 0 when Spans is empty.
uint64_t oldestVersionOf(std::span<const token_span> Spans);
/// Appends More to To and merges adjacent spans of the same version.
void appendSpans(std::vector<token_span> &To, std::span<const token_span> More);

/// What the end of a run means for its sample.
enum class run_effect {
  Finished,
  /// The partial output was kept; the next run continues it.
  Resumable,
  /// The run's output is unusable; the next run starts from the same point as
  /// this one.
  Retry,
  /// The output has become too old; the next run starts from the prompt.
  Stale,
};

class step_samples {
public:
  step_samples(uint64_t Step, step_submission Submission);

  [[nodiscard]] uint64_t step() const { return Step; }
  [[nodiscard]] const step_submission &submission() const { return Submission; }
  [[nodiscard]] bool sameSubmission(const step_submission &Other) const;
  [[nodiscard]] std::vector<step_sample> &samples() { return Samples; }
  [[nodiscard]] size_t size() const { return Samples.size(); }
  /// Null when the step has no such sample.
  step_sample *find(const sample_key &Key);
  [[nodiscard]] size_t count(sample_state State) const;

  /// Updates a sample from the result of its run.
  run_effect applyRunResult(step_sample &Sample, const run_result &Run,
                            uint64_t TrainerVersion, uint64_t Bound);
  /// Returns up to Max finished samples that may be delivered now. Samples that
  /// have become too old go back to Waiting and are counted in Stale.
  std::vector<step_sample *> deliverableNow(uint64_t TrainerVersion,
                                            uint64_t Bound, unsigned Max,
                                            size_t &Stale);
  void discardOutput(step_sample &Sample);

private:
  uint64_t Step;
  step_submission Submission;
  std::vector<step_sample> Samples;
  std::map<sample_key, size_t> Index;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_STEP_SAMPLES_H
