#include "gateway/unary_client.h"

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/dispatch_gate.h"
#include "gateway/replica_choice.h"
#include "gateway/replica_directory.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "policy/buffer_charge.h"
#include "policy/router.h"

#include <algorithm>
#include <list>
#include <optional>
#include <utility>
#include <vector>

namespace cardamom {

static constexpr unsigned StatusServerError = 500;
/// Base of Retry-After when no replica accepts a request: long enough for a
/// slot to become free, short compared with typical latency targets.
static constexpr milliseconds RetryAfterBase{100};

class unary_call : public std::enable_shared_from_this<unary_call> {
public:
  unary_call(unary_client &Client, unary_request Request,
             std::function<void(unary_result)> Done)
      : Client(Client), Options(Client.Options), Request(std::move(Request)),
        Done(std::move(Done)),
        Plan({.Idempotent = this->Request.Idempotent,
              .MaxAttempts = this->Request.MaxAttempts,
              .TargetLatency = this->Request.TargetLatency,
              .ReceivedAt = this->Request.ReceivedAt,
              .Deadline = this->Request.Deadline}) {}
  ~unary_call() {
    reportRun();
    for (const attempt &Attempt : Attempts)
      if (!Attempt.Ended)
        Options.Router.onAbandon(Attempt.ReplicaId, {}, event_loop::now());
  }

  void advance();

private:
  struct attempt {
    explicit attempt(std::shared_ptr<buffer_budget> Buffers)
        : Charge(std::move(Buffers)) {}

    std::string ReplicaId;
    uint64_t ReplicaStartedAtMs = 0;
    time_point SentAt;
    call_handle Call;
    std::optional<upstream_head> Head;
    std::string Body;
    buffer_charge Charge;
    bool Ended = false;
    /// The replica has not executed the call.
    bool NotRun = false;
  };

  [[nodiscard]] const replica *pickReplica(time_point Now);
  void send(time_point Now);
  void onHead(attempt &Attempt, const http_response &Head);
  void onBody(attempt &Attempt, std::string_view Data);
  /// Removes the body from the attempt and from the total of all responses.
  static std::string takeBody(attempt &Attempt);
  static void dropBody(attempt &Attempt) { (void)takeBody(Attempt); }
  void onEnd(attempt &Attempt, const call_completion &End);
  void withhold(attempt &Attempt);
  void endAttempt(attempt &Attempt, std::string_view Reason);
  void fail(attempt &Attempt, attempt_failure Failure, std::string_view Reason);
  void succeed(attempt &Attempt);
  void reportTimes(const attempt &Succeeded, time_point Now);
  void giveUp(time_point Now);
  void finish(unary_result Result);
  void reportRun();

