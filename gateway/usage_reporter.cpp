#include "gateway/usage_reporter.h"

#include "base/bounded_json.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/metrics.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "jobs/inner_paths.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace cardamom {

using nlohmann::json;

static constexpr std::string_view ReportsName = "log";
/// Interval at which the holder looks for work.
static constexpr milliseconds TickInterval{250};
/// Number of windows whose reports the store keeps.
static constexpr size_t StoredWindows = 12;
/// A gateway that has not answered this many polls is not waited for.
static constexpr unsigned MaxPollFailures = 3;

static json encodeWindows(const usage_windows &Windows) {
  json Encoded = json::object();
  for (const auto &[Window, Counts] : Windows)
    Encoded[std::to_string(Window)] = Counts;
  return Encoded;
}

/// Throws std::invalid_argument if Encoded is malformed.
static usage_windows decodeWindows(const json &Encoded) {
  usage_windows Windows;
  if (!Encoded.is_object())
    throw std::invalid_argument("the windows are not an object");
  for (const auto &[Key, Counts] : Encoded.items()) {
    uint64_t Window = 0;
    const auto [End, Error] =
        std::from_chars(Key.data(), Key.data() + Key.size(), Window);
    if (Error != std::errc() || End != Key.data() + Key.size() ||
        !Counts.is_object())
      throw std::invalid_argument("window \"" + Key + "\" is malformed");
    tenant_counts &Decoded = Windows[Window];
    for (const auto &[Tenant, Count] : Counts.items()) {
      if (!Count.is_number_unsigned())
        throw std::invalid_argument("a count of window \"" + Key +
                                    "\" is not a number");
      Decoded[Tenant] = Count.get<uint64_t>();
    }
  }
  return Windows;
}

usage_reporter::usage_reporter(usage_reporter_options ReporterOptions)
    : Options(std::move(ReporterOptions)), Counter({.Window = Options.Window}),
      Election(makeElectionOptions()), Ledger({.Window = Options.Window}) {}

usage_reporter::~usage_reporter() = default;

leader_election_options usage_reporter::makeElectionOptions() {
  leader_election_options Result = Options.Election;
  Result.OnElected = [this](const std::string & /*Predecessor*/) {
    onElected();
  };
  Result.OnStoppedLeading = [this](std::string_view Reason) {
    logInfo("usage_holder_stopped", {{"reason", std::string(Reason)}});
    onStoppedLeading();
  };
  Result.CanServe = [this](time_point /*Now*/) { return IsHolder; };
  return Result;
}

void usage_reporter::setEnabled(bool NowEnabled) {
  if (Enabled && !NowEnabled)
    LastEnabledWindow = Counter.windowOf(Options.UnixNow());
  Enabled = NowEnabled;
  if (!Enabled || Started)
    return;
  Started = true;
  Election.start();
}

void usage_reporter::stop() {
  if (Started)
    Election.release();
}

void usage_reporter::onRequestStarted(std::string_view Tenant,
                                      time_point StartedAt) {
  if (!Enabled || Tenant.empty())
    return;
  const auto Age =
      std::chrono::duration_cast<milliseconds>(event_loop::now() - StartedAt);
  Counter.count(Tenant, Options.UnixNow() - uint64_t(Age.count()));
}

std::string usage_reporter::encodeCounts(uint64_t After) const {
  const usage_windows &All = Counter.windows();
  const usage_windows Wanted(All.upper_bound(After), All.end());
  const json Encoded = {{"incarnation", Options.Election.Incarnation},
                        {"windows", encodeWindows(Wanted)}};
  return toJsonText(Encoded);
}

void usage_reporter::onElected() {
  logInfo("usage_holder_started",
          {{"token", std::to_string(Election.record().FencingToken)}});
  metrics::get().counter("usage_holder_starts_total").add();
  IsHolder = true;
  Ledger = usage_ledger({.Window = Options.Window});
  ReportsKnown = false;
  StoreCallPending = false;
  Unsent.clear();
  SentUpTo = 0;
  RetryDelay = Options.MinRetryDelay;
  SendNotBefore = {};
  PolledAt = {};
  PollFailures.clear();
  Election.announceLease();
  readReports();
  tick();
}

void usage_reporter::onStoppedLeading() {
  IsHolder = false;
  // This function may be called from a callback of these calls.
  Options.Election.Loop.post([Old = std::move(Polls),
                              Send = std::move(SendCall),
                              Timer = std::move(TickTimer)] {});
  Polls.clear();
}

