#include "base/log.h"
#include "base/metrics.h"
#include "entry/dispatcher.h"
#include "entry/dispatcher_request.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cardamom {

// Initial delay before a failed "/attach" is retried on the same connection.
static constexpr milliseconds AttachRetryDelay{100};
static constexpr unsigned MaxAttachDoublings = 4;

attempt_outcome dispatcher::makeOutcome(const request &R,
                                        outcome_kind Kind) const {
  attempt_outcome Outcome{
      .Kind = Kind, .SentIncarnation = R.Incarnation, .SentEpoch = R.SentEpoch};
  const auto Peer = Peers.find(R.Address);
  if (Peer != Peers.end()) {
    Outcome.AnswerIncarnation = Peer->second.Incarnation;
    Outcome.AnswerEpoch = Peer->second.Epoch;
  }
  return Outcome;
}

void dispatcher::onMessage(request &R, std::string_view Message,
                           time_point Now) {
  wire::run_event Event;
  if (!Event.ParseFromArray(Message.data(), int(Message.size()))) {
    Options.CancelStream(R.Stream);
    attemptEnded(R, makeOutcome(R, outcome_kind::BadAnswer), Now);
    return;
  }
  R.AttachAttempts = 0;
  size_t Unreleased = 0;
  if (Event.has_data() && R.Call.ManualFlowControl)
    Unreleased = std::min<size_t>(Event.data().bytes().size(), Message.size());
  R.Unconsumed += Unreleased;
  Options.Consume(R.Stream, Message.size() - Unreleased);
  if (Event.has_head() && !R.HeadRelayed) {
    R.HeadRelayed = true;
    if (R.Sink.OnHead)
      R.Sink.OnHead(Event.head());
  } else if (Event.has_data()) {
    onData(R, Event.data(), Now);
  } else if (Event.has_span() && R.Sink.OnSpan) {
    R.Sink.OnSpan({Event.span().version(), Event.span().tokens()});
  } else if (Event.has_end()) {
    onEnd(R, Event.end(), Now);
  }
}

void dispatcher::onData(request &R, const wire::answer_data &Data,
                        time_point Now) {
  const std::string_view Bytes = Data.bytes();
  if (Data.offset() > R.NextOffset) {
    Options.CancelStream(R.Stream);
    attemptEnded(R, makeOutcome(R, outcome_kind::BadAnswer), Now);
    return;
  }
  // After an attach, the first frame may overlap bytes that were already
  // relayed.
  const uint64_t AlreadyReceived =
      std::min<uint64_t>(R.NextOffset - Data.offset(), Bytes.size());
  if (AlreadyReceived > 0 && R.Call.ManualFlowControl) {
    const size_t Released = std::min<size_t>(AlreadyReceived, R.Unconsumed);
    R.Unconsumed -= Released;
    Options.Consume(R.Stream, Released);
  }
  const std::string_view NewBytes = Bytes.substr(AlreadyReceived);
  if (NewBytes.empty())
    return;
  R.NextOffset += NewBytes.size();
  if (R.Sink.OnData)
    R.Sink.OnData(NewBytes);
}

static outcome_kind outcomeKindOf(const wire::run_end &End, bool Attaching) {
  switch (End.code()) {
  case wire::COMPLETED:
    return outcome_kind::Completed;
  case wire::REFUSED:
    if (!Attaching)
      return outcome_kind::RefusedByAgent;
    return End.reason() == "wrong_incarnation"
               ? outcome_kind::AgentRestarted
               : outcome_kind::RefusedAfterAttach;
  case wire::UPSTREAM_FAILED:
    return End.reason() == "answer_too_large" ? outcome_kind::AnswerTooLarge
                                              : outcome_kind::UpstreamFailed;
  case wire::PREEMPTED:
    return outcome_kind::Preempted;
  case wire::CANCELLED:
    return outcome_kind::Cancelled;
  case wire::RUN_UNKNOWN:
    if (End.reason() == "wrong_incarnation")
      return outcome_kind::AgentRestarted;
    return Attaching && End.reason() != "bad_request" ? outcome_kind::NeverSeen
                                                      : outcome_kind::BadAnswer;
  case wire::ANSWER_GONE:
    return outcome_kind::AnswerGone;
  case wire::KEY_CLAIMED:
    return outcome_kind::KeyClaimed;
  default:
    return outcome_kind::BadAnswer;
  }
}

// Whether the agent retains the response of a run with this outcome.
static bool agentRetainsResponse(outcome_kind Kind) {
  switch (Kind) {
  case outcome_kind::RefusedByAgent:
  case outcome_kind::RefusedAfterAttach:
  case outcome_kind::NeverSeen:
  case outcome_kind::AgentRestarted:
  case outcome_kind::AnswerGone:
    return false;
  default:
    return true;
  }
}

