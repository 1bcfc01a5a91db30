/// \file
/// Chooses the upstream of a request by predicted finish time.
///
/// Use:
///   router Router({});
///   auto Choice = Router.pick(Request, Candidates, Now);
///   if (Choice) { Router.onDispatch(Candidates[*Choice].Name, Work, Now);
///                 ... Router.onFinish(Name, Work, Elapsed, Now); }
///
/// Pure but for what it has learned: no clock, no I/O. pick() costs O(n) in
/// the number of candidates. Not thread-safe.

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

/// What a caller knows of one upstream.
struct upstream_view {
  std::string Name;
  std::string FailureDomain;
  bool Connected = false;
  bool Draining = false;
  /// False while the engine's state is unknown or a swap has failed.
  bool Ready = true;
  unsigned Slots = 1;
  /// From the last load report.
  unsigned Running = 0;
  unsigned Queued = 0;
  time_point LoadReportedAt;
  uint64_t ObservedVersion = 0;
};

struct route_request {
  /// Expected work: tokens to generate, or 1 for a plain call.
  double Work = 1;
  /// Hash of the prompt's first bytes; 0 = no prefix affinity.
  uint64_t PrefixHash = 0;
  /// Upstreams whose observed version is lower are not candidates.
  uint64_t MinVersion = 0;
  /// Upstreams that an earlier attempt used.
  std::span<const std::string> ExcludedUpstreams;
  std::string_view OwnFailureDomain;
};

struct router_options {
  /// Uniform random number in [0, 1).
  std::function<double()> Random;
  /// Weight of a new sample in the moving average of speed.
  double SpeedSmoothing = 0.2;
  /// Fraction of work that a cached prefix saves.
  double CachedPrefixSaving = 0.3;
  /// Candidates that pick() compares, drawn at random; 0 = all of them.
  size_t SampleSize = 0;
  /// Entries that send to the same upstreams. Own dispatches since the last
  /// load report are taken as this fraction of all.
  double EntryCount = 1;
  /// Prefixes remembered per upstream.
  size_t PrefixesPerUpstream = 256;
};

class router {
public:
  explicit router(router_options Options);

  /// Follows changes of the configuration; see router_options::Entries.
  void setEntryCount(double Entries) { Options.EntryCount = Entries; }

  /// Index of the chosen candidate, or nothing when none is eligible.
  std::optional<size_t> pick(const route_request &Request,
                             std::span<const upstream_view> Candidates,
                             time_point Now);
  void onDispatch(std::string_view Upstream, const route_request &Request,
                  time_point Now);
  /// Learns from a request that ran to its end; Elapsed from dispatch.
  void onFinish(std::string_view Upstream, const route_request &Request,
                milliseconds Elapsed, time_point Now);
  /// A request that ended otherwise.
  void onAbandon(std::string_view Upstream, const route_request &Request,
                 time_point Now);

  /// Predicted time to finish on the candidate, as pick() compares it.
  [[nodiscard]] double predictedFinishMs(const route_request &Request,
                                         const upstream_view &Candidate,
                                         time_point Now) const;

private:
  struct upstream_stats {
    /// Moving average of milliseconds per unit of work in one slot.
    double MsPerWork = 0;
    /// Requests dispatched here and not yet finished.
    unsigned Outstanding = 0;
    /// Own dispatches since the last load report, by time.
    std::deque<time_point> RecentDispatches;
    /// Recently routed prefixes, oldest first.
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
