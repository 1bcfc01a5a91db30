#include "policy/straggler.h"

#include <algorithm>

namespace cardamom {

double straggler_finder::remainingMs(const sample_progress &Sample) const {
  if (Sample.RunElapsed < Options.MinElapsed)
    return -1;
  const double Missing =
      Sample.MaxTokens > Sample.Tokens ? Sample.MaxTokens - Sample.Tokens : 0;
  // A run without tokens is taken to produce its first one just now.
  const double Rate =
      std::max(1U, Sample.RunTokens) / double(Sample.RunElapsed.count());
  return Missing / Rate;
}

std::vector<size_t>
straggler_finder::findStragglers(std::span<const sample_progress> Group) const {
  std::vector<double> Known;
  for (const sample_progress &Sample : Group)
    if (const double Ms = remainingMs(Sample); Ms >= 0)
      Known.push_back(Ms);
  std::vector<size_t> Found;
  if (Known.empty())
    return Found;
  // The lower median: in a group of two the slower one can be a straggler.
  const auto Middle = Known.begin() + ptrdiff_t((Known.size() - 1) / 2);
  std::nth_element(Known.begin(), Middle, Known.end());
  const double Median = *Middle;
  for (size_t I = 0; I < Group.size(); ++I) {
    const double Ms = remainingMs(Group[I]);
    if (Ms < double(Options.MinRemaining.count()) ||
        Ms <= Options.SlowMedianFactor * Median)
      continue;
    if (Group[I].BestAlternativeMs < 0 ||
        Group[I].MoveCount >= Options.MaxMoves)
      continue;
    if (Group[I].BestAlternativeMs < Ms * (1 - Options.MinGainFraction))
      Found.push_back(I);
  }
  return Found;
}

} // namespace cardamom
