/// \file
/// The agent forwards calls to one upstream and runs on the upstream's VM. It
/// alone decides on admission, draining, concurrency limits, the weight
/// versions reported for tokens, and orders to load weights.
///
/// Use:
///   agent Agent({.Name = "engine-1", .Incarnation = Random, ...});
///   if (!Agent.start()) return;   // blocks until the order port is free
///   ...
///   Agent.stop();                 // graceful; see stop()
///
/// Threads: inner I/O, ticker, weight reconciler, one worker per active run,
/// and one for cancellations.

#ifndef CARDAMOM_AGENT_AGENT_H
#define CARDAMOM_AGENT_AGENT_H

#include "base/time.h"

#include <array>
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace cardamom {

struct agent_options {
  /// Name of the upstream in the inventory; also the name of this process.
  std::string Name;
  /// Random number that identifies this process; never reused by another
  /// process.
  uint64_t Incarnation = 0;
  std::string FailureDomain;
  std::string Build;
  std::string InnerHost = "127.0.0.1";
  /// 0 lets the system choose; see agent::port().
  uint16_t InnerPort = 0;
  /// IP:port each.
  std::string UpstreamAddress;
  std::string StoreAddress;
  /// Port on 127.0.0.1 that is bound as a lock, so that only one agent serves
  /// the upstream. 0 binds any free port and locks nothing.
  uint16_t OrderPort = 0;
  /// Addresses (IP:port) of inner servers from which the first configuration is
  /// fetched.
  std::vector<std::string> SeedPeers;
  /// Capacity of the queue for live requests, the first trainer and the second
  /// trainer.
  std::array<size_t, 3> QueueCapacities = {64, 256, 256};
  size_t MaxRecords = 100000;
  size_t MaxResponseBytes = size_t(8) << 20;
  size_t MaxTotalResponseBytes = size_t(64) << 20;
  /// How long stop() waits for responses to be acknowledged after the last run.
  milliseconds AckTimeout{120000};
  milliseconds PlainIdleTimeout{120000};
  milliseconds ModelIdleTimeout{10000};
};

class agent {
public:
  explicit agent(agent_options Options);
  /// Closes without waiting for runs or acknowledgements.
  ~agent();
  agent(const agent &) = delete;
  agent &operator=(const agent &) = delete;

  /// Binds the order port, waiting while another process holds it, and then
  /// serves. Returns false if stop() or interruptStart() was called meanwhile.
  /// Throws std::system_error if it cannot listen.
  bool start();
  /// Makes a blocked start() return false. Async-signal-safe.
  void interruptStart();
  /// Refuses new runs from now on and notifies the peers without delay.
  void drain();
  /// Drains, waits for all runs to end, then waits up to AckTimeout for their
  /// responses to be acknowledged, and closes. Returns whether all responses
  /// were acknowledged.
  bool stop();

  /// Port of the inner server.
  [[nodiscard]] uint16_t port() const;
  [[nodiscard]] bool draining() const;
  /// What stop() is waiting for: {"runs", "answers", "run_ids" (at most 20)}.
  [[nodiscard]] nlohmann::json waitingFor() const;
  /// Snapshot for "/status".
  [[nodiscard]] nlohmann::json status() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_AGENT_H
