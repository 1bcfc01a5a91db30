#include "gateway/stream_client.h"

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/dispatch_gate.h"
#include "gateway/event_parser.h"
#include "gateway/replica_choice.h"
#include "gateway/replica_directory.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "policy/buffer_charge.h"
#include "policy/router.h"
#include "policy/stream_plan.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace cardamom {

class stream_call : public std::enable_shared_from_this<stream_call> {
public:
  stream_call(const stream_client_options &Options, stream_request Request,
              event_stream_hooks Hooks)
      : Options(Options), Request(std::move(Request)), Hooks(std::move(Hooks)),
        Plan({.Resumable = this->Request.Resumable,
              .MaxAttempts = this->Request.MaxAttempts,
              .FirstEventDeadline = this->Request.FirstEventDeadline,
              .MaxEventGap = this->Request.MaxEventGap,
              .ResumeAfterEvent =
                  this->Request.UpstreamRequest.ResumeAfterEvent}),
        Charge(Options.Buffers) {}
  ~stream_call() {
    if (Call)
      Options.Router.onAbandon(ReplicaId, {}, event_loop::now());
  }

  void send();

private:
  void onHead(const http_response &Response);
  void onBody(std::string_view Data);
  void onEvent(const stream_event &Event);
  void onEnd(const call_completion &End);
  void endAttempt(stream_attempt_end End, std::string_view Reason);
  void perform(stream_step Step, std::string_view Reason);
  void finish(stream_result Result);
  void startTimer();

  const stream_client_options &Options;
  stream_request Request;
  event_stream_hooks Hooks;
  stream_plan Plan;
  std::vector<std::string> TriedReplicas;
  std::string ReplicaId;
  uint64_t ReplicaStartedAtMs = 0;
  call_handle Call;
  std::optional<event_parser> Parser;
  upstream_head Head;
  std::string ErrorBody;
  buffer_charge Charge;
  /// Of the response that has been forwarded last.
  std::string ContentType;
  bool HeadForwarded = false;
  bool Streaming = false;
  bool AttemptEnded = false;
  bool Finished = false;
  /// Of the present attempt.
  std::optional<time_point> LastEventAt;
  timer_handle Timer;
};

void stream_call::send() {
  const time_point Now = event_loop::now();
  if (!Options.Gate.mayChoose(Now)) {
    Timer.reset();
    Options.Gate.whenOpen([Weak = weak_from_this()] {
      const auto Self = Weak.lock();
      if (Self && !Self->Finished)
        Self->send();
    });
    return;
  }
  const replica *Replica =
      chooseReplica(Options.Directory, Options.Router, Request.Service,
                    TriedReplicas, Options.FailureDomain, Now);
  if (!Replica && !TriedReplicas.empty()) {
    // All replicas have been tried; one whose stream broke may still serve the
    // remaining events.
    TriedReplicas.clear();
    Replica = chooseReplica(Options.Directory, Options.Router, Request.Service,
                            TriedReplicas, Options.FailureDomain, Now);
  }
  if (!Replica) {
    perform(HeadForwarded ? stream_step::Abort : stream_step::GiveUp,
            "no_replica");
    return;
  }
  ReplicaId = Replica->Id;
  ReplicaStartedAtMs = Replica->StartedAtMs;
  TriedReplicas.push_back(ReplicaId);
  Plan.onSent();
  Options.Router.onDispatch(ReplicaId, {}, Now);
  Options.Directory.onDispatched(ReplicaId, Now);
  LastEventAt.reset();
  upstream_request Outgoing = Request.UpstreamRequest;
  Outgoing.ReplicaId = ReplicaId;
  if (Plan.lastEvent())
    Outgoing.ResumeAfterEvent = Plan.lastEvent();
  Parser.emplace(std::string(),
                 [this](const stream_event &Event) { onEvent(Event); });
  Streaming = false;
  AttemptEnded = false;
  ErrorBody.clear();
  Charge.set(0);
  Call = Options.Client.send(
      Replica->Address, Options.Protocol.Encode(Outgoing),
      {.RequestId = Outgoing.RequestId,
       .MayWrite = Options.Gate.writeCheck(*Replica),
       .OnHead = [this](const http_response &Response) { onHead(Response); },
       .OnBody = [this](std::string_view Data) { onBody(Data); },
       .OnEnd = [this](const call_completion &End) { onEnd(End); }});
  startTimer();
}

void stream_call::startTimer() {
  const auto Delay =
      std::chrono::ceil<milliseconds>(Plan.overdueAt() - event_loop::now());
  Timer = Options.Loop.after(std::max(Delay, milliseconds(1)), [this] {
    if (Finished)
      return;
    if (Plan.isOverdue(event_loop::now()))
      endAttempt(stream_attempt_end::Broken, "no event in time");
    else
      startTimer();
  });
}

void stream_call::onHead(const http_response &Response) {
  static constexpr unsigned StatusOk = 200;
  Head = Options.Protocol.Decode(Response);
  Options.Directory.onResponseHead(ReplicaId, ReplicaStartedAtMs,
                                   Request.UpstreamRequest.RequestId, Head,
                                   event_loop::now());
  if (Head.RequestId != Request.UpstreamRequest.RequestId ||
      Head.ContentEncoded)
    return endAttempt(stream_attempt_end::Broken, "foreign or encoded answer");
  if (Head.NotRun)
    return endAttempt(stream_attempt_end::NotRun, "refused");
  if (Head.Status != StatusOk)
    return;
  if (Head.Signature.empty())
    return endAttempt(stream_attempt_end::Broken, "unsigned answer");
  // The response that the caller gets is that of the first replica.
  std::string Type = mediaTypeOf(Head.Headers);
  if (HeadForwarded && Type != ContentType)
    return endAttempt(stream_attempt_end::Broken, "other content type");
  ContentType = std::move(Type);
  Streaming = true;
}

