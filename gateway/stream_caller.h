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

#ifndef CARDAMOM_GATEWAY_STREAM_CALLER_H
#define CARDAMOM_GATEWAY_STREAM_CALLER_H

#include "base/verdict.h"
#include "gateway/upstream_call.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cardamom {

class event_loop;
class http_client;
class replica_directory;
class router;
class stream_run;

struct stream_request {
  upstream_call Call;
  std::string Service;
  bool Resumable = false;
  unsigned MaxAttempts = 1;
  time_point FirstEventBy;
  milliseconds MaxPause{2000};
};

/// How the relay ended.
enum class stream_outcome {
  Complete,
  /// Nothing has been passed on; Verdict says why.
  NotStarted,
  /// The answer is a failure of the replica, in Head and Body.
  Failed,
  /// Part of the stream has been passed on.
  BrokenOff,
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

using stream_run_ptr = std::shared_ptr<stream_run>;

struct stream_caller_options {
  event_loop &Loop;
  http_client &Client;
  replica_directory &Directory;
  router &Router;
  upstream_protocol Protocol;
  std::string FailureDomain;
  /// What a caller is told to wait when no replica takes its request.
  milliseconds RetryHint{100};
};

class stream_caller {
public:
  explicit stream_caller(stream_caller_options Options)
      : Options(std::move(Options)) {}

  /// OnEnd is called once, from the loop, unless the run is destroyed before.
  [[nodiscard]] stream_run_ptr start(stream_request Request,
                                     event_stream_hooks Hooks);

private:
  friend class stream_run;
  stream_caller_options Options;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_STREAM_CALLER_H
