#include "policy/usage_ledger.h"

#include <algorithm>
#include <iterator>

namespace cardamom {

void usage_ledger::startAfter(uint64_t Window, uint64_t UnixNowMs) {
  // A late write of another holder may create the object after a read that
  // found none. The counts of the windows in between were left out until now.
  if (!LastReported || Window < *LastReported) {
    StartedAt = UnixNowMs;
    PolledAt.clear();
  }
  LastReported = Window;
}

void usage_ledger::onSnapshot(std::string_view Member,
                              std::string_view Incarnation,
                              const usage_windows &Windows,
                              uint64_t PolledAtUnixMs) {
  usage_windows &Known =
      Snapshots[{std::string(Member), std::string(Incarnation)}];
  for (const auto &[Window, Counts] : Windows) {
    if (LastReported && Window <= *LastReported)
      continue;
    // Answers may arrive out of order; counts only grow.
    for (const auto &[Tenant, Count] : Counts) {
      uint64_t &Total = Known[Window][Tenant];
      Total = std::max(Total, Count);
    }
  }
  uint64_t &Last = PolledAt[std::string(Member)];
  Last = std::max(Last, PolledAtUnixMs);
}

bool usage_ledger::allAnsweredSince(std::span<const std::string> Members,
                                    uint64_t UnixMs) const {
  return std::all_of(Members.begin(), Members.end(),
                     [&](const std::string &Member) {
                       const auto It = PolledAt.find(Member);
                       return It != PolledAt.end() && It->second >= UnixMs;
                     });
}

std::optional<usage_report>
usage_ledger::nextReport(std::span<const std::string> Members,
                         uint64_t UnixNowMs) const {
  if (!LastReported || !StartedAt)
    return std::nullopt;
  const uint64_t Window = *LastReported + 1;
  const uint64_t EndMs = (Window + 1) * uint64_t(Options.Window.count());
  const uint64_t SettledMs = EndMs + uint64_t(Options.SettleTime.count());
  if (UnixNowMs < SettledMs)
    return std::nullopt;
  const bool Overdue =
      UnixNowMs >= EndMs + uint64_t(Options.MaxWait.count()) &&
      UnixNowMs >= *StartedAt + uint64_t(Options.MinCollectTime.count());
  if (!Overdue && !allAnsweredSince(Members, SettledMs))
    return std::nullopt;
  usage_report Report{.Window = Window, .Counts = {}};
  for (const auto &[Source, Windows] : Snapshots) {
    const auto It = Windows.find(Window);
    if (It == Windows.end())
      continue;
    for (const auto &[Tenant, Count] : It->second)
      Report.Counts[Tenant] += Count;
  }
  return Report;
}

void usage_ledger::onReported(uint64_t Window) {
  LastReported = std::max(LastReported.value_or(0), Window);
  for (auto It = Snapshots.begin(); It != Snapshots.end();) {
    usage_windows &Windows = It->second;
    Windows.erase(Windows.begin(), Windows.upper_bound(*LastReported));
    It = Windows.empty() ? Snapshots.erase(It) : std::next(It);
  }
  // A poll before the end of a reported window completes no later window.
  const uint64_t EndMs = (*LastReported + 1) * uint64_t(Options.Window.count());
  std::erase_if(PolledAt,
                [&](const auto &Polled) { return Polled.second < EndMs; });
}

} // namespace cardamom
