#include "gateway/stream_caller.h"

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/event_parser.h"
#include "gateway/replica_choice.h"
#include "gateway/replica_directory.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "policy/router.h"
#include "policy/stream_plan.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace cardamom {

class stream_run : public std::enable_shared_from_this<stream_run> {
public:
  stream_run(const stream_caller_options &Options, stream_request Request,
             event_stream_hooks Hooks)
      : Options(Options), Request(std::move(Request)), Hooks(std::move(Hooks)),
        Plan({.Resumable = this->Request.Resumable,
              .MaxAttempts = this->Request.MaxAttempts,
              .FirstEventBy = this->Request.FirstEventBy,
              .MaxPause = this->Request.MaxPause}) {}
  ~stream_run() {
    if (Call)
      Options.Router.onAbandon(ReplicaId, {}, event_loop::now());
  }

  void send();

private:
  void onHead(const http_response &Response);
  void onBody(std::string_view Data);
  void onEvent(const stream_event &Event);
  void onEnd(const call_end &End);
  void endPart(stream_attempt_end End, std::string_view Reason);
  void act(stream_step Step, std::string_view Reason);
  void finish(stream_result Result);
  void armTimer();

  const stream_caller_options &Options;
  stream_request Request;
  event_stream_hooks Hooks;
  stream_plan Plan;
  std::vector<std::string> Tried;
  std::string ReplicaId;
  call_handle Call;
  std::optional<event_parser> Parser;
  upstream_head Head;
  std::string FailureBody;
  bool HeadPassedOn = false;
  bool Streaming = false;
  bool PartEnded = false;
  bool Finished = false;
  timer_handle Timer;
};

void stream_run::send() {
  const time_point Now = event_loop::now();
  const replica *Replica =
      chooseReplica(Options.Directory, Options.Router, Request.Service, Tried,
                    Options.FailureDomain, Now);
  if (!Replica && !Tried.empty()) {
    // All have been tried; one that broke off may serve the rest.
    Tried.clear();
    Replica = chooseReplica(Options.Directory, Options.Router, Request.Service,
                            Tried, Options.FailureDomain, Now);
  }
  if (!Replica) {
    act(HeadPassedOn ? stream_step::Abort : stream_step::GiveUp, "no_replica");
    return;
  }
  ReplicaId = Replica->Id;
  Tried.push_back(ReplicaId);
  Plan.onSent();
  Options.Router.onDispatch(ReplicaId, {}, Now);
  upstream_call Sent = Request.Call;
  Sent.ReplicaId = ReplicaId;
  if (Plan.lastEvent())
    Sent.ResumeAfter = Plan.lastEvent();
  Parser.emplace(std::string(),
                 [this](const stream_event &Event) { onEvent(Event); });
  Streaming = false;
  PartEnded = false;
  FailureBody.clear();
  Call = Options.Client.send(
      Replica->Address, Options.Protocol.Encode(Sent),
      {.OnHead = [this](const http_response &Response) { onHead(Response); },
       .OnBody = [this](std::string_view Data) { onBody(Data); },
       .OnEnd = [this](const call_end &End) { onEnd(End); }});
  armTimer();
}

void stream_run::armTimer() {
  const auto Delay =
      std::chrono::ceil<milliseconds>(Plan.overdueAt() - event_loop::now());
  Timer = Options.Loop.after(std::max(Delay, milliseconds(1)), [this] {
    if (Finished)
      return;
    if (Plan.overdue(event_loop::now()))
      endPart(stream_attempt_end::Broken, "no event in time");
    else
      armTimer();
  });
}

