/// \file
/// One entry process: HTTP front, dispatcher, step owner, inner protocol, store
/// watch and timers, wired together.
///
/// Use:
///   entry Entry({.Name = "entry-1", .InnerListen = "127.0.0.1:7100", ...});
///   Entry.start();    // throws std::system_error when it cannot bind
///   ...
///   Entry.drain();    // on SIGTERM: graceful shutdown, returns when done
///
/// stop() ends at once and answers what is in flight with an error.

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
  /// 0 = drawn at random.
  uint64_t Incarnation = 0;
  std::string FailureDomain;
  std::string Build = "dev";
  /// IP:port; port 0 lets the system choose.
  std::string InnerListen = "127.0.0.1:0";
  std::string HttpListen = "127.0.0.1:0";
  /// IP:port of the store.
  std::string StoreAddress;
  /// Inner addresses asked for documents besides the agents.
  std::vector<std::string> SeedPeers;
  /// Lease of a trainer's steps.
  milliseconds LeaseDuration{10000};
  /// How long the entry goes on serving after drain() has made it unready.
  milliseconds DrainNotice{3000};
  /// Largest body of a request; 960 KiB at most.
  size_t MaxBodyBytes = size_t(960) << 10;
  unsigned HttpThreads = 256;
  /// Moves of one slow sample of a step at most; 0 = none.
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
  /// Graceful shutdown. Blocks until every request in flight has ended and the
  /// leases of trainers are handed over.
  void drain();
  void stop();

  /// What drain() waits for, for logs; empty when nothing. Thread-safe.
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
