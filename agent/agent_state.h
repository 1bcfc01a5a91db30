/// \file
/// Parts of the agent and how they are joined. Internal to agent*.cpp.

#ifndef CARDAMOM_AGENT_AGENT_STATE_H
#define CARDAMOM_AGENT_AGENT_STATE_H

#include "agent/agent.h"
#include "agent/agent_documents.h"
#include "agent/answer_streams.h"
#include "agent/engine_client.h"
#include "agent/key_ledger.h"
#include "agent/order_giver.h"
#include "agent/order_port.h"
#include "agent/pause_guard.h"
#include "agent/run_executor.h"
#include "agent/run_table.h"
#include "agent/upstream_driver.h"
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
  [[nodiscard]] peer_identity self() const;

  // Requests of peers, on the I/O thread.
  void onRequest(std::shared_ptr<server_stream> Stream, std::string_view Path,
                 std::string_view Message);
  void onRun(std::shared_ptr<server_stream> Stream, std::string_view Message);
  void onAttach(std::shared_ptr<server_stream> Stream,
                std::string_view Message);
  void onQuery(server_stream &Stream, std::string_view Message);
  void onCancel(server_stream &Stream, std::string_view Message);
  void onAck(server_stream &Stream, std::string_view Message);
  void onControl(const wire::control_frame &Frame);
  /// Admission checks before queue and deadline. Returns whether the run is
  /// refused, and sets End.
  bool refuses(const wire::run_request &Request, time_point Now,
               wire::run_end &End);

  // Documents and drain.
  void onDocuments();
  [[nodiscard]] std::vector<std::string> drainReasons() const;

  // Ticker.
  void requestHeartbeat(bool Forced);
  void tickLoop();
  void tick(time_point Now);
  void sendHeartbeat(time_point Now);
  [[nodiscard]] wire::control_frame makeHeartbeat();
  [[nodiscard]] wire::load_report makeLoad() const;
  [[nodiscard]] bool loadDiffers() const;
  void startSeeds();
  void stopSeedsWhenConfigured();

  agent_options Options;
  order_port Port;
  std::atomic<bool> StartInterrupted{false};
  std::atomic<bool> DrainRequested{false};
  bool Started = false;
  /// Whether the documents ask for a drain; changed by onDocuments() only.
  bool DocumentsDrain = false;

  run_table Table;
  answer_streams Streams;
  store_client Store;
  engine_client Engine;
  upstream_driver Driver;
  key_ledger Ledger;
  order_giver Orders;
  agent_documents Documents;
  run_executor Executor;
  pause_guard Guard;
  std::unique_ptr<inner_server> Server;
  std::unique_ptr<inner_client> Seeds;

  std::mutex TickMutex;
  std::condition_variable TickWake;
  bool TickStopping = false;
  /// Something that peers want to know soon has changed.
  bool LoadChanged = false;
  bool HeartbeatForced = false;
  // Below: used by the ticker only.
  bool OrdersStarted = false;
  time_point LastHeartbeat;
  time_point LastRetention;
  wire::load_report LastLoad;
  std::atomic<uint64_t> HeartbeatSequence{0};
  std::thread Ticker;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_AGENT_STATE_H
