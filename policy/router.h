/// \file
/// Chooses the upstream with the earliest predicted finish time for a request.
///
/// Usage:
///   router Router({});
///   auto Choice = Router.pick(Request, Candidates, Now);
///   if (Choice) { Router.onDispatch(Candidates[*Choice].Name, Request, Now);
///                 ... Router.onFinish(Name, Request, Elapsed, Now); }
///
/// Reads no clock and does no I/O; the only state is the statistics of earlier
/// requests. pick() costs O(n) in the number of candidates. Not thread-safe.

#ifndef CARDAMOM_POLICY_ROUTER_H
#define CARDAMOM_POLICY_ROUTER_H

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

/// Known state of one upstream.
struct upstream_view {
  std::string Name;
  std::string FailureDomain;
  bool Connected = false;
  bool Draining = false;
  /// False while the state of the engine is unknown or after a weight load has
  /// failed.
  bool Ready = true;
  unsigned Slots = 1;
  /// From the last load report.
  unsigned Running = 0;
  unsigned Queued = 0;
  time_point LoadReportedAt;
  /// How long work takes on the upstream, relative to usual, by that report.
  double Slowdown = 1;
  uint64_t ObservedVersion = 0;
};

struct route_request {
  /// Expected work: tokens to generate, or 1 for a plain call.
  double Work = 1;
  /// Hash of the prompt's first bytes; 0 = no prefix affinity.
  uint64_t PrefixHash = 0;
  /// Upstreams whose observed weight version is lower are not eligible.
  uint64_t MinVersion = 0;
  /// Upstreams used by earlier attempts.
  std::span<const std::string> ExcludedUpstreams;
  std::string_view OwnFailureDomain;
};

struct router_options {
  /// Uniform random number in [0, 1).
  std::function<double()> Random;
  /// Smoothing factor of the moving average of speed: the weight of a new
  /// sample.
  double SpeedSmoothing = 0.2;
  /// Fraction of work that a cached prefix saves.
  double CachedPrefixSaving = 0.3;
  /// Number of randomly drawn candidates that pick() compares; 0 = all.
  size_t SampleSize = 0;
  /// Number of entry processes that send to the same upstreams. The dispatches
  /// of this entry since the last load report are multiplied by it to estimate
  /// those of all entries.
  double EntryCount = 1;
  /// Age at which a reported slowdown has no weight any more. Slow phases last
  /// some hundred milliseconds.
  milliseconds MaxSlowdownAge{500};
  /// Number of prefixes remembered per upstream.
  size_t PrefixesPerUpstream = 256;
};

class router {
public:
  explicit router(router_options Options);

  /// Updates router_options::EntryCount when the configuration changes.
  void setEntryCount(double Entries) { Options.EntryCount = Entries; }

  /// Returns the index of the chosen candidate, or nullopt if none is eligible.
  std::optional<size_t> pick(const route_request &Request,
                             std::span<const upstream_view> Candidates,
                             time_point Now);
  void onDispatch(std::string_view Upstream, const route_request &Request,
                  time_point Now);
  /// Updates the average speed after a request that has completed. Elapsed is
  /// counted from its dispatch.
  void onFinish(std::string_view Upstream, const route_request &Request,
                milliseconds Elapsed, time_point Now);
  /// Records the end of a request that has not completed.
  void onAbandon(std::string_view Upstream, const route_request &Request,
                 time_point Now);

  /// Requests at the candidate: by its load report and this entry's dispatches
  /// since, at least those of this entry that have not ended.
  [[nodiscard]] double requestsAt(const upstream_view &Candidate) const;
  /// Requests of this entry to the upstream that have not ended.
  [[nodiscard]] unsigned outstanding(std::string_view Upstream) const;

  /// Predicted time to finish on the candidate, which pick() minimizes.
  [[nodiscard]] double predictedFinishMs(const route_request &Request,
                                         const upstream_view &Candidate,
                                         time_point Now) const;

private:
  struct upstream_stats {
    /// Moving average of milliseconds per unit of work in one slot.
    double MsPerWork = 0;
    /// Requests dispatched to the upstream and not yet finished.
    unsigned Outstanding = 0;
    /// Times of this entry's recent dispatches, oldest first.
    std::deque<time_point> RecentDispatches;
    /// Prefixes of recently dispatched requests, oldest first.
    std::vector<uint64_t> RecentPrefixes;
  };

  [[nodiscard]] bool isEligible(const route_request &Request,
                                const upstream_view &Candidate) const;
  [[nodiscard]] double defaultMsPerWork() const;

  router_options Options;
  std::map<std::string, upstream_stats, std::less<>> StatsByUpstream;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_ROUTER_H
