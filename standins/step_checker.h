/// \file
/// Checks the samples that the emulated trainer receives for one step.

#ifndef STANDINS_STEP_CHECKER_H
#define STANDINS_STEP_CHECKER_H

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace standins {

struct step_plan {
  std::string Trainer = "trainer";
  uint64_t Step = 0;
  uint64_t Version = 0;
  uint64_t Groups = 1;
  uint64_t SamplesPerGroup = 1;
  uint64_t MaxTokens = 16;
  size_t PromptBytes = 256;
  /// Maximum difference between the trainer's version and the oldest version
  /// of a sample.
  uint64_t StalenessBound = 1;
};

struct version_span {
  uint64_t Version = 0;
  uint64_t Tokens = 0;
};

struct drawn_sample {
  uint64_t Group = 0;
  uint64_t Index = 0;
  std::string Text;
  std::vector<version_span> Spans{};
};

struct step_result {
  uint64_t Samples = 0;
  uint64_t Duplicates = 0;
  uint64_t Stale = 0;
  /// Samples whose spans do not add up to MaxTokens, whose text is not the
  /// engine's output for the prompt, or that do not belong to the step.
  uint64_t Mislabelled = 0;
  /// Lowest version over all spans.
  uint64_t OldestVersion = 0;
  /// Sum of (trainer's version - oldest version) over all samples.
  uint64_t TotalAge = 0;
};

/// Not thread-safe; add() takes O(log samples + text).
class step_checker {
public:
  using sample_id = std::pair<uint64_t, uint64_t>;

  explicit step_checker(step_plan Plan);

  /// Returns the prompt of a group. All prompts of a trainer share their first
  /// half, so that engines can cache it.
  [[nodiscard]] std::string prompt(uint64_t Group) const;

  /// Checks a sample and records its id. Returns a description of what is wrong
  /// with the sample, or "" for a valid one.
  std::string add(const drawn_sample &Sample);

  /// Returns (group, index) of each received sample.
  [[nodiscard]] const std::set<sample_id> &receivedSamples() const {
    return ReceivedSamples;
  }
  [[nodiscard]] bool complete() const {
    return ReceivedSamples.size() == Plan.Groups * Plan.SamplesPerGroup;
  }
  [[nodiscard]] const step_result &result() const { return Result; }

private:
  [[nodiscard]] std::string findLabelError(const drawn_sample &Sample) const;

  step_plan Plan;
  std::set<sample_id> ReceivedSamples;
  step_result Result;
};

} // namespace standins

#endif // STANDINS_STEP_CHECKER_H
