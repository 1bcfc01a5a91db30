/// \file
/// Decides when the usage report of a window is complete, and what it contains.
///
/// Usage:
///   usage_ledger Ledger({...});
///   Ledger.startAfter(LastReportedWindow, UnixNowMs);
///   Ledger.onSnapshot("gw-1", "incarnation", Windows, PolledAtUnixMs);
///   if (auto Report = Ledger.nextReport(Members, UnixNowMs))
///     store it; once stored: Ledger.onReported(Report->Window);
///
/// Each gateway counts for itself, and a process may be killed at any moment.
/// The ledger therefore keeps the newest counts of each incarnation of each
/// gateway, so that a killed process loses only what it has counted since it
/// was last asked. Reports are made in order, one for each window. Reads no
/// clock and does no I/O.

#ifndef CARDAMOM_POLICY_USAGE_LEDGER_H
#define CARDAMOM_POLICY_USAGE_LEDGER_H

#include "policy/usage_counter.h"

#include <optional>
#include <span>

namespace cardamom {

struct usage_report {
  uint64_t Window = 0;
  tenant_counts Counts;
};

struct usage_ledger_options {
  milliseconds Window{5000};
  /// Counts of a window are final this long after its end: clocks of gateways
  /// differ a little.
  milliseconds SettleTime{1500};
  /// A window is reported this long after its end at the latest, without the
  /// gateways that do not answer. Leaves time for a hand-over before the report
  /// is due.
  milliseconds MaxWait{5000};
  /// A ledger that has just started reports no overdue window for this long, so
  /// that the gateways can answer: a poll at the first tick (250 ms) takes up
  /// to 600 ms, and a lost one is repeated after 1000 ms.
  milliseconds MinCollectTime{1500};
};

class usage_ledger {
public:
  explicit usage_ledger(usage_ledger_options Options) : Options(Options) {}

  /// The next report is that of the window after Window. MinCollectTime begins
  /// with the first call, and again when Window is lower than before.
  void startAfter(uint64_t Window, uint64_t UnixNowMs);
  [[nodiscard]] std::optional<uint64_t> lastReported() const {
    return LastReported;
  }

  /// Records the cumulative counts of a gateway. PolledAt: when they were
  /// requested, so that they contain everything counted before.
  void onSnapshot(std::string_view Member, std::string_view Incarnation,
                  const usage_windows &Windows, uint64_t PolledAtUnixMs);
  /// Returns the report of the next window if it is complete. Members: the
  /// gateways that are expected to answer.
  [[nodiscard]] std::optional<usage_report>
  nextReport(std::span<const std::string> Members, uint64_t UnixNowMs) const;
  /// The report of the next window is stored.
  void onReported(uint64_t Window);
  /// Number of retained sources of counts and times of polls.
  [[nodiscard]] size_t size() const {
    return Snapshots.size() + PolledAt.size();
  }

private:
  [[nodiscard]] bool allAnsweredSince(std::span<const std::string> Members,
                                      uint64_t UnixMs) const;

  usage_ledger_options Options;
  std::optional<uint64_t> LastReported;
  std::optional<uint64_t> StartedAt;
  /// Counts by gateway and incarnation.
  std::map<std::pair<std::string, std::string>, usage_windows> Snapshots;
  std::map<std::string, uint64_t, std::less<>> PolledAt;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_USAGE_LEDGER_H