void usage_reporter::tick() {
  TickTimer = Options.Election.Loop.after(TickInterval, [this] {
    if (!IsHolder)
      return;
    const time_point Now = event_loop::now();
    const bool Collecting =
        Enabled || Ledger.lastReported().value_or(0) < LastEnabledWindow;
    if (Collecting && Now - PolledAt >= Options.PollInterval)
      pollPeers();
    if (Collecting)
      storeNextReport();
    sendNextReport();
    tick();
  });
}

void usage_reporter::pollPeers() {
  PolledAt = event_loop::now();
  const uint64_t SentAtUnixMs = Options.UnixNow();
  Ledger.onSnapshot(Options.Election.Self, Options.Election.Incarnation,
                    Counter.windows(), SentAtUnixMs);
  const std::string Target = std::string(InnerUsagePath) + "?after=" +
                             std::to_string(Ledger.lastReported().value_or(0));
  for (const std::string &Address : Options.Peers()) {
    const http_request Request{.Method = "GET",
                               .Target = Target,
                               .Headers = {{"Host", Address}},
                               .Body = {}};
    Polls[Address] = Options.Election.Client.fetch(
        Address, Request, Options.PollTimeout,
        [this, Address, SentAtUnixMs](const call_completion &End,
                                      const http_response &Response) {
          onPollAnswer(Address, SentAtUnixMs, End, Response);
        });
  }
}

void usage_reporter::onPollAnswer(const std::string &Address,
                                  uint64_t SentAtUnixMs,
                                  const call_completion &End,
                                  const http_response &Response) {
  static constexpr unsigned StatusOk = 200;
  unsigned &Failures = PollFailures[Address];
  if (End.Result != call_result::Complete || Response.Status != StatusOk) {
    ++Failures;
    return;
  }
  try {
    const json Answer = parseBoundedJson(Response.Body);
    const auto Windows = Answer.find("windows");
    if (Windows == Answer.end())
      throw std::invalid_argument("the answer has no windows");
    Ledger.onSnapshot(Address, textOr(Answer, "incarnation"),
                      decodeWindows(*Windows), SentAtUnixMs);
    Failures = 0;
  } catch (const std::exception &Error) {
    ++Failures;
    logInfo("usage_counts_unreadable",
            {{"gateway", Address}, {"reason", Error.what()}});
  }
}

std::vector<std::string> usage_reporter::expectedMembers() const {
  std::vector<std::string> Members = {Options.Election.Self};
  for (const std::string &Address : Options.Peers()) {
    const auto It = PollFailures.find(Address);
    if (It == PollFailures.end() || It->second < MaxPollFailures)
      Members.push_back(Address);
  }
  return Members;
}

/// Reads what has been reported, also after a write whose outcome is unknown.
void usage_reporter::readReports() {
  ReportsKnown = false;
  if (StoreCallPending)
    return;
  StoreCallPending = true;
  async_store_client &Store = Options.Election.Store;
  Store.whenReachable([this, &Store, Weak = std::weak_ptr<bool>(Alive)] {
    if (Weak.expired())
      return;
    Store.call({.Op = object_op::Get,
                .Kind = Options.ReportKind,
                .Name = std::string(ReportsName)},
               [this, Weak](const object_reply &Reply) {
                 if (Weak.expired())
                   return;
                 StoreCallPending = false;
                 if (IsHolder)
                   onReportsRead(Reply);
               });
  });
}

void usage_reporter::onReportsRead(const object_reply &Reply) {
  if (Reply.Outcome == object_outcome::NotFound) {
    ReportsRevision = 0;
    ReportsKnown = true;
    // Nothing was reported yet: the present window is the first.
    if (!Ledger.lastReported())
      Ledger.startAfter(Counter.windowOf(Options.UnixNow()) - 1,
                        Options.UnixNow());
    return;
  }
  if (Reply.Outcome != object_outcome::Done || Reply.Objects.empty())
    return;
  const stored_object &Object = Reply.Objects.front();
  ReportsRevision = Object.Revision;
  ReportsKnown = true;
  try {
    const usage_windows Reports = decodeWindows(Object.Spec.at("reports"));
    if (Reports.empty())
      throw std::invalid_argument("no reports");
    SentUpTo = std::max(SentUpTo, countOr(Object.Spec, "sent_up_to"));
    Unsent = usage_windows(Reports.upper_bound(SentUpTo), Reports.end());
    Ledger.startAfter(Reports.rbegin()->first, Options.UnixNow());
  } catch (const std::exception &Error) {
    // Another writer has overwritten the object. Windows up to the present one
    // may have been reported and are left out, so that none is reported twice.
    logError("usage_reports_unreadable", {{"reason", Error.what()}});
    Unsent.clear();
    Ledger.startAfter(Counter.windowOf(Options.UnixNow()), Options.UnixNow());
  }
}

