/// \file
/// Relays event streams from replicas to callers, and resumes an interrupted
/// stream at another replica where the route allows it.
///
/// Use:
///   stream_client Client({...});
///   stream_call_ptr Call = Client.start({...}, {.OnHead = ..., .OnEvent = ...,
///                                               .OnEnd = ...});
///   Call.reset(); // cancels the call, also at the replica
///
/// Events are forwarded as soon as they are complete. The response head is that
/// of the first replica, also after a resumption.

#ifndef CARDAMOM_GATEWAY_STREAM_CLIENT_H
#define CARDAMOM_GATEWAY_STREAM_CLIENT_H

#include "base/verdict.h"
#include "gateway/upstream_request.h"
#include "policy/buffer_budget.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cardamom {

class dispatch_gate;
class event_loop;
class http_client;
class replica_directory;
class router;
class stream_call;

struct stream_request {
  upstream_request UpstreamRequest;
  std::string Service;
  bool Resumable = false;
  unsigned MaxAttempts = 1;
  time_point FirstEventDeadline;
  milliseconds MaxEventGap{2000};
};

/// How a streaming call ended.
enum class stream_outcome {
  Complete,
  /// Nothing was forwarded; Verdict says why.
  NotStarted,
  /// The replica responded with an error, in Head and Body.
  Failed,
  /// Only a part of the stream was forwarded.
  Truncated,
};

struct stream_result {
  stream_outcome Outcome = stream_outcome::NotStarted;
  verdict Verdict;
  upstream_head Head;
  std::string Body;
};

struct event_stream_hooks {
  std::function<void(const upstream_head &)> OnHead;
  /// A complete event, byte for byte as the replica sent it.
  std::function<void(std::string_view)> OnEvent;
  std::function<void(const stream_result &)> OnEnd;
};

using stream_call_ptr = std::shared_ptr<stream_call>;

struct stream_client_options {
  event_loop &Loop;
  http_client &Client;
  replica_directory &Directory;
  dispatch_gate &Gate;
  router &Router;
  upstream_protocol Protocol;
  std::string FailureDomain;
  /// A larger body of an error response fails the attempt.
  size_t MaxErrorBytes = size_t(1) << 20;
  /// Bounds what is held of responses: events that are not complete yet, and
  /// bodies of errors. Shared with other clients.
  std::shared_ptr<buffer_budget> Buffers =
      std::make_shared<buffer_budget>(buffer_budget_options{});
  /// Called with the tenant of a call when its first event arrives. Null = not
  /// called.
  std::function<void(std::string_view Tenant, time_point StartedAt)> OnRan;
  /// Retry-After when no replica accepts the request.
  milliseconds RetryAfter{100};
};

class stream_client {
public:
  explicit stream_client(stream_client_options Options)
      : Options(std::move(Options)) {}

  /// OnEnd is called once, from the event loop, unless the call is destroyed
  /// first.
  [[nodiscard]] stream_call_ptr start(stream_request Request,
                                      event_stream_hooks Hooks);

private:
  friend class stream_call;
  stream_client_options Options;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_STREAM_CLIENT_H
