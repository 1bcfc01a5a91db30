#include "base/log.h"
#include "base/metrics.h"
#include "config/leaving_vms.h"
#include "entry/entry_state.h"
#include "inner/gen/messages.pb.h"
#include "policy/watchers.h"

#include <stdexcept>
#include <utility>

namespace cardamom {

static constexpr const char *ConfigKey = "config/current";
static constexpr const char *ConfigDocument = "config";
static constexpr const char *VmsDocument = "vms";
static constexpr milliseconds WatchTimeout{10000};
static constexpr milliseconds StoreRetryDelay{250};
static constexpr milliseconds VmPollInterval{1000};
// Entries that are not watchers receive documents from their peers. They poll
// the store only in case all reachable watchers have failed.
static constexpr milliseconds NonWatcherPollInterval{15000};
static constexpr milliseconds HeartbeatInterval{1000};
static constexpr milliseconds TickInterval{100};

void entry::state::validateDocument(const versioned_document &Document) const {
  if (Document.Name == ConfigDocument)
    parseConfigurationDocument(Document.Body, Document.Version);
  else if (Document.Name == VmsDocument)
    parseLeavingVms(Document.Body);
  else if (!Document.Name.starts_with("weights/"))
    throw std::invalid_argument("unknown document \"" + Document.Name + "\"");
}

void entry::state::onDocumentInstalled(const versioned_document &Document) {
  if (Document.Name == ConfigDocument)
    applyConfiguration(std::make_shared<const configuration>(
        parseConfigurationDocument(Document.Body, Document.Version)));
  else if (Document.Name == VmsDocument)
    Directory.setLeavingVms(parseLeavingVms(Document.Body));
  {
    std::lock_guard Lock(StopMutex);
    HeartbeatDue = true;
  }
  StopOrHeartbeatDue.notify_all();
}

void entry::state::applyConfiguration(
    const std::shared_ptr<const configuration> &Next) {
  if (!Config.install(Next))
    return;
  Directory.setConfiguration(Next);
  Dispatcher.setEntryCount(Directory.entryCount());
  const std::vector<std::string> AddressList = Directory.agentAddresses();
  std::set<std::string> Addresses(AddressList.begin(), AddressList.end());
  std::lock_guard Lock(PeersMutex);
  for (const std::string &Address : Addresses)
    if (!AgentAddresses.contains(Address))
      Client.addPeer(Address);
  for (const std::string &Address : AgentAddresses)
    if (!Addresses.contains(Address))
      Client.removePeer(Address);
  AgentAddresses = std::move(Addresses);
  logInfo("configuration_in_force", {{"version", std::to_string(Next->Version)},
                                     {"edit_id", Next->EditId}});
}

// A peer that reports the same or a lower version after the pause confirms that
// this process missed no configuration.
void entry::state::confirmFromHeartbeat(const wire::heartbeat &Heartbeat,
                                        time_point Now) {
  for (const wire::document_version &Document : Heartbeat.documents())
    if (Document.name() == ConfigDocument &&
        Document.version() <= Config.version())
      PauseDetector.confirm(Now);
}

void entry::state::handleControl(const wire::control_frame &Frame,
                                 std::vector<wire::control_frame> &Replies) {
  if (Frame.has_heartbeat())
    confirmFromHeartbeat(Frame.heartbeat(), steady_clock::now());
  Replies = Documents.handleFrame(Frame);
  if (Frame.has_document() && Frame.document().name() == ConfigDocument &&
      Frame.document().version() <= Config.version())
    PauseDetector.confirm(steady_clock::now());
}

wire::control_frame entry::state::heartbeat() {
  wire::control_frame Frame;
  wire::heartbeat &Heartbeat = *Frame.mutable_heartbeat();
  Documents.addVersions(Heartbeat);
  Heartbeat.set_draining(Draining);
  Heartbeat.set_sequence(++HeartbeatSequence);
  return Frame;
}

void entry::state::sendHeartbeats() {
  const wire::control_frame Frame = heartbeat();
  Client.broadcastControl(Frame);
  Server.broadcastControl(Frame);
}

bool entry::state::sleepFor(milliseconds Duration) {
  std::unique_lock Lock(StopMutex);
  return !StopOrHeartbeatDue.wait_for(Lock, Duration, [&] { return Stopping; });
}

void entry::state::installFromStore(const char *Name,
                                    const store_result &Result) {
  try {
    Documents.install({Name, Result.Version, Result.Value});
  } catch (const std::exception &Error) {
    metrics::get().counter("documents_rejected_total").add();
    logError("document_rejected", {{"name", Name},
                                   {"version", std::to_string(Result.Version)},
                                   {"error", Error.what()}});
  }
}

bool entry::state::watchesStore() const {
  const auto Current = Config.get();
  if (!Current)
    return true;
  std::vector<std::string_view> Entries;
  for (const asset &Asset : Current->Assets)
    if (Asset.Kind == asset_kind::Entry &&
        Asset.FailureDomain == Options.FailureDomain)
      Entries.push_back(Asset.Name);
  return isStoreWatcher(Options.Name, Entries);
}

void entry::state::watchConfiguration() {
  // Includes rejected versions. Otherwise the watch would return immediately
  // and repeatedly for a rejected version.
  uint64_t LastSeenVersion = 0;
  while (sleepFor(watchesStore() ? milliseconds(0) : NonWatcherPollInterval)) {
    const uint64_t After =
        std::max(LastSeenVersion, Documents.version(ConfigDocument));
    const time_point WatchStart = steady_clock::now();
    const milliseconds Wait = watchesStore() ? WatchTimeout : milliseconds(0);
    const store_result Result = Store.watch(ConfigKey, After, Wait);
    metrics::get()
        .counter("store_watch_results_total", "status", toString(Result.Status))
        .add();
    if (Result.Status == store_status::Ok) {
      LastSeenVersion = std::max(LastSeenVersion, Result.Version);
      installFromStore(ConfigDocument, Result);
      // A response to a watch that began before the pause confirms nothing.
      if (!PauseDetector.pausedSince(WatchStart))
        PauseDetector.confirm(steady_clock::now());
    } else if (Result.Status != store_status::Unchanged) {
      sleepFor(std::max(StoreRetryDelay, Result.RetryAfter));
    }
  }
}

void entry::state::pollVms() {
  while (sleepFor(watchesStore() ? VmPollInterval : NonWatcherPollInterval)) {
    const store_result Result = Store.vms();
    if (Result.Status == store_status::Ok &&
        Result.Version > Documents.version(VmsDocument))
      installFromStore(VmsDocument, Result);
  }
}

void entry::state::runTicker() {
  time_point NextHeartbeat{};
  while (true) {
    bool SendNow = false;
    {
      std::unique_lock Lock(StopMutex);
      StopOrHeartbeatDue.wait_for(Lock, TickInterval,
                                  [&] { return Stopping || HeartbeatDue; });
      if (Stopping)
        return;
      SendNow = std::exchange(HeartbeatDue, false);
    }
    const time_point Now = steady_clock::now();
    if (PauseDetector.tick(Now)) {
      metrics::get().counter("pauses_detected_total").add();
      logInfo("pause_detected", {{"name", Options.Name}});
    }
    if (!SendNow && Now < NextHeartbeat)
      continue;
    sendHeartbeats();
    NextHeartbeat = Now + HeartbeatInterval;
  }
}

} // namespace cardamom
