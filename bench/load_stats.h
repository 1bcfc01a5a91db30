/// \file
/// Latencies, errors and counters of a load run.

#ifndef CARDAMOM_BENCH_LOAD_STATS_H
#define CARDAMOM_BENCH_LOAD_STATS_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bench {

struct percentiles {
  double Median = 0;
  double P90 = 0;
  double P99 = 0;
};

/// Nearest-rank percentiles; all 0 if Values is empty. O(n log n).
inline percentiles computePercentiles(std::vector<float> Values) {
  if (Values.empty())
    return {};
  std::sort(Values.begin(), Values.end());
  auto ValueAt = [&](double Fraction) {
    auto Rank = static_cast<size_t>(
        std::ceil(Fraction * static_cast<double>(Values.size())));
    return static_cast<double>(Values[std::max<size_t>(Rank, 1) - 1]);
  };
  return {ValueAt(0.5), ValueAt(0.9), ValueAt(0.99)};
}

/// Not thread-safe; each client thread has its own.
struct load_stats {
  /// Latencies of the calls with a correct response.
  std::vector<float> LatencyMs;
  std::vector<float> FirstTokenMs;
  std::map<std::string, uint64_t> Errors;
  uint64_t Requests = 0;
  uint64_t Retries = 0;
  /// Correct responses within the deadline of the run.
  uint64_t WithinDeadline = 0;
  uint64_t Tokens = 0;

  void merge(const load_stats &Other) {
    LatencyMs.insert(LatencyMs.end(), Other.LatencyMs.begin(),
                     Other.LatencyMs.end());
    FirstTokenMs.insert(FirstTokenMs.end(), Other.FirstTokenMs.begin(),
                        Other.FirstTokenMs.end());
    for (const auto &[Reason, Count] : Other.Errors)
      Errors[Reason] += Count;
    Requests += Other.Requests;
    Retries += Other.Retries;
    WithinDeadline += Other.WithinDeadline;
    Tokens += Other.Tokens;
  }

  [[nodiscard]] uint64_t succeeded() const { return LatencyMs.size(); }
};

} // namespace bench

#endif // CARDAMOM_BENCH_LOAD_STATS_H
