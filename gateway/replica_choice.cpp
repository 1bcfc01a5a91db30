#include "gateway/replica_choice.h"

#include "gateway/replica_directory.h"
#include "policy/router.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cardamom {

static upstream_view viewOf(const replica &Replica,
                            const replica_directory &Directory) {
  upstream_view View{.Name = Replica.Id,
                     .FailureDomain = Replica.FailureDomain,
                     .Connected = true,
                     .Slots = Replica.Slots};
  if (const auto Load = Directory.load(Replica.Id)) {
    View.Running = Load->Report.Running;
    View.Queued = Load->Report.Waiting;
    View.LoadReportedAt = Load->At;
    View.Slowdown = Load->Report.Slowdown.value_or(1);
  }
  return View;
}

/// Returns the indexes of the replicas to choose from: not tried before and
/// within the limits of replicas that start or recover.
static std::vector<size_t> withinPace(const replica_directory &Directory,
                                      const router &Router,
                                      std::span<const upstream_view> Views,
                                      std::span<const std::string> Tried,
                                      time_point Now) {
  std::vector<size_t> Untried;
  std::vector<replica_pace::candidate> Candidates;
  bool AnyLimited = false;
  for (size_t I = 0; I < Views.size(); ++I) {
    const upstream_view &View = Views[I];
    if (std::find(Tried.begin(), Tried.end(), View.Name) != Tried.end())
      continue;
    Untried.push_back(I);
    AnyLimited = AnyLimited || Directory.pace().limit(View.Name);
  }
  if (!AnyLimited)
    return Untried;
  for (const size_t Index : Untried) {
    const upstream_view &View = Views[Index];
    replica_pace::candidate Candidate{
        .Replica = View.Name,
        .Slots = View.Slots,
        .Occupancy = {.Occupied = Router.requestsAt(View),
                      .Own = Router.outstanding(View.Name),
                      .ReportAge = std::nullopt}};
    if (const auto Load = Directory.load(View.Name))
      Candidate.Occupancy.ReportAge = Now - Load->At;
    Candidates.push_back(Candidate);
  }
  std::vector<size_t> Preferred = Directory.pace().preferred(Candidates, Now);
  for (size_t &Index : Preferred)
    Index = Untried[Index];
  return Preferred;
}

const replica *chooseReplica(const replica_directory &Directory, router &Router,
                             std::string_view Service,
                             std::span<const std::string> Tried,
                             std::string_view OwnFailureDomain,
                             time_point Now) {
  const std::vector<const replica *> Usable = Directory.usable(Service, Now);
  std::vector<upstream_view> Views;
  Views.reserve(Usable.size());
  for (const replica *Replica : Usable)
    Views.push_back(viewOf(*Replica, Directory));
  const route_request Wanted{.ExcludedUpstreams = Tried,
                             .OwnFailureDomain = OwnFailureDomain};
  const std::vector<size_t> Preferred =
      withinPace(Directory, Router, Views, Tried, Now);
  std::vector<upstream_view> Candidates;
  Candidates.reserve(Preferred.size());
  for (const size_t Index : Preferred)
    Candidates.push_back(std::move(Views[Index]));
  const auto Choice = Router.pick(Wanted, Candidates, Now);
  return Choice ? Usable[Preferred[*Choice]] : nullptr;
}

} // namespace cardamom