void dispatcher::onEnd(request &R, const wire::run_end &End, time_point Now) {
  outcome_kind Kind = outcomeKindOf(End, R.Attaching);
  // The consumer acknowledges a complete response. All other responses are
  // acknowledged here: their output has been relayed already, and an agent
  // shuts down only after every response is acknowledged.
  if (!R.AttachedToKeyHolder && agentRetainsResponse(Kind) &&
      (Kind != outcome_kind::Completed || R.Abandoned))
    acknowledge(R.Address, R.RunId);
  if (Kind == outcome_kind::KeyClaimed && !R.AttachedToKeyHolder) {
    attachToKeyHolder(R, End, Now);
    return;
  }
  R.Spans.clear();
  for (const wire::version_span &Span : End.spans())
    R.Spans.push_back({Span.version(), Span.tokens()});
  R.OutputComplete = End.answer_bytes() == R.NextOffset;
  if (Kind == outcome_kind::Completed && !R.OutputComplete)
    Kind = outcome_kind::BadAnswer;
  if (R.AttachedToKeyHolder && Kind == outcome_kind::KeyClaimed)
    Kind = outcome_kind::BadAnswer;
  attempt_outcome Outcome = makeOutcome(R, Kind);
  Outcome.Reason = End.reason();
  Outcome.Message = End.message();
  Outcome.RetryAfter = milliseconds(End.retry_after_ms());
  attemptEnded(R, std::move(Outcome), Now);
}

void dispatcher::attachToKeyHolder(request &R, const wire::run_end &End,
                                   time_point Now) {
  trace(R, "key_claimed", End.holder_agent(), Now);
  const auto Address = Options.AddressOf(End.holder_agent());
  if (!Address || End.holder_request_id().empty()) {
    attempt_outcome Outcome = makeOutcome(R, outcome_kind::KeyClaimed);
    Outcome.Message = "another request with this idempotency key was "
                      "accepted, but its response is not available";
    attemptEnded(R, std::move(Outcome), Now);
    return;
  }
  // This entry may have no connection yet to the agent of the request that
  // holds the idempotency key.
  if (Options.EnsurePeer)
    Options.EnsurePeer(*Address);
  R.AttachedToKeyHolder = true;
  ++R.StreamSerial;
  R.Stream = 0;
  R.Address = *Address;
  R.Incarnation = End.holder_incarnation();
  R.SentEpoch = ~uint64_t(0);
  R.RunId = End.holder_request_id();
  attach(R, Now);
}

void dispatcher::onStreamClosed(request &R, inner_stream_end End,
                                std::string_view Reason, time_point Now) {
  R.Stream = 0;
  if (!R.Attaching && End == inner_stream_end::NeverSent) {
    attemptEnded(R, makeOutcome(R, outcome_kind::NeverSent), Now);
    return;
  }
  trace(R, "stream_broken", Reason, Now);
  metrics::get().counter("streams_broken_total").add();
  if (!R.Attaching)
    R.SentEpoch = std::max(R.SentEpoch, Peers[R.Address].Epoch);
  if (R.AttachAttempts == 0)
    R.BrokenAt = Now;
  R.Phase = request_phase::Reconnecting;
  // If the connection is still up, the peer closed only this stream, and the
  // timer retries soon. Otherwise onPeerConnected() continues.
  const unsigned Doublings = std::min(R.AttachAttempts, MaxAttachDoublings);
  scheduleWake(R, Now + AttachRetryDelay * (1 << Doublings));
}

void dispatcher::onPeerConnected(const std::string &Address, time_point Now) {
  for (auto &[Id, R] : Requests)
    if (R->Phase == request_phase::Reconnecting && R->Address == Address)
      attach(*R, Now);
}

time_point dispatcher::reconnectDeadline(const request &R) const {
  const bool Repeatable =
      R.Call.Request->idempotent() &&
      (R.Call.Restartable || (!R.HeadRelayed && R.NextOffset == 0));
  return Repeatable
             ? std::min(R.Call.Deadline, R.BrokenAt + Options.ReconnectTimeout)
             : R.Call.Deadline;
}

void dispatcher::attach(request &R, time_point Now) {
  const peer_state &Peer = Peers[R.Address];
  R.Attaching = true;
  if (Peer.Connected && Peer.Incarnation != R.Incarnation) {
    attemptEnded(R, makeOutcome(R, outcome_kind::AgentRestarted), Now);
    return;
  }
  if (!Peer.Connected) {
    R.Phase = request_phase::Reconnecting;
    scheduleWake(R, reconnectDeadline(R));
    return;
  }
  ++R.AttachAttempts;
  trace(R, "attach", std::to_string(R.NextOffset), Now);
  metrics::get().counter("attaches_total").add();
  wire::attach_request Attach;
  Attach.set_request_id(R.RunId);
  Attach.set_offset(R.NextOffset);
  Attach.set_agent_incarnation(R.Incarnation);
  scheduleWake(R, R.Call.Deadline);
  openStream(R, "/attach", Attach.SerializeAsString());
  // The cancel request may have been lost with the connection.
  if (R.CancelSent)
    sendCancel(R);
}

