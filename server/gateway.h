/// \file
/// A gateway process: callers on one side, upstreams on the other, with no
/// agent between, and the store for all that must last.
///
/// Use:
///   gateway Gateway(Loop, {...});
///   Gateway.start();
///   Loop.run();       // until stop() has been called and all is answered

#ifndef CARDAMOM_SERVER_GATEWAY_H
#define CARDAMOM_SERVER_GATEWAY_H

#include "base/time.h"
#include "gateway/protocols.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamom {

class event_loop;

struct gateway_options {
  std::string Name;
  std::string FailureDomain;
  /// Addresses are "IP:port".
  std::string CallerListen;
  std::string ReadyListen;
  std::string InnerListen;
  /// Empty = metrics on the inner address only.
  std::string MetricsListen;
  gateway_protocols Protocols;
  /// Sends one call to the store.
  std::function<void(const object_request &, object_callback)> SendToStore;
  milliseconds LeaseLength{3000};
  /// How long the process stays up but unready after stop().
  milliseconds DrainNotice{3000};
  /// Longest time from stop() to the end.
  milliseconds StopTimeout{7500};
  /// Cores that the process may use.
  double Cores = 1;
  /// Time within which a leaving replica gets no more work.
  milliseconds ReplicaRemovalBound{2000};
};

class gateway {
public:
  gateway(event_loop &Loop, http_client &Client, gateway_options Options);
  ~gateway();
  gateway(const gateway &) = delete;
  gateway &operator=(const gateway &) = delete;

  /// Throws std::runtime_error when an address is in use.
  void start();
  /// Graceful shutdown; ends the loop when all requests are answered.
  void stop();

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_SERVER_GATEWAY_H
