/// \file
/// The components of an entry and the threads that connect them.

#ifndef CARDAMOM_ENTRY_ENTRY_STATE_H
#define CARDAMOM_ENTRY_ENTRY_STATE_H

#include "config/config_holder.h"
#include "entry/dispatcher.h"
#include "entry/entry.h"
#include "entry/http_frontend.h"
#include "entry/operator_pages.h"
#include "entry/pause_detector.h"
#include "entry/step_service.h"
#include "entry/trace_ring.h"
#include "entry/upstream_directory.h"
#include "inner/document_exchange.h"
#include "inner/inner_client.h"
#include "inner/inner_server.h"
#include "store/store_client.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>

namespace cardamom {

struct entry::state {
  explicit state(entry_options Options);
  ~state();

  void start();
  void drain();
  void stop();
  [[nodiscard]] std::string waitingFor() const;

  // Options of the components.
  [[nodiscard]] peer_identity selfIdentity() const;
  dispatcher_options dispatcherOptions();
  inner_client_options clientOptions();
  inner_server_options serverOptions();
  step_service_options stepOptions();
  http_frontend_options frontendOptions();

  // Installs documents from peers and the store, and sends them to peers.
  void validateDocument(const versioned_document &Document) const;
  void onDocumentInstalled(const versioned_document &Document);
  void applyConfiguration(const std::shared_ptr<const configuration> &Config);
  void handleControl(const wire::control_frame &Frame,
                     std::vector<wire::control_frame> &Replies);
  void installFromStore(const char *Name, const store_result &Result);
  void sendHeartbeats();
  [[nodiscard]] wire::control_frame heartbeat();

  // Threads.
  /// Whether this entry is one of the few that watch the store.
  [[nodiscard]] bool watchesStore() const;
  void watchConfiguration();
  void pollVms();
  void runTicker();
  /// Sleeps for Duration; returns false if the entry is stopping.
  bool sleepFor(milliseconds Duration);
  void joinThreads();

  [[nodiscard]] std::optional<verdict> refusal() const;
  [[nodiscard]] std::optional<verdict> notReady() const;
  void confirmFromHeartbeat(const wire::heartbeat &Heartbeat, time_point Now);

  entry_options Options;
  store_client Store;
  upstream_directory Directory;
  config_holder Config;
  trace_ring Trace;
  pause_detector PauseDetector;
  document_exchange Documents;
  inner_client Client;
  inner_server Server;
  dispatcher Dispatcher;
  std::unique_ptr<step_service> Steps;
  /// Null until the step service has started.
  std::atomic<step_service *> ServingSteps{nullptr};
  std::unique_ptr<http_frontend> Frontend;
  std::unique_ptr<operator_pages> Pages;

  std::atomic<bool> Draining{false};
  /// True once the drain notice has passed: new calls are refused, calls in
  /// flight continue.
  std::atomic<bool> RefusingCalls{false};
  std::atomic<bool> Started{false};
  std::atomic<uint64_t> HeartbeatSequence{0};
  std::mutex PeersMutex;
  std::set<std::string> AgentAddresses;
  mutable std::mutex StopMutex;
  std::condition_variable StopOrHeartbeatDue;
  bool Stopping = false;
  bool HeartbeatDue = false;
  std::thread DispatcherThread;
  std::thread ConfigThread;
  std::thread VmPollThread;
  std::thread TickerThread;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_ENTRY_STATE_H