/// Fixes the report of the next window by storing it. The write is conditional,
/// so that of two holders only one can fix it.
void usage_reporter::storeNextReport() {
  if (!ReportsKnown) {
    readReports();
    return;
  }
  if (StoreCallPending || !Options.Election.Store.reachable() ||
      !Election.holdsLease())
    return;
  Ledger.onSnapshot(Options.Election.Self, Options.Election.Incarnation,
                    Counter.windows(), Options.UnixNow());
  const std::optional<usage_report> Report =
      Ledger.nextReport(expectedMembers(), Options.UnixNow());
  if (!Report)
    return;
  usage_windows Reports = Unsent;
  Reports[Report->Window] = Report->Counts;
  while (Reports.size() > StoredWindows)
    Reports.erase(Reports.begin());
  object_request Request{
      .Op = ReportsRevision == 0 ? object_op::Create : object_op::Replace,
      .Kind = Options.ReportKind,
      .Name = std::string(ReportsName),
      .Value = {{"reports", encodeWindows(Reports)}, {"sent_up_to", SentUpTo}}};
  if (ReportsRevision != 0)
    Request.ExpectedRevision = ReportsRevision;
  StoreCallPending = true;
  Options.Election.Store.call(Request,
                              [this, Weak = std::weak_ptr<bool>(Alive),
                               Fixed = *Report](const object_reply &Reply) {
                                if (Weak.expired())
                                  return;
                                StoreCallPending = false;
                                if (IsHolder)
                                  onReportStored(Fixed, Reply);
                              });
}

void usage_reporter::onReportStored(const usage_report &Report,
                                    const object_reply &Reply) {
  if (Reply.Outcome != object_outcome::Done || Reply.Objects.empty()) {
    logInfo("usage_report_not_stored",
            {{"window", std::to_string(Report.Window)},
             {"outcome", std::string(toString(Reply.Outcome))},
             {"detail", Reply.Detail}});
    readReports();
    return;
  }
  ReportsRevision = Reply.Objects.front().Revision;
  Ledger.onReported(Report.Window);
  Unsent[Report.Window] = Report.Counts;
  sendNextReport();
}

bool usage_reporter::maySend(time_point Now) const {
  return IsHolder && Election.hasSettled(Now) && Election.mayAct(Now) &&
         Election.record().FencingToken != FencedToken;
}

void usage_reporter::sendNextReport() {
  const time_point Now = event_loop::now();
  if (Unsent.empty() || SendCall || Now < SendNotBefore ||
      !Election.hasSettled(Now))
    return;
  if (!maySend(Now)) {
    Election.renewIfDue(Now);
    return;
  }
  const auto &[Window, Counts] = *Unsent.begin();
  const http_request Request = Options.Protocols.EncodeUsageReport(
      {.Window = Window, .Counts = Counts},
      {.Holder = Options.Election.Self,
       .FencingToken = Election.record().FencingToken});
  SendCall = Options.Election.Client.fetch(
      Options.ControlApi, Request, Options.CallTimeout,
      [this, Window = Window](const call_completion &End,
                              const http_response &Response) {
        onReportAnswered(Window,
                         End.Result == call_result::Complete
                             ? Options.Protocols.DecodeDutyReply(Response)
                             : duty_outcome::Unknown);
      },
      [this] { return maySend(event_loop::now()); });
}

void usage_reporter::onReportAnswered(uint64_t Window, duty_outcome Outcome) {
  // The call must not be destroyed from inside its own callback.
  Options.Election.Loop.post([Finished = std::move(SendCall)] {});
  SendCall.reset();
  metrics::get()
      .counter("usage_reports_total", "outcome", toString(Outcome))
      .add();
  logInfo("usage_report_sent",
          {{"window", std::to_string(Window)},
           {"outcome", std::string(toString(Outcome))},
           {"token", std::to_string(Election.record().FencingToken)}});
  switch (Outcome) {
  case duty_outcome::Accepted:
    SentUpTo = std::max(SentUpTo, Window);
    Unsent.erase(Window);
    RetryDelay = Options.MinRetryDelay;
    return;
  case duty_outcome::Fenced:
    // Another holder has a higher token; this one must not be used again.
    FencedToken = Election.record().FencingToken;
    Election.readLease();
    return;
  case duty_outcome::Refused:
  case duty_outcome::Unknown:
    SendNotBefore = event_loop::now() + RetryDelay;
    RetryDelay = std::min(RetryDelay * 2, Options.MaxRetryDelay);
    return;
  }
}

} // namespace cardamom
