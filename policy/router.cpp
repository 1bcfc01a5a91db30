#include "policy/router.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

namespace cardamom {

router::router(router_options Options) : Options(std::move(Options)) {}

bool router::isEligible(const route_request &Request,
                        const upstream_view &Candidate) const {
  if (!Candidate.Connected || Candidate.Draining || !Candidate.Ready)
    return false;
  if (Candidate.ObservedVersion < Request.MinVersion)
    return false;
  return std::find(Request.ExcludedUpstreams.begin(),
                   Request.ExcludedUpstreams.end(),
                   Candidate.Name) == Request.ExcludedUpstreams.end();
}

double router::defaultMsPerWork() const {
  // An upstream that has not been used yet is assumed to have average speed, so
  // that it is neither avoided nor overloaded.
  double Sum = 0;
  unsigned Count = 0;
  for (const auto &[Name, Stats] : StatsByUpstream) {
    if (Stats.MsPerWork <= 0)
      continue;
    Sum += Stats.MsPerWork;
    ++Count;
  }
  return Count == 0 ? 1 : Sum / Count;
}

double router::requestsAt(const upstream_view &Candidate) const {
  const double Reported = Candidate.Running + Candidate.Queued;
  const auto It = StatsByUpstream.find(Candidate.Name);
  if (It == StatsByUpstream.end())
    return Reported;
  const upstream_stats &Stats = It->second;
  // Binary search: at a high request rate there are thousands of dispatches,
  // and a linear scan for each candidate would cost more than the rest of
  // pick().
  const auto DispatchesSinceReport =
      Stats.RecentDispatches.end() -
      std::upper_bound(Stats.RecentDispatches.begin(),
                       Stats.RecentDispatches.end(), Candidate.LoadReportedAt);
  // The load report lags and does not include this entry's latest dispatches.
  return std::max<double>(Reported + double(DispatchesSinceReport) *
                                         Options.EntryCount,
                          Stats.Outstanding);
}

unsigned router::outstanding(std::string_view Upstream) const {
  const auto It = StatsByUpstream.find(Upstream);
  return It == StatsByUpstream.end() ? 0 : It->second.Outstanding;
}

double router::predictedFinishMs(const route_request &Request,
                                 const upstream_view &Candidate,
                                 time_point Now) const {
  const auto It = StatsByUpstream.find(Candidate.Name);
  double MsPerWork = defaultMsPerWork();
  const double RequestsAhead = requestsAt(Candidate);
  double Work = Request.Work;
  if (It != StatsByUpstream.end()) {
    const upstream_stats &Stats = It->second;
    if (Stats.MsPerWork > 0)
      MsPerWork = Stats.MsPerWork;
    if (Request.PrefixHash != 0 &&
        std::find(Stats.RecentPrefixes.begin(), Stats.RecentPrefixes.end(),
                  Request.PrefixHash) != Stats.RecentPrefixes.end())
      Work *= 1 - Options.CachedPrefixSaving;
  }
  const double Waiting = std::max(0.0, RequestsAhead + 1 - Candidate.Slots);
  const double Rounds = Waiting / std::max(1U, Candidate.Slots);
  const double Age =
      std::chrono::duration<double, std::milli>(Now - Candidate.LoadReportedAt)
          .count();
  const double Weight =
      std::clamp(1 - Age / double(Options.MaxSlowdownAge.count()), 0.0, 1.0);
  const double Slowdown = 1 + Weight * (Candidate.Slowdown - 1);
  return MsPerWork * (Work + Rounds * Request.Work) * Slowdown;
}

std::optional<size_t> router::pick(const route_request &Request,
                                   std::span<const upstream_view> Candidates,
                                   time_point Now) {
  std::optional<size_t> Best;
  double BestCost = std::numeric_limits<double>::infinity();
  // Equal costs are common while no speed is known. A random order spreads the
  // requests of several entries over the candidates.
  const size_t Count = Candidates.size();
  std::vector<size_t> Order(Count);
  std::iota(Order.begin(), Order.end(), size_t(0));
  if (Options.Random)
    for (size_t I = 0; I + 1 < Count; ++I)
      std::swap(Order[I],
                Order[I + size_t(Options.Random() * double(Count - I))]);
  size_t Compared = 0;
  for (size_t I = 0; I < Count; ++I) {
    const size_t Index = Order[I];
    if (!isEligible(Request, Candidates[Index]))
      continue;
    if (Options.SampleSize != 0 && Compared++ == Options.SampleSize)
      break;
    const double Cost = predictedFinishMs(Request, Candidates[Index], Now);
    if (Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best = Index;
  }
  return Best;
}

void router::onDispatch(std::string_view Upstream, const route_request &Request,
                        time_point Now) {
  // Load reports lag by at most one or two seconds, so dispatches older than
  // this are included in the latest report.
  static constexpr milliseconds DispatchRetention{5000};
  upstream_stats &Stats = StatsByUpstream[std::string(Upstream)];
  ++Stats.Outstanding;
  while (!Stats.RecentDispatches.empty() &&
         Now - Stats.RecentDispatches.front() > DispatchRetention)
    Stats.RecentDispatches.pop_front();
  Stats.RecentDispatches.push_back(Now);
  if (Request.PrefixHash == 0)
    return;
  std::erase(Stats.RecentPrefixes, Request.PrefixHash);
  Stats.RecentPrefixes.push_back(Request.PrefixHash);
  if (Stats.RecentPrefixes.size() > Options.PrefixesPerUpstream)
    Stats.RecentPrefixes.erase(Stats.RecentPrefixes.begin());
}

void router::onFinish(std::string_view Upstream, const route_request &Request,
                      milliseconds Elapsed, time_point Now) {
  onAbandon(Upstream, Request, Now);
  if (Request.Work <= 0)
    return;
  upstream_stats &Stats = StatsByUpstream[std::string(Upstream)];
  const double Sample = double(Elapsed.count()) / Request.Work;
  if (Stats.MsPerWork <= 0) {
    Stats.MsPerWork = Sample;
    return;
  }
  Stats.MsPerWork += Options.SpeedSmoothing * (Sample - Stats.MsPerWork);
}

void router::onAbandon(std::string_view Upstream, const route_request &Request,
                       time_point Now) {
  upstream_stats &Stats = StatsByUpstream[std::string(Upstream)];
  if (Stats.Outstanding > 0)
    --Stats.Outstanding;
}

} // namespace cardamom