  unary_client &Client;
  const unary_client_options &Options;
  unary_request Request;
  std::function<void(unary_result)> Done;
  call_plan Plan;
  // A list keeps addresses stable: the callbacks of a call refer to its
  // attempt.
  std::list<attempt> Attempts;
  /// Attempt that got a server error from its replica. That response is
  /// delivered if no other attempt succeeds.
  attempt *FallbackAttempt = nullptr;
  unsigned FailedAttempts = 0;
  timer_handle Timer;
  std::string LastFailureReason = "no_replica";
  bool Finished = false;
  bool RunReported = false;
};

const replica *unary_call::pickReplica(time_point Now) {
  std::vector<std::string> TriedReplicas;
  for (const attempt &Attempt : Attempts)
    TriedReplicas.push_back(Attempt.ReplicaId);
  return chooseReplica(Options.Directory, Options.Router, Request.Service,
                       TriedReplicas, Options.FailureDomain, Now);
}

void unary_call::advance() {
  if (Finished)
    return;
  const time_point Now = event_loop::now();
  switch (Plan.nextStep(Now)) {
  case call_step::Send:
    send(Now);
    return;
  case call_step::GiveUp:
    giveUp(Now);
    return;
  case call_step::Wait:
    break;
  }
  const auto Delay = std::chrono::ceil<milliseconds>(Plan.nextCheckAt() - Now);
  Timer = Options.Loop.after(std::max(Delay, milliseconds(1)),
                             [this] { advance(); });
}

void unary_call::send(time_point Now) {
  if (!Options.Gate.mayChoose(Now)) {
    Timer = Options.Loop.after(
        std::chrono::ceil<milliseconds>(Request.Deadline - Now),
        [this] { advance(); });
    Options.Gate.whenOpen([Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->advance();
    });
    return;
  }
  const replica *Replica = pickReplica(Now);
  if (!Replica) {
    // No second replica is available: keep waiting for the first one.
    if (Plan.runningAttempts() > 0) {
      Timer = Options.Loop.after(
          std::chrono::ceil<milliseconds>(Request.Deadline - Now),
          [this] { advance(); });
      return;
    }
    giveUp(Now);
    return;
  }
  if (!Attempts.empty())
    metrics::get()
        .counter("upstream_retries_total", "reason",
                 Plan.runningAttempts() > 0 ? "overdue" : LastFailureReason)
        .add();
  Plan.onSent(Now);
  Options.Router.onDispatch(Replica->Id, {}, Now);
  Options.Directory.onDispatched(Replica->Id, Now);
  upstream_request Outgoing = Request.UpstreamRequest;
  Outgoing.ReplicaId = Replica->Id;
  Outgoing.Timeout = std::chrono::floor<milliseconds>(Request.Deadline - Now);
  attempt &Attempt = Attempts.emplace_back(Options.Buffers);
  Attempt.ReplicaId = Replica->Id;
  Attempt.ReplicaStartedAtMs = Replica->StartedAtMs;
  Attempt.SentAt = Now;
  Attempt.Call = Options.Client.send(
      Replica->Address, Options.Protocol.Encode(Outgoing),
      {.RequestId = Outgoing.RequestId,
       .MayWrite = Options.Gate.writeCheck(*Replica),
       .OnHead = [this, &Attempt](
                     const http_response &Head) { onHead(Attempt, Head); },
       .OnBody = [this,
                  &Attempt](std::string_view Data) { onBody(Attempt, Data); },
       .OnEnd = [this, &Attempt](
                    const call_completion &End) { onEnd(Attempt, End); }});
  advance();
}

void unary_call::onHead(attempt &Attempt, const http_response &Head) {
  Attempt.Head = Options.Protocol.Decode(Head);
  Options.Directory.onResponseHead(
      Attempt.ReplicaId, Attempt.ReplicaStartedAtMs,
      Request.UpstreamRequest.RequestId, *Attempt.Head, event_loop::now());
  // A late response to an earlier request, or one whose body was encoded on the
  // way. Destroying the call closes the connection.
  if (Attempt.Head->RequestId != Request.UpstreamRequest.RequestId)
    fail(Attempt, attempt_failure::MayHaveRun, "foreign_answer");
  else if (Attempt.Head->ContentEncoded)
    fail(Attempt, attempt_failure::MayHaveRun, "encoded_answer");
}

void unary_call::onBody(attempt &Attempt, std::string_view Data) {
  if (Attempt.Ended)
    return;
  Attempt.Body += Data;
  if (!Attempt.Charge.set(Attempt.Body.capacity()))
    fail(Attempt, attempt_failure::MayHaveRun, "answer_too_large");
}

std::string unary_call::takeBody(attempt &Attempt) {
  Attempt.Charge.set(0);
  return std::exchange(Attempt.Body, {});
}

static bool isServerFailure(const upstream_head &Head) {
  return Head.Status >= 500;
}

void unary_call::onEnd(attempt &Attempt, const call_completion &End) {
  if (Attempt.Ended)
    return;
  if (End.Result == call_result::Withheld) {
    withhold(Attempt);
    return;
  }
  if (End.Result == call_result::NotConnected) {
    Options.Directory.onCallFailed(Attempt.ReplicaId, event_loop::now());
    fail(Attempt, attempt_failure::NotRun, "not_connected");
    return;
  }
  if (End.Result != call_result::Complete || !Attempt.Head) {
    Options.Directory.onCallFailed(Attempt.ReplicaId, event_loop::now());
    fail(Attempt, attempt_failure::MayHaveRun, toString(End.Result));
    return;
  }
  const upstream_head &Head = *Attempt.Head;
  if (Head.NotRun) {
    if (Head.WrongReplica)
      Options.Directory.onCallFailed(Attempt.ReplicaId, event_loop::now());
    else
      Options.Directory.onCallRefused(Attempt.ReplicaId);
    fail(Attempt, attempt_failure::NotRun,
         Head.WrongReplica ? "wrong_replica" : "refused");
    return;
  }
  if (Head.Status / 100 == 2 && Head.Signature.empty()) {
    fail(Attempt, attempt_failure::MayHaveRun, "unsigned_answer");
    return;
  }
  if (isServerFailure(Head) && Request.Idempotent) {
    FallbackAttempt = &Attempt;
    if (Head.Status == StatusServerError)
      ++FailedAttempts;
    Options.Directory.onCallFailed(Attempt.ReplicaId, event_loop::now());
    fail(Attempt, attempt_failure::MayHaveRun, "upstream_failure");
    return;
  }
  succeed(Attempt);
}

void unary_call::fail(attempt &Attempt, attempt_failure Failure,
                      std::string_view Reason) {
  Plan.onFailed(Failure);
  Attempt.NotRun = Failure == attempt_failure::NotRun;
  endAttempt(Attempt, Reason);
}

/// The replica left while the connection was being established.
void unary_call::withhold(attempt &Attempt) {
  Plan.onWithheld();
  Attempt.NotRun = true;
  endAttempt(Attempt, "withheld");
}

void unary_call::endAttempt(attempt &Attempt, std::string_view Reason) {
  Attempt.Ended = true;
  if (&Attempt != FallbackAttempt)
    dropBody(Attempt);
  const time_point Now = event_loop::now();
  Options.Router.onAbandon(Attempt.ReplicaId, {}, Now);
  LastFailureReason = Reason;
  logInfo("attempt_failed",
          {{"request", Request.UpstreamRequest.RequestId},
           {"replica", Attempt.ReplicaId},
           {"reason", LastFailureReason},
           {"attempt", std::to_string(Plan.sentAttempts())},
           {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                     Now - Attempt.SentAt)
                                     .count())}});
  // Deferred: the call must not be destroyed from inside its own callback.
  Options.Loop.post([Weak = weak_from_this(), &Attempt] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    Attempt.Call.reset();
    Self->advance();
  });
}

