/// \file
/// The samples of one step of one trainer: what is missing, running, finished
/// and delivered.
///
/// Pure but for what it is told. Merging and picking cost O(samples) at most.
/// Not thread-safe.

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

/// What a run has produced so far; written by the dispatcher's thread and read
/// by the step loop.
class run_progress {
public:
  void onSent(std::string_view To);
  void addSpan(const token_span &Span);
  [[nodiscard]] std::string upstream() const;
  [[nodiscard]] uint32_t tokens() const { return Tokens.load(); }
  /// Oldest weight version; 0 while there is none.
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
  /// Finished; waits for its score.
  Scoring,
  Done,
  /// The trainer has it.
  Delivered,
};

struct step_sample {
  sample_key Key;
  const step_group *Group = nullptr;
  sample_state State = sample_state::Waiting;
  /// Output of earlier runs, or of all of them in state Done.
  std::string Text;
  std::vector<token_span> Spans;
  std::optional<double> Score;
  unsigned Moves = 0;
  /// Upstream that the next run avoids.
  std::vector<std::string> Exclude;
  time_point NotBefore{};
  unsigned Failures = 0;

  // The present run, or the scoring call.
  dispatch_id Run = 0;
  std::shared_ptr<run_progress> Progress;
  time_point RunStarted{};
  bool CancelSent = false;
  /// The last run, which the agent keeps until it is acknowledged.
  std::string RunAddress;
  std::string RunId;
};

uint64_t countTokens(std::span<const token_span> Spans);
/// Oldest version in Spans; 0 when there is none.
uint64_t oldestVersionOf(std::span<const token_span> Spans);
/// Appends, joining neighbours of one version.
void appendSpans(std::vector<token_span> &To, std::span<const token_span> More);

/// What became of a sample when a run ended.
enum class run_effect {
  Finished,
  /// Partial output was kept and is resumed.
  Resumable,
  /// The run's output is not usable; the sample is generated again from where
  /// it was before.
  Retry,
  /// The output has become too old; the sample starts from nothing.
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

  /// Takes the end of a sample's run into account.
  run_effect applyRunResult(step_sample &Sample, const run_result &End,
                            uint64_t TrainerVersion, uint64_t Bound);
  /// Finished samples that the trainer may get now, at most Max. Those that
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
