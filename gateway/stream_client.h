/// \file
/// Relays streams of events to callers, and goes on at another replica where
/// the stream may be resumed.
///
/// Use:
///   stream_caller Caller({...});
///   stream_run_ptr Run = Caller.start({...}, {.OnHead = ..., .OnEvent = ...,
///                                             .OnEnd = ...});
///   Run.reset(); // gives up; the replica drops the call
///
/// Events are passed on as they arrive, and only whole ones. The head of the
/// first replica stays that of the answer.

#ifndef CARDAMOM_GATEWAY_STREAM_CLIENT_H
#define CARDAMOM_GATEWAY_STREAM_CLIENT_H

#include "base/verdict.h"
#include "gateway/upstream_request.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cardamom {

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

/// How the relay ended.
enum class stream_outcome {
  Complete,
  /// Nothing has been passed on; Verdict says why.
  NotStarted,
  /// The answer is a failure of the replica, in Head and Body.
  Failed,
  /// Part of the stream has been passed on.
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
  /// A whole event, as the replica made it.
  std::function<void(std::string_view)> OnEvent;
  std::function<void(const stream_result &)> OnEnd;
};

using stream_call_ptr = std::shared_ptr<stream_call>;

struct stream_client_options {
  event_loop &Loop;
  http_client &Client;
  replica_directory &Directory;
  router &Router;
  upstream_protocol Protocol;
  std::string FailureDomain;
  /// What a caller is told to wait when no replica takes its request.
  milliseconds RetryAfter{100};
};

class stream_client {
public:
  explicit stream_client(stream_client_options Options)
      : Options(std::move(Options)) {}

  /// OnEnd is called once, from the loop, unless the run is destroyed before.
  [[nodiscard]] stream_call_ptr start(stream_request Request,
                                      event_stream_hooks Hooks);

private:
  friend class stream_call;
  stream_client_options Options;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_STREAM_CLIENT_H