void dispatcher::onTimer(request &R, time_point Now) {
  if (R.Phase == request_phase::Ended)
    return;
  if (R.Phase == request_phase::Waiting) {
    if (Now >= R.Call.Deadline)
      finish(R, outcome_kind::NeverSent, R.Verdict);
    else
      tryNextUpstream(R, Now);
    return;
  }
  const bool Reconnecting = R.Phase == request_phase::Reconnecting;
  if (Reconnecting && Now < reconnectDeadline(R)) {
    attach(R, Now);
    return;
  }
  if (!Reconnecting && Now < R.Call.Deadline) {
    scheduleWake(R, R.Call.Deadline);
    return;
  }
  if (!Reconnecting && R.Call.Request->idempotent())
    sendCancel(R);
  attemptEnded(R,
               makeOutcome(R, Reconnecting ? outcome_kind::ReconnectTimedOut
                                           : outcome_kind::DeadlinePassed),
               Now);
}

void dispatcher::reportToRouter(request &R, outcome_kind Kind, time_point Now) {
  if (!std::exchange(R.CountedByRouter, false))
    return;
  std::lock_guard Lock(RouterMutex);
  if (Kind != outcome_kind::Completed) {
    Router.onAbandon(R.Upstream, R.routeRequest(), Now);
    return;
  }
  const auto Elapsed = std::chrono::duration_cast<milliseconds>(Now - R.SentAt);
  Router.onFinish(R.Upstream, R.routeRequest(), Elapsed, Now);
}

void dispatcher::attemptEnded(request &R, attempt_outcome Outcome,
                              time_point Now) {
  // The request that holds the idempotency key may have run, possibly on
  // another agent, no matter why its response did not arrive.
  if (R.AttachedToKeyHolder && Outcome.Kind != outcome_kind::Completed)
    Outcome.Kind = outcome_kind::KeyClaimed;
  if (R.Stream != 0 && Outcome.Kind == outcome_kind::DeadlinePassed)
    Options.CancelStream(R.Stream);
  // Ignore events that are still queued for this stream.
  ++R.StreamSerial;
  R.Stream = 0;
  reportToRouter(R, Outcome.Kind, Now);
  const verdict Latest = classify(Outcome);
  trace(R, Latest.Reason, toString(Latest.Certainty), Now);
  // The initial verdict means "no attempt yet" and is not combined.
  R.Verdict = R.Attempt <= 1 ? Latest : combineVerdicts(R.Verdict, Latest);
  if (R.CancelSent || !scheduleRetry(R, Latest, Now))
    finish(R, Outcome.Kind, R.Verdict);
}

// Refusals that every other agent would repeat.
static bool isFleetWideRefusal(std::string_view Reason) {
  return Reason == "store_unavailable" || Reason == "ledger_full";
}

bool dispatcher::scheduleRetry(request &R, const verdict &Latest,
                               time_point Now) {
  if (Latest.Certainty == run_certainty::Ran ||
      R.Attempt >= R.Call.MaxAttempts || isFleetWideRefusal(Latest.Reason))
    return false;
  if (Latest.Certainty != run_certainty::NotRun && !R.Call.RetryIfMayHaveRun)
    return false;
  bool Relayed = R.HeadRelayed || R.NextOffset > 0;
  const retry_conditions Conditions{.Certainty = Latest.Certainty,
                                    .Idempotent = R.Call.Request->idempotent(),
                                    .BytesRelayed = false};
  if (!mayRetry(Conditions))
    return false;
  const milliseconds Delay = RetryBudget.backoff(R.Attempt);
  if (Now + Delay >= R.Call.Deadline)
    return false;
  if (Relayed && R.Sink.OnRestart)
    Relayed = !R.Sink.OnRestart();
  if (Relayed)
    return false;
  if (!RetryBudget.tryRetry(Now)) {
    metrics::get().counter("retry_budget_exhausted_total").add();
    return false;
  }
  metrics::get().counter("retries_total", "reason", Latest.Reason).add();
  R.ExcludedUpstreams.push_back(R.Upstream);
  if (Latest.Certainty != run_certainty::NotRun)
    R.UpstreamsWithRecord.push_back(R.Upstream);
  R.Phase = request_phase::Waiting;
  R.NoUpstreamDeadline = Now + Delay + Options.NoUpstreamTimeout;
  scheduleWake(R, Now + Delay);
  return true;
}

void dispatcher::finish(request &R, outcome_kind Kind, verdict Verdict) {
  if (R.Phase == request_phase::Streaming && R.Stream != 0) {
    ++R.StreamSerial;
    Options.CancelStream(R.Stream);
  }
  reportToRouter(R, Kind, R.SentAt);
  R.Phase = request_phase::Ended;
  dispatch_result Result{.Kind = Kind,
                         .Verdict = std::move(Verdict),
                         .Upstream = R.Upstream,
                         .Address = R.Address,
                         .RequestId = R.RunId,
                         .Spans = std::move(R.Spans),
                         .OutputComplete = R.OutputComplete};
  metrics::get()
      .counter("requests_ended_total", "verdict",
               toString(Result.Verdict.Certainty))
      .add();
  R.Sink.OnEnd(Result);
  InFlight.fetch_sub(1);
}

} // namespace cardamom
