/// \file
/// Components of the agent and their wiring. Internal to agent*.cpp.

#ifndef CARDAMOM_AGENT_AGENT_STATE_H
#define CARDAMOM_AGENT_AGENT_STATE_H

#include "agent/agent.h"
#include "agent/agent_documents.h"
#include "agent/engine_client.h"
#include "agent/key_ledger.h"
#include "agent/pause_guard.h"
#include "agent/port_lock.h"
#include "agent/response_streams.h"
#include "agent/run_executor.h"
#include "agent/run_table.h"
#include "agent/upstream_client.h"
#include "agent/weight_reconciler.h"
#include "inner/inner_client.h"
#include "inner/inner_server.h"
#include "store/store_client.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace cardamom {

struct agent::state {
  explicit state(agent_options Options);

  // Lifecycle.
  bool start();
  void close();
  [[nodiscard]] peer_identity selfIdentity() const;

  // Requests of peers. Called on the I/O thread.
  void onRequest(std::shared_ptr<server_stream> Stream, std::string_view Path,
                 std::string_view Message);
  void onRun(std::shared_ptr<server_stream> Stream, std::string_view Message);
  void onAttach(std::shared_ptr<server_stream> Stream,
                std::string_view Message);
  void onQuery(server_stream &Stream, std::string_view Message);
  void onCancel(server_stream &Stream, std::string_view Message);
  void onAck(server_stream &Stream, std::string_view Message);
  void onControl(const wire::control_frame &Frame);
  /// Admission checks that precede the queue and deadline checks. Returns true
  /// and sets End if the run is refused.
  bool refuseRun(const wire::run_request &Request, time_point Now,
                 wire::run_end &End);

  // Documents and draining.
  void onDocumentsChanged();
  [[nodiscard]] std::vector<std::string> drainReasons() const;

  // Periodic work.
  void requestHeartbeat(bool Forced);
  void tickLoop();
  void tick(time_point Now);
  void sendHeartbeat(time_point Now);
  [[nodiscard]] wire::control_frame makeHeartbeat();
  [[nodiscard]] wire::load_report makeLoadReport() const;
  [[nodiscard]] bool hasSignificantLoadChange() const;
  void startSeedClient();
  void stopSeedClientWhenConfigured();

  agent_options Options;
  port_lock OrderPortLock;
  std::atomic<bool> StartInterrupted{false};
  std::atomic<bool> DrainRequested{false};
  bool Started = false;
  /// Whether the documents request a drain. Changed only by
  /// onDocumentsChanged().
  bool DrainByDocuments = false;

  run_table Table;
  response_streams ResponseStreams;
  store_client Store;
  engine_client Engine;
  upstream_client UpstreamClient;
  key_ledger Ledger;
  weight_reconciler Reconciler;
  agent_documents Documents;
  run_executor Executor;
  pause_guard PauseGuard;
  std::unique_ptr<inner_server> Server;
  std::unique_ptr<inner_client> SeedClient;

  std::mutex TickMutex;
  std::condition_variable TickCondition;
  bool TickStopping = false;
  /// Set on changes that peers should learn before the next regular heartbeat.
  bool LoadChanged = false;
  bool HeartbeatForced = false;
  // The members below are used only by the ticker thread.
  bool ReconcilerStarted = false;
  time_point LastHeartbeat;
  time_point LastCleanup;
  wire::load_report LastSentLoad;
  std::atomic<uint64_t> HeartbeatSequence{0};
  std::thread TickThread;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_AGENT_STATE_H
