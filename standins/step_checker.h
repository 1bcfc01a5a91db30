/// \file
/// What the emulated trainer has received for one step, and the checks on it.

#ifndef STANDINS_STEP_TALLY_H
#define STANDINS_STEP_TALLY_H

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
  /// Highest allowed difference between the trainer's version and the oldest
  /// version of a sample.
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
  /// Spans that do not sum up to the tokens of the text, a text that is not
  /// the engine's answer to the prompt, or a sample that is not of this step.
  uint64_t Mislabelled = 0;
  /// Lowest version of all spans.
  uint64_t OldestVersion = 0;
  /// Sum over the samples of version - oldest version.
  uint64_t TotalAge = 0;
};

/// Not thread-safe; add() takes O(log samples + text).
class step_checker {
public:
  using sample_id = std::pair<uint64_t, uint64_t>;

  explicit step_checker(step_plan Plan);

  /// Prompt of a group. Prompts of one trainer share their first half, which
  /// gives engines a prefix to cache.
  [[nodiscard]] std::string prompt(uint64_t Group) const;

  /// Checks a sample and keeps its id. The complaint about a faulty sample is
  /// returned, empty for a good one.
  std::string add(const drawn_sample &Sample);

  /// (group, index) of the samples received.
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

#endif // STANDINS_STEP_TALLY_H
