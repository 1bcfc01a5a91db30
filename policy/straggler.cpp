#include "policy/straggler.h"

#include <algorithm>

namespace cardamom {

double straggler_finder::remainingMs(const sample_progress &Sample) const {
  if (Sample.RunElapsed < Options.MinElapsed)
    return -1;
  const double RemainingTokens =
      Sample.MaxTokens > Sample.Tokens ? Sample.MaxTokens - Sample.Tokens : 0;
  // A run without tokens is assumed to produce its first token now.
  const double Rate =
      std::max(1U, Sample.RunTokens) / double(Sample.RunElapsed.count());
  return RemainingTokens / Rate;
}

std::vector<size_t>
straggler_finder::findStragglers(std::span<const sample_progress> Group) const {
  std::vector<double> KnownRemainingMs;
  for (const sample_progress &Sample : Group)
    if (const double Ms = remainingMs(Sample); Ms >= 0)
      KnownRemainingMs.push_back(Ms);
  std::vector<size_t> Stragglers;
  if (KnownRemainingMs.empty())
    return Stragglers;
  // The lower median is used so that the slower sample of a group of two can be
  // a straggler.
  const auto MedianPosition =
      KnownRemainingMs.begin() + ptrdiff_t((KnownRemainingMs.size() - 1) / 2);
  std::nth_element(KnownRemainingMs.begin(), MedianPosition,
                   KnownRemainingMs.end());
  const double Median = *MedianPosition;
  for (size_t I = 0; I < Group.size(); ++I) {
    const double Ms = remainingMs(Group[I]);
    if (Ms < double(Options.MinRemaining.count()) ||
        Ms <= Options.SlowMedianFactor * Median)
      continue;
    if (Group[I].BestAlternativeMs < 0 ||
        Group[I].MoveCount >= Options.MaxMoves)
      continue;
    if (Group[I].BestAlternativeMs < Ms * (1 - Options.MinGainFraction))
      Stragglers.push_back(I);
  }
  return Stragglers;
}

} // namespace cardamom
