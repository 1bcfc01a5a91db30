/// \file
/// The agent: last hop to one upstream, on the upstream's VM. It alone decides
/// on admission, drain, limits, version labels and orders.
///
/// Use:
///   agent Agent({.Name = "engine-1", .Incarnation = Random, ...});
///   if (!Agent.start()) return;   // waits until the order port is free
///   ...
///   Agent.stop();                 // graceful; see stop()
///
/// Threads: inner I/O, ticker, order giver, one worker an active run, one for
/// cancellations.

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
  /// Random number that no other process has used.
  uint64_t Incarnation = 0;
  std::string FailureDomain;
  std::string Build;
  std::string InnerHost = "127.0.0.1";
  /// 0 lets the system choose; see agent::port().
  uint16_t InnerPort = 0;
  /// IP:port each.
  std::string UpstreamAddress;
  std::string StoreAddress;
  /// Port on 127.0.0.1 that locks the upstream; 0 = any, that is, no lock.
  uint16_t OrderPort = 0;
  /// IP:port of inner servers to ask for a configuration at start.
  std::vector<std::string> SeedPeers;
  /// Live, first trainer, second trainer.
  std::array<size_t, 3> QueueCapacities = {64, 256, 256};
  size_t MaxRecords = 100000;
  size_t MaxResponseBytes = size_t(8) << 20;
  size_t MaxTotalResponseBytes = size_t(64) << 20;
  /// How long stop() waits for answers to be acknowledged after the last run.
  milliseconds AckTimeout{120000};
  milliseconds PlainIdleTimeout{120000};
  milliseconds ModelIdleTimeout{10000};
};

class agent {
public:
  explicit agent(agent_options Options);
  /// Stops without waiting for acknowledgements.
  ~agent();
  agent(const agent &) = delete;
  agent &operator=(const agent &) = delete;

  /// Takes the order port, waiting for a former process, and serves. Returns
  /// false when stop() or interruptStart() was called meanwhile. Throws
  /// std::system_error when it cannot listen.
  bool start();
  /// Makes a waiting start() return false. Safe in a signal handler.
  void interruptStart();
  /// Refuses new runs from now on and tells the peers at once.
  void drain();
  /// Drains, waits for all runs to end and then up to AckWait for their
  /// answers to be acknowledged, and closes. Returns whether all were.
  bool stop();

  /// Port of the inner server.
  [[nodiscard]] uint16_t port() const;
  [[nodiscard]] bool draining() const;
  /// What stop() still waits for: {"runs", "answers", "run_ids" (up to 20)}.
  [[nodiscard]] nlohmann::json waitingFor() const;
  /// Snapshot for "/status".
  [[nodiscard]] nlohmann::json status() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_AGENT_H
