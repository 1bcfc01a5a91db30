/// \file
/// State of one request in the dispatcher.

#ifndef CARDAMOM_ENTRY_DISPATCHER_REQUEST_H
#define CARDAMOM_ENTRY_DISPATCHER_REQUEST_H

#include "entry/dispatcher.h"
#include "inner/gen/messages.pb.h"

#include <algorithm>
#include <string>
#include <vector>

namespace cardamom {

enum class request_phase {
  /// Waits for an upstream or for the end of the retry delay.
  Waiting,
  /// A "/run" or "/attach" stream is open.
  Streaming,
  /// The stream was lost; waits for the agent to reconnect.
  Reconnecting,
  /// OnEnd has been called.
  Ended,
};

struct dispatcher::request {
  dispatch_id Id = 0;
  dispatch_call Call;
  dispatch_sink Sink;
  request_phase Phase = request_phase::Waiting;

  // State of the current attempt.
  std::string Upstream;
  std::string Address;
  uint64_t Incarnation = 0;
  /// Highest epoch of a connection that may have carried "/run".
  uint64_t SentEpoch = 0;
  /// Request id at the agent. After KEY_CLAIMED this is the id of the key
  /// holder, the request that holds the idempotency key.
  std::string RunId;
  bool AttachedToKeyHolder = false;
  bool Attaching = false;
  unsigned AttachAttempts = 0;
  /// Time of the first stream failure after the last received message. Used
  /// while reconnecting.
  time_point BrokenAt{};
  bool CancelSent = false;
  /// OnEnd was already called with Cancelled. The run is followed only to
  /// acknowledge its response.
  bool Abandoned = false;
  inner_client::stream_id Stream = 0;
  /// Distinguishes events of the current stream from those of earlier streams.
  uint64_t StreamSerial = 0;
  /// Bytes of the current stream for which the consumer has not released
  /// flow-control window. Used with ManualFlowControl.
  size_t Unconsumed = 0;
  bool HeadRelayed = false;
  uint64_t NextOffset = 0;
  std::vector<token_span> Spans;
  bool OutputComplete = false;
  time_point SentAt{};
  /// Whether the router counts this attempt as outstanding.
  bool CountedByRouter = false;

  // State of the whole request.
  unsigned Attempt = 0;
  /// Verdict combined over all attempts.
  verdict Verdict{.Certainty = run_certainty::NotRun,
                  .Reason = "no_upstream",
                  .Message = "no eligible upstream in the pool",
                  .RetryAfter = milliseconds(500)};
  std::vector<std::string> ExcludedUpstreams;
  /// Upstreams that hold a record of this request id other than a refusal.
  std::vector<std::string> UpstreamsWithRecord;
  time_point NoUpstreamDeadline{};
  time_point WakeAt{};

  /// Returns the request id for the current attempt. An agent accepts a request
  /// id only once, unless it refused the request. An idempotent request that is
  /// sent to the same agent again therefore uses a new id.
  [[nodiscard]] std::string runIdForAttempt() const {
    const std::string &Id = Call.Request->request_id();
    if (!Call.Request->idempotent() ||
        std::find(UpstreamsWithRecord.begin(), UpstreamsWithRecord.end(),
                  Upstream) == UpstreamsWithRecord.end())
      return Id;
    return Id + "." + std::to_string(Attempt);
  }

  [[nodiscard]] route_request routeRequest() const {
    route_request Request;
    Request.Work = Call.Work;
    Request.PrefixHash = Call.PrefixHash;
    Request.MinVersion =
        Call.Request->has_model() ? Call.Request->model().min_version() : 0;
    Request.ExcludedUpstreams = ExcludedUpstreams;
    return Request;
  }
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_DISPATCHER_REQUEST_H