void stream_run::onHead(const http_response &Response) {
  static constexpr unsigned StatusOk = 200;
  Head = Options.Protocol.Decode(Response);
  if (Head.Load)
    Options.Directory.onLoad(ReplicaId, *Head.Load, event_loop::now());
  if (Head.RequestId != Request.Call.RequestId || Head.Encoded)
    return endPart(stream_attempt_end::Broken, "foreign or encoded answer");
  if (Head.NotRun)
    return endPart(stream_attempt_end::NotRun, "refused");
  if (Head.Status != StatusOk)
    return;
  if (Head.Signature.empty())
    return endPart(stream_attempt_end::Broken, "unsigned answer");
  Streaming = true;
}

void stream_run::onBody(std::string_view Data) {
  if (PartEnded)
    return;
  if (Streaming)
    Parser->feed(Data);
  else
    FailureBody += Data;
}

void stream_run::onEvent(const stream_event &Event) {
  if (PartEnded)
    return;
  if (!Plan.onEvent(Event.Number, event_loop::now()))
    return endPart(stream_attempt_end::Broken, "event out of order");
  if (!HeadPassedOn) {
    HeadPassedOn = true;
    Hooks.OnHead(Head);
  }
  Hooks.OnEvent(Event.Raw);
}

void stream_run::onEnd(const call_end &End) {
  if (PartEnded)
    return;
  const bool Whole = End.Result == call_result::Complete;
  if (Whole && Streaming && Parser->atBoundary())
    return endPart(stream_attempt_end::Complete, "complete");
  if (Whole && !Streaming)
    return endPart(stream_attempt_end::Failed, "upstream_failure");
  endPart(End.Result == call_result::NotConnected ? stream_attempt_end::NotRun
                                                  : stream_attempt_end::Broken,
          toString(End.Result));
}

void stream_run::endPart(stream_attempt_end End, std::string_view Reason) {
  PartEnded = true;
  const time_point Now = event_loop::now();
  Options.Router.onAbandon(ReplicaId, {}, Now);
  if (End == stream_attempt_end::Complete)
    Options.Directory.onCallSucceeded(ReplicaId);
  else if (End != stream_attempt_end::NotRun || !Head.NotRun)
    Options.Directory.onCallFailed(ReplicaId, Now);
  const stream_step Step = Plan.onEnded(End, Now);
  if (End != stream_attempt_end::Complete)
    logState("stream_part_ended",
             {{"request", Request.Call.RequestId},
              {"replica", ReplicaId},
              {"reason", std::string(Reason)},
              {"attempt", std::to_string(Plan.sent())},
              {"last_event",
               Plan.lastEvent() ? std::to_string(*Plan.lastEvent()) : "none"},
              {"goes_on", Step == stream_step::Send ? "yes" : "no"}});
  // Not from inside the hook of the call that is about to be destroyed.
  Options.Loop.post(
      [Weak = weak_from_this(), Step, Reason = std::string(Reason)] {
        const auto Self = Weak.lock();
        if (!Self || Self->Finished)
          return;
        Self->Call.reset();
        Self->act(Step, Reason);
      });
}

void stream_run::act(stream_step Step, std::string_view Reason) {
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
    finish({.Outcome = stream_outcome::BrokenOff,
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
            .Body = FailureBody});
    return;
  }
  const run_certainty Certainty = Plan.certainty();
  finish({.Outcome = stream_outcome::NotStarted,
          .Verdict = {.Certainty = Certainty,
                      .Reason = std::string(Reason),
                      .Message = {},
                      .RetryAfter = Certainty == run_certainty::NotRun
                                        ? Options.RetryHint
                                        : milliseconds(0)},
          .Head = {},
          .Body = {}});
}

void stream_run::finish(stream_result Result) {
  Finished = true;
  Timer.reset();
  Options.Loop.post([Weak = weak_from_this(), Result = std::move(Result)] {
    if (const auto Self = Weak.lock())
      Self->Hooks.OnEnd(Result);
  });
}

stream_run_ptr stream_caller::start(stream_request Request,
                                    event_stream_hooks Hooks) {
  auto Run = std::make_shared<stream_run>(Options, std::move(Request),
                                          std::move(Hooks));
  Run->send();
  return Run;
}

} // namespace cardamom
