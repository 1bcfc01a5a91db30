/// \file
/// Reports the usage of each tenant to the platform's control API, one report
/// for each window of time, from one gateway at a time.
///
/// Usage:
///   usage_reporter Reporter({...});
///   Reporter.setEnabled(true);             // the configuration has tenants
///   Reporter.onRequestStarted("tenant", StartedAt);
///
/// Each gateway counts its own requests. The elected gateway collects the
/// counts of all, stores the report of a window in the store, and sends it once
/// the store has acknowledged it. Whoever sends the report of a window
/// therefore sends the same one. See docs/design/usage.md. Runs on the event
/// loop's thread.

#ifndef CARDAMOM_GATEWAY_USAGE_REPORTER_H
#define CARDAMOM_GATEWAY_USAGE_REPORTER_H

#include "gateway/leader_election.h"
#include "gateway/protocols.h"
#include "policy/usage_ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct usage_reporter_options {
  /// Options of the election; OnElected, OnStoppedLeading and CanServe are set
  /// by this class.
  leader_election_options Election;
  const gateway_protocols &Protocols;
  /// "IP:port" of the control API.
  std::string ControlApi;
  /// Kind of the object that holds the reports.
  std::string ReportKind;
  milliseconds Window{5000};
  /// Returns the current time in Unix milliseconds.
  std::function<uint64_t()> UnixNow;
  /// Inner addresses of the other gateways.
  std::function<std::vector<std::string>()> Peers;
  /// Interval at which the holder asks the other gateways for their counts,
  /// which is how much of them a killed gateway can lose.
  milliseconds PollInterval{1000};
  milliseconds PollTimeout{600};
  milliseconds CallTimeout{1500};
  /// Delay before a report that got no answer is sent again; doubles up to the
  /// maximum.
  milliseconds MinRetryDelay{200};
  milliseconds MaxRetryDelay{2000};
};

class usage_reporter {
public:
  explicit usage_reporter(usage_reporter_options Options);
  ~usage_reporter();
  usage_reporter(const usage_reporter &) = delete;
  usage_reporter &operator=(const usage_reporter &) = delete;

  /// Without tenants nothing is counted, collected or reported, except that the
  /// windows until the tenants were removed are completed.
  void setEnabled(bool Enabled);
  [[nodiscard]] leader_election &election() { return Election; }
  /// A request of the tenant began to run at a replica at StartedAt.
  void onRequestStarted(std::string_view Tenant, time_point StartedAt);
  /// Encodes this gateway's counts of the windows after After, for the holder.
  [[nodiscard]] std::string encodeCounts(uint64_t After) const;
  void stop();

private:
  leader_election_options makeElectionOptions();
  void onElected();
  void onStoppedLeading();
  void tick();
  void pollPeers();
  void onPollAnswer(const std::string &Address, uint64_t SentAtUnixMs,
                    const call_completion &End, const http_response &Response);
  void readReports();
  void onReportsRead(const object_reply &Reply);
  void storeNextReport();
  void onReportStored(const usage_report &Report, const object_reply &Reply);
  void sendNextReport();
  void onReportAnswered(uint64_t Window, duty_outcome Outcome);
  [[nodiscard]] bool maySend(time_point Now) const;
  [[nodiscard]] std::vector<std::string> expectedMembers() const;

  usage_reporter_options Options;
  usage_counter Counter;
  bool Enabled = false;
  /// The window in which Enabled last became false; 0 = never.
  uint64_t LastEnabledWindow = 0;
  bool Started = false;
  leader_election Election;
  /// The following hold while this process is the holder.
  bool IsHolder = false;
  usage_ledger Ledger;
  /// Revision of the object that holds the reports; 0 = it does not exist.
  uint64_t ReportsRevision = 0;
  bool ReportsKnown = false;
  bool StoreCallPending = false;
  /// Reports in the store that may not have been accepted yet, by window.
  std::map<uint64_t, tenant_counts> Unsent;
  uint64_t SentUpTo = 0;
  /// Token of a call that was rejected because of a higher one.
  uint64_t FencedToken = 0;
  milliseconds RetryDelay{0};
  time_point SendNotBefore{};
  time_point PolledAt{};
  /// Consecutive polls without an answer, by address.
  std::map<std::string, unsigned> PollFailures;
  std::map<std::string, std::shared_ptr<client_call_state>> Polls;
  std::shared_ptr<client_call_state> SendCall;
  std::shared_ptr<timer_state> TickTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_USAGE_REPORTER_H