void stream_call::onBody(std::string_view Data) {
  if (AttemptEnded)
    return;
  if (!Streaming) {
    ErrorBody += Data;
    if (Charge.set(ErrorBody.capacity()) &&
        ErrorBody.size() <= Options.MaxErrorBytes)
      return;
    std::string().swap(ErrorBody);
    Charge.set(0);
    endAttempt(stream_attempt_end::Broken, "error body too large");
    return;
  }
  Parser->feed(Data);
  if (!Charge.set(Parser->bufferedBytes()))
    Parser->abandon();
  if (!Parser->failed())
    return;
  Charge.set(0);
  if (!AttemptEnded)
    endAttempt(stream_attempt_end::Broken, "event too large");
}

void stream_call::onEvent(const stream_event &Event) {
  if (AttemptEnded)
    return;
  const time_point Now = event_loop::now();
  if (!Plan.onEvent(Event.Id, Now))
    return endAttempt(stream_attempt_end::Broken, "event out of order");
  if (LastEventAt)
    Options.Directory.onAnswerTime(ReplicaId, ReplicaStartedAtMs,
                                   pace_measure::EventInterval,
                                   Now - *LastEventAt);
  LastEventAt = Now;
  if (!HeadForwarded) {
    HeadForwarded = true;
    if (Options.OnRan)
      Options.OnRan(Request.UpstreamRequest.Tenant, event_loop::now());
    Hooks.OnHead(Head);
  }
  Hooks.OnEvent(Event.Raw);
}

void stream_call::onEnd(const call_completion &End) {
  if (AttemptEnded)
    return;
  const bool ResponseComplete = End.Result == call_result::Complete;
  if (ResponseComplete && Streaming && Parser->atBoundary())
    return endAttempt(stream_attempt_end::Complete, "complete");
  if (ResponseComplete && !Streaming)
    return endAttempt(stream_attempt_end::Failed, "upstream_failure");
  if (End.Result == call_result::Withheld)
    Plan.onWithheld();
  const bool NothingSent = End.Result == call_result::NotConnected ||
                           End.Result == call_result::Withheld;
  endAttempt(NothingSent ? stream_attempt_end::NotRun
                         : stream_attempt_end::Broken,
             toString(End.Result));
}

void stream_call::endAttempt(stream_attempt_end End, std::string_view Reason) {
  AttemptEnded = true;
  const time_point Now = event_loop::now();
  Options.Router.onAbandon(ReplicaId, {}, Now);
  if (End == stream_attempt_end::Complete)
    Options.Directory.onCallSucceeded(ReplicaId);
  else if (End != stream_attempt_end::NotRun || !Head.NotRun)
    Options.Directory.onCallFailed(ReplicaId, Now);
  else
    Options.Directory.onCallRefused(ReplicaId);
  const stream_step Step = Plan.onEnded(End, Now);
  if (End != stream_attempt_end::Complete)
    logInfo("stream_part_ended",
            {{"request", Request.UpstreamRequest.RequestId},
             {"replica", ReplicaId},
             {"reason", std::string(Reason)},
             {"attempt", std::to_string(Plan.sentAttempts())},
             {"last_event",
              Plan.lastEvent() ? std::to_string(*Plan.lastEvent()) : "none"},
             {"goes_on", Step == stream_step::Send ? "yes" : "no"}});
  // Deferred: the call must not be destroyed from inside its own callback.
  Options.Loop.post(
      [Weak = weak_from_this(), Step, Reason = std::string(Reason)] {
        const auto Self = Weak.lock();
        if (!Self || Self->Finished)
          return;
        Self->Call.reset();
        Self->perform(Step, Reason);
      });
}

void stream_call::perform(stream_step Step, std::string_view Reason) {
  switch (Step) {
  case stream_step::Send:
    metrics::get().counter("stream_resumes_total", "reason", Reason).add();
    send();
    return;
  case stream_step::Finish:
    finish({.Outcome = stream_outcome::Complete,
            .Verdict = {},
            .Head = Head,
            .Body = {}});
    return;
  case stream_step::Abort:
    finish({.Outcome = stream_outcome::Truncated,
            .Verdict = {},
            .Head = {},
            .Body = {}});
    return;
  case stream_step::Wait:
    return;
  case stream_step::GiveUp:
    break;
  }
  if (Reason == "upstream_failure") {
    finish({.Outcome = stream_outcome::Failed,
            .Verdict = {},
            .Head = Head,
            .Body = ErrorBody});
    return;
  }
  const run_certainty Certainty = Plan.certainty();
  finish({.Outcome = stream_outcome::NotStarted,
          .Verdict = {.Certainty = Certainty,
                      .Reason = std::string(Reason),
                      .Message = {},
                      .RetryAfter = Certainty == run_certainty::NotRun
                                        ? Options.RetryAfter
                                        : milliseconds(0)},
          .Head = {},
          .Body = {}});
}

void stream_call::finish(stream_result Result) {
  Finished = true;
  Timer.reset();
  Options.Loop.post([Weak = weak_from_this(), Result = std::move(Result)] {
    if (const auto Self = Weak.lock())
      Self->Hooks.OnEnd(Result);
  });
}

stream_call_ptr stream_client::start(stream_request Request,
                                     event_stream_hooks Hooks) {
  auto Call = std::make_shared<stream_call>(Options, std::move(Request),
                                            std::move(Hooks));
  Call->send();
  return Call;
}

} // namespace cardamom
