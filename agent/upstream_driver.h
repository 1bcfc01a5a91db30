/// \file
/// Runs calls on one upstream over HTTP.
///
/// Use, from a worker thread that the call may hold until its end:
///   upstream_driver Driver({.Address = "127.0.0.1:9000"});
///   wire::run_end End = Driver.runModel(Id, Call, 0, Sink);
/// and from another thread
///   Driver.cancel(Id);
///
/// The code of the end tells what happened:
///   COMPLETED        the whole answer was given to the sink
///   REFUSED          the connection was refused: the call did not run
///   UPSTREAM_FAILED  the call may have run
///   CANCELLED        cancel() ended it; what the sink got is a valid part
/// Each call opens its own connection, so that a refused connection is
/// certain to mean that nothing was sent.

#ifndef CARDAMOM_AGENT_UPSTREAM_DRIVER_H
#define CARDAMOM_AGENT_UPSTREAM_DRIVER_H

#include "agent/engine_client.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace httplib {
class Client;
struct Request;
struct Response;
} // namespace httplib

namespace cardamom {

namespace wire {
class model_call;
class plain_call;
class response_head;
class run_end;
} // namespace wire

/// Receives an answer on the thread of the call.
struct run_sink {
  std::function<void(wire::response_head Head)> OnHead;
  /// Bytes of the body of a plain answer. Returns false to give up the call.
  std::function<bool(std::string_view Bytes)> OnBytes;
  /// One token of a model's answer. Returns false to give up the call.
  std::function<bool(std::string_view Text, uint64_t Version)> OnToken;
};

struct upstream_driver_options {
  /// IP:port.
  std::string Address;
  milliseconds ConnectTimeout{1000};
  /// An upstream that sends nothing for this long has failed. Plain services
  /// answer in one piece, engines token by token.
  milliseconds PlainIdleTimeout{120000};
  milliseconds ModelIdleTimeout{10000};
};

class upstream_driver {
public:
  explicit upstream_driver(upstream_driver_options Options);
  ~upstream_driver();

  wire::run_end runPlain(std::string_view Id, const wire::plain_call &Call,
                         const run_sink &Sink);
  /// Priority 0 is the highest. Only the text of tokens goes to the sink.
  wire::run_end runModel(std::string_view Id, const wire::model_call &Call,
                         unsigned Priority, const run_sink &Sink);
  /// Ends the call early. Blocks for up to the engine client's timeout; does
  /// nothing when no such call is under way.
  void cancel(std::string_view Id);

private:
  struct active_call;
  class call_scope;

  std::shared_ptr<active_call> find(std::string_view Id);
  wire::run_end send(active_call &Call, httplib::Request &Request,
                     httplib::Response &Response);

  upstream_driver_options Options;
  engine_client Engine;
  std::mutex Mutex;
  std::map<std::string, std::shared_ptr<active_call>, std::less<>> Calls;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_UPSTREAM_DRIVER_H
