/// \file
/// A gateway process. It forwards requests from callers directly to upstreams,
/// without an agent in between, and keeps all durable state in the object
/// store.
///
/// Use:
///   gateway Gateway(Loop, Client, {...});
///   Gateway.start();
///   Loop.run();       // returns after stop(), when all requests are answered

#ifndef CARDAMOM_SERVER_GATEWAY_H
#define CARDAMOM_SERVER_GATEWAY_H

#include "base/time.h"
#include "gateway/protocols.h"

#include <functional>
#include <memory>
#include <optional>
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
  /// Sends one request to the object store.
  std::function<void(const object_request &, object_callback)> SendToStore;
  milliseconds LeaseLength{3000};
  /// How long the process keeps serving, but reports not ready, after stop().
  milliseconds DrainNotice{3000};
  /// Maximum time from stop() to the end of the event loop.
  milliseconds StopTimeout{7500};
  /// CPU cores that the process may use.
  double Cores = 1;
  /// Time after which a replica that is being removed must get no more work.
  milliseconds ReplicaRemovalBound{2000};
  /// Time after which a configuration that the store has accepted must be in
  /// force.
  milliseconds ConfigApplyBound{2000};
  /// "IP:port" of the platform's control API; empty = no duties there.
  std::string ControlApi;
  /// Length of the windows for which usage is reported; zero = not reported.
  milliseconds UsageWindow{0};
  /// Time without the store after which API keys are no longer accepted;
  /// nullopt = they are accepted at any age.
  std::optional<milliseconds> KeyRevocationBound;
};

class gateway {
public:
  gateway(event_loop &Loop, http_client &Client, gateway_options Options);
  ~gateway();
  gateway(const gateway &) = delete;
  gateway &operator=(const gateway &) = delete;

  /// Throws std::runtime_error when an address is in use.
  void start();
  /// Starts a graceful shutdown; stops the event loop when all requests are
  /// answered or StopTimeout has passed.
  void stop();

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_SERVER_GATEWAY_H
