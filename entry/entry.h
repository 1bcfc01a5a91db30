/// \file
/// An entry process: HTTP frontend, dispatcher, step owner, inner protocol,
/// store watch and timers.
///
/// Use:
///   entry Entry({.Name = "entry-1", .InnerListen = "127.0.0.1:7100", ...});
///   Entry.start();    // throws std::system_error if it cannot bind
///   ...
///   Entry.drain();    // on SIGTERM: graceful shutdown, blocks until done
///
/// stop() ends immediately and answers requests in flight with an error.

#ifndef CARDAMOM_ENTRY_ENTRY_H
#define CARDAMOM_ENTRY_ENTRY_H

#include "base/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cardamom {

struct entry_options {
  std::string Name;
  /// 0 selects a random value.
  uint64_t Incarnation = 0;
  std::string FailureDomain;
  std::string Build = "dev";
  /// IP:port; port 0 selects a free port.
  std::string InnerListen = "127.0.0.1:0";
  std::string HttpListen = "127.0.0.1:0";
  /// IP:port of the store.
  std::string StoreAddress;
  /// Inner addresses of peers, besides the agents, from which documents are
  /// requested.
  std::vector<std::string> SeedPeers;
  /// Duration of the lease on a trainer's steps.
  milliseconds LeaseDuration{10000};
  /// How long the entry keeps serving after drain() has made it not ready.
  milliseconds DrainNotice{3000};
  /// Maximum size of a request body; at most 960 KiB.
  size_t MaxBodyBytes = size_t(960) << 10;
  unsigned HttpThreads = 256;
  /// Maximum number of times that one slow sample of a step is moved to another
  /// upstream; 0 disables moves.
  unsigned StragglerMoves = 2;
};

class entry {
public:
  explicit entry(entry_options Options);
  /// Stops the entry.
  ~entry();
  entry(const entry &) = delete;
  entry &operator=(const entry &) = delete;

  void start();
  /// Shuts down gracefully. Blocks until all requests in flight have ended and
  /// the leases of trainers are released.
  void drain();
  void stop();

  /// Describes for logs what drain() waits for; empty if nothing. Thread-safe.
  [[nodiscard]] std::string waitingFor() const;
  [[nodiscard]] bool ready() const;
  [[nodiscard]] uint16_t innerPort() const;
  [[nodiscard]] uint16_t httpPort() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_ENTRY_H
