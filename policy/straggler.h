/// \file
/// Finds samples that hold up their group and would finish sooner elsewhere.
///
/// Use:
///   straggler_finder Finder({});
///   for (size_t Index : Finder.find(RunningSamples))
///     move RunningSamples[Index] to another upstream, with its partial output.
///
/// Pure. find() costs O(n log n) in the number of samples.

#ifndef CARDAMOM_POLICY_STRAGGLER_H
#define CARDAMOM_POLICY_STRAGGLER_H

#include "base/time.h"

#include <cstddef>
#include <span>
#include <vector>

namespace cardamom {

/// Progress of one sample of a group.
struct sample_progress {
  unsigned Tokens = 0;
  unsigned MaxTokens = 0;
  /// Since the present run was dispatched, and tokens of that run alone.
  milliseconds RunElapsed{0};
  unsigned RunTokens = 0;
  /// Predicted time to generate the missing tokens on the best other upstream;
  /// negative when there is none.
  double BestAlternativeMs = -1;
  /// Earlier moves of this sample.
  unsigned MoveCount = 0;
};

struct straggler_options {
  /// A sample is slow when its predicted remaining time exceeds this multiple
  /// of the group's median.
  double SlowMedianFactor = 2;
  /// Gain that a move must bring, as a fraction of the remaining time; covers
  /// the repeated prefill and the error of the prediction.
  double MinGainFraction = 0.3;
  /// Shorter runs give no reliable rate.
  milliseconds MinElapsed{2000};
  /// Shorter remaining times are not worth a move.
  milliseconds MinRemaining{2000};
  unsigned MaxMoves = 2;
};

class straggler_finder {
public:
  explicit straggler_finder(straggler_options Options) : Options(Options) {}

  /// Predicted remaining milliseconds from the sample's own token rate;
  /// negative while the rate is unknown.
  [[nodiscard]] double remainingMs(const sample_progress &Sample) const;
  /// Indexes of the samples to move.
  [[nodiscard]] std::vector<size_t>
  findStragglers(std::span<const sample_progress> Group) const;

private:
  straggler_options Options;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_STRAGGLER_H
