/// \file
/// HTTP client that sends calls to one upstream.
///
/// Use, from a worker thread, which is blocked until the call ends:
///   upstream_client Client({.Address = "127.0.0.1:9000"});
///   wire::run_end End = Client.runModel(Id, Call, 0, Sink);
/// and from another thread
///   Client.cancel(Id);
///
/// The code of the end says what happened:
///   COMPLETED        the whole response was passed to the sink
///   REFUSED          no connection was established: the call did not run
///   UPSTREAM_FAILED  the call may have run
///   CANCELLED        cancel() ended it; the sink has a valid partial response
/// Each call opens its own connection, so that a failure to connect proves that
/// nothing was sent.

#ifndef CARDAMOM_AGENT_UPSTREAM_CLIENT_H
#define CARDAMOM_AGENT_UPSTREAM_CLIENT_H

#include "agent/engine_client.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace cardamom {

struct http_request;

namespace wire {
class model_call;
class plain_call;
class response_head;
class run_end;
} // namespace wire

/// Receives a response on the thread of the call.
struct response_sink {
  std::function<void(wire::response_head Head)> OnHead;
  /// Receives bytes of the body of a plain response. Returns false to abort the
  /// call.
  std::function<bool(std::string_view Bytes)> OnBytes;
  /// Receives one token of a model's response. Returns false to abort the call.
  std::function<bool(std::string_view Text, uint64_t Version)> OnToken;
};

struct upstream_client_options {
  /// IP:port.
  std::string Address;
  milliseconds ConnectTimeout{1000};
  /// An upstream that sends nothing for this long counts as failed. Plain
  /// services send their response at once, engines token by token, hence two
  /// limits.
  milliseconds PlainIdleTimeout{120000};
  milliseconds ModelIdleTimeout{10000};
};

class upstream_client {
public:
  explicit upstream_client(upstream_client_options Options);
  ~upstream_client();

  wire::run_end runPlain(std::string_view Id, const wire::plain_call &Call,
                         const response_sink &Sink);
  /// Priority 0 is the highest. The sink receives tokens instead of the raw
  /// body.
  wire::run_end runModel(std::string_view Id, const wire::model_call &Call,
                         unsigned Priority, const response_sink &Sink);
  /// Ends the call early. Blocks for up to the engine client's timeout. Has no
  /// effect if the call is not in progress.
  void cancel(std::string_view Id);

private:
  struct active_call;
  class call_registration;
  struct response_hooks;

  std::shared_ptr<active_call> findCall(std::string_view Id);
  [[nodiscard]] http_request makeRequest(std::string Method, std::string Target,
                                         std::string Body) const;
  /// Sends Request and blocks until the call ends.
  wire::run_end exchange(active_call &Call, const http_request &Request,
                         const response_hooks &Hooks) const;

  upstream_client_options Options;
  engine_client Engine;
  std::mutex Mutex;
  std::map<std::string, std::shared_ptr<active_call>, std::less<>> ActiveCalls;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_UPSTREAM_CLIENT_H