void unary_call::succeed(attempt &Attempt) {
  Attempt.Ended = true;
  const time_point Now = event_loop::now();
  const auto Elapsed =
      std::chrono::duration_cast<milliseconds>(Now - Attempt.SentAt);
  Options.Router.onFinish(Attempt.ReplicaId, {}, Elapsed, Now);
  Options.Directory.onCallSucceeded(Attempt.ReplicaId);
  reportTimes(Attempt, Now);
  finish({.FromReplica = true,
          .Head = std::move(*Attempt.Head),
          .Body = takeBody(Attempt),
          .ReplicaId = Attempt.ReplicaId,
          .Verdict = {},
          .TriedReplicas = {}});
}

/// Reports the time of the attempt that succeeded, and of earlier ones that
/// have taken longer without an answer. Without these, a slow replica whose
/// calls are hedged would show only its fast answers.
void unary_call::reportTimes(const attempt &Succeeded, time_point Now) {
  for (const attempt &Attempt : Attempts) {
    const bool Overdue = !Attempt.Ended && Attempt.SentAt < Succeeded.SentAt;
    if (Overdue || (&Attempt == &Succeeded && Attempt.Head->Status / 100 == 2))
      Options.Directory.onAnswerTime(Attempt.ReplicaId,
                                     Attempt.ReplicaStartedAtMs,
                                     pace_measure::Call, Now - Attempt.SentAt);
  }
}

void unary_call::giveUp(time_point Now) {
  if (FallbackAttempt) {
    finish({.FromReplica = true,
            .Head = std::move(*FallbackAttempt->Head),
            .Body = takeBody(*FallbackAttempt),
            .ReplicaId = FallbackAttempt->ReplicaId,
            .Verdict = {},
            .TriedReplicas = {}});
    return;
  }
  const bool TimedOut = Now >= Request.Deadline;
  const run_certainty Certainty = Plan.certainty();
  const double Jitter = Options.Random ? Options.Random() : 0;
  finish(
      {.FromReplica = false,
       .Head = {},
       .Body = {},
       .ReplicaId = {},
       .Verdict = {.Certainty = Certainty,
                   .Reason = TimedOut ? "deadline" : LastFailureReason,
                   .Message = {},
                   .RetryAfter = Certainty == run_certainty::NotRun
                                     ? RetryAfterBase +
                                           milliseconds(long(
                                               Jitter * RetryAfterBase.count()))
                                     : milliseconds(0)},
       .TriedReplicas = {}});
}

void unary_call::reportRun() {
  if (RunReported || !Options.OnRan)
    return;
  RunReported = true;
  for (const attempt &Attempt : Attempts) {
    if (Attempt.NotRun)
      continue;
    Options.OnRan(Request.UpstreamRequest.Tenant, Attempt.SentAt);
    return;
  }
}

void unary_call::finish(unary_result Result) {
  Finished = true;
  reportRun();
  Result.FailedAttempts = FailedAttempts;
  for (const attempt &Attempt : Attempts)
    Result.TriedReplicas +=
        (Result.TriedReplicas.empty() ? "" : ",") + Attempt.ReplicaId;
  Timer.reset();
  // Done may destroy this call; attempts that are still running are cancelled
  // first.
  Options.Loop.post([Weak = weak_from_this(), Result = std::move(Result)] {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    for (attempt &Attempt : Self->Attempts) {
      if (!Attempt.Ended) {
        Attempt.Ended = true;
        Self->Options.Router.onAbandon(Attempt.ReplicaId, {},
                                       event_loop::now());
      }
      Attempt.Call.reset();
    }
    const auto Done = std::move(Self->Done);
    if (Done)
      Done(Result);
  });
}

unary_call_ptr unary_client::start(unary_request Request,
                                   std::function<void(unary_result)> Done) {
  auto Call =
      std::make_shared<unary_call>(*this, std::move(Request), std::move(Done));
  Call->advance();
  return Call;
}

} // namespace cardamom
