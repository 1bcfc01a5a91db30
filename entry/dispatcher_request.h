/// \file
/// State of one request inside the dispatcher.

#ifndef CARDAMOM_ENTRY_DISPATCHER_REQUEST_H
#define CARDAMOM_ENTRY_DISPATCHER_REQUEST_H

#include "entry/dispatcher.h"
#include "inner/gen/messages.pb.h"

#include <algorithm>
#include <string>
#include <vector>

namespace cardamom {

enum class request_phase {
  /// Waits for an upstream or for the end of a back-off.
  Waiting,
  /// A stream of "/run" or "/attach" is open.
  Streaming,
  /// The stream broke; waits for the peer.
  Reconnecting,
  /// OnEnd has been called.
  Ended,
};

struct dispatcher::request {
  dispatch_id Id = 0;
  dispatch_call Call;
  dispatch_sink Sink;
  request_phase Phase = request_phase::Waiting;

  // The present attempt.
  std::string Upstream;
  std::string Address;
  uint64_t Incarnation = 0;
  /// Highest epoch of the connection that may have carried "/run".
  uint64_t SentEpoch = 0;
  /// Differs from the request's own id after KEY_CLAIMED.
  std::string RunId;
  bool AttachedToKeyHolder = false;
  bool Attaching = false;
  unsigned AttachAttempts = 0;
  /// Since when nothing has been received; set while AttachTries counts.
  time_point BrokenAt{};
  bool CancelSent = false;
  /// OnEnd has been called; the run is only awaited to acknowledge it.
  bool Abandoned = false;
  inner_client::stream_id Stream = 0;
  /// Tells events of the present stream from those of earlier ones.
  uint64_t StreamSerial = 0;
  /// Bytes of the present stream that ManualConsume has not released.
  size_t Unconsumed = 0;
  bool HeadRelayed = false;
  uint64_t NextOffset = 0;
  std::vector<token_span> Spans;
  bool OutputComplete = false;
  time_point SentAt{};
  /// Whether the router counts the attempt as outstanding.
  bool CountedByRouter = false;

  // The whole request.
  unsigned Attempt = 0;
  /// Combined over all attempts.
  verdict Verdict{.Certainty = run_certainty::NotRun,
                  .Reason = "no_upstream",
                  .Message = "no upstream of the pool can take the request",
                  .RetryAfter = milliseconds(500)};
  std::vector<std::string> ExcludedUpstreams;
  /// Upstreams that hold a record of this request id which is not a refusal.
  std::vector<std::string> UpstreamsWithRecord;
  time_point NoUpstreamDeadline{};
  time_point WakeAt{};

  /// An agent takes a request id only once unless it refused it. An idempotent
  /// request that returns to an agent is a new run there.
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
