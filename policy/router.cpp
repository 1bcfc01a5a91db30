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
  // An upstream that has not been used yet is taken to be as fast as the
  // average, so that it is neither avoided nor flooded.
  double Sum = 0;
  unsigned Count = 0;
  for (const auto &[Name, Entry] : StatsByUpstream) {
    if (Entry.MsPerWork <= 0)
      continue;
    Sum += Entry.MsPerWork;
    ++Count;
  }
  return Count == 0 ? 1 : Sum / Count;
}

double router::predictedFinishMs(const route_request &Request,
                                 const upstream_view &Candidate,
                                 time_point Now) const {
  const auto It = StatsByUpstream.find(Candidate.Name);
  double MsPerWork = defaultMsPerWork();
  double Occupied = Candidate.Running + Candidate.Queued;
  double Work = Request.Work;
  if (It != StatsByUpstream.end()) {
    const upstream_stats &Entry = It->second;
    if (Entry.MsPerWork > 0)
      MsPerWork = Entry.MsPerWork;
    // Thousands at a high rate, so that a linear scan for each candidate would
    // cost more than the rest of the choice.
    const auto Newer = Entry.RecentDispatches.end() -
                       std::upper_bound(Entry.RecentDispatches.begin(),
                                        Entry.RecentDispatches.end(),
                                        Candidate.LoadReportedAt);
    // The report lags: own dispatches after it are not in it yet.
    Occupied = std::max<double>(Occupied + double(Newer) * Options.EntryCount,
                                Entry.Outstanding);
    if (Request.PrefixHash != 0 &&
        std::find(Entry.RecentPrefixes.begin(), Entry.RecentPrefixes.end(),
                  Request.PrefixHash) != Entry.RecentPrefixes.end())
      Work *= 1 - Options.CachedPrefixSaving;
  }
  const double Waiting = std::max(0.0, Occupied + 1 - Candidate.Slots);
  const double Rounds = Waiting / std::max(1U, Candidate.Slots);
  return MsPerWork * (Work + Rounds * Request.Work);
}

std::optional<size_t> router::pick(const route_request &Request,
                                   std::span<const upstream_view> Candidates,
                                   time_point Now) {
  std::optional<size_t> Best;
  double BestCost = std::numeric_limits<double>::infinity();
  // Equal costs are common while nothing is known; the random start spreads
  // several entries over the candidates.
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
  // Reports lag by less than a second or two; older dispatches are in them.
  static constexpr milliseconds DispatchMemory{5000};
  upstream_stats &Entry = StatsByUpstream[std::string(Upstream)];
  ++Entry.Outstanding;
  while (!Entry.RecentDispatches.empty() &&
         Now - Entry.RecentDispatches.front() > DispatchMemory)
    Entry.RecentDispatches.pop_front();
  Entry.RecentDispatches.push_back(Now);
  if (Request.PrefixHash == 0)
    return;
  std::erase(Entry.RecentPrefixes, Request.PrefixHash);
  Entry.RecentPrefixes.push_back(Request.PrefixHash);
  if (Entry.RecentPrefixes.size() > Options.PrefixesPerUpstream)
    Entry.RecentPrefixes.erase(Entry.RecentPrefixes.begin());
}

void router::onFinish(std::string_view Upstream, const route_request &Request,
                      milliseconds Elapsed, time_point Now) {
  onAbandon(Upstream, Request, Now);
  if (Request.Work <= 0)
    return;
  upstream_stats &Entry = StatsByUpstream[std::string(Upstream)];
  const double Sample = double(Elapsed.count()) / Request.Work;
  if (Entry.MsPerWork <= 0) {
    Entry.MsPerWork = Sample;
    return;
  }
  Entry.MsPerWork += Options.SpeedSmoothing * (Sample - Entry.MsPerWork);
}

void router::onAbandon(std::string_view Upstream, const route_request &Request,
                       time_point Now) {
  upstream_stats &Entry = StatsByUpstream[std::string(Upstream)];
  if (Entry.Outstanding > 0)
    --Entry.Outstanding;
}

} // namespace cardamom
