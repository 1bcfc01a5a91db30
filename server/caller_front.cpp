#include "server/caller_front.h"

#include "base/invariant.h"
#include "base/log.h"
#include "base/metrics.h"
#include "gateway/plain_caller.h"
#include "gateway/stream_caller.h"
#include "http/event_loop.h"
#include "jobs/job_desk.h"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

namespace cardamom {

static constexpr unsigned StatusBadRequest = 400;
static constexpr unsigned StatusNotFound = 404;
static constexpr unsigned StatusBadGateway = 502;
static constexpr unsigned StatusUnavailable = 503;
static constexpr unsigned StatusTimeout = 504;
/// Longest that a request may take when neither its caller nor its route says.
static constexpr milliseconds DefaultTimeout{60000};

struct caller_front::pending {
  exchange_ptr Exchange;
  std::string RequestId;
  std::string RouteName;
  plain_run_ptr Run;
  stream_run_ptr Stream;
};

caller_front::caller_front(caller_front_options Options)
    : Options(std::move(Options)) {}

caller_front::~caller_front() = default;

bool caller_front::install(const gateway_config &NewConfig) {
  if (Routes && NewConfig.Version <= Config.Version)
    return false;
  CARDAMOM_INVARIANT(!Routes || NewConfig.Version > Config.Version,
                     "an installed configuration never gets older");
  Config = NewConfig;
  Routes = std::make_unique<route_table>(Config.Routes);
  logState("config_installed",
           {{"version", std::to_string(Config.Version)},
            {"routes", std::to_string(Config.Routes.size())}});
  return true;
}

const route *caller_front::findRoute(std::string_view Host,
                                     std::string_view Path) const {
  return Routes ? Routes->match(Host, pathOf(Path)) : nullptr;
}

void caller_front::refuse(const exchange_ptr &Exchange,
                          std::string_view RequestId, unsigned Status,
                          std::string_view Reason, milliseconds RetryAfter) {
  metrics::get().counter("requests_refused_total", "reason", Reason).add();
  logState("request_refused",
           {{"request", std::string(RequestId)},
            {"status", std::to_string(Status)},
            {"reason", std::string(Reason)},
            {"config", std::to_string(Config.Version)},
            {"retry_after_ms", std::to_string(RetryAfter.count())}});
  http_response Response{.Status = Status,
                         .Headers =
                             Options.Protocols.OwnAnswerHeaders(RequestId),
                         .Body = {}};
  if (RetryAfter.count() > 0) {
    char Text[32];
    std::snprintf(Text, sizeof Text, "%.3f", double(RetryAfter.count()) / 1000);
    Response.Headers.add("Retry-After", Text);
  }
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = nlohmann::json({{"error", Reason}}).dump();
  Exchange->answer(std::move(Response));
}

const std::string &caller_front::chooseService(const route &Route) const {
  double Total = 0;
  for (const weighted_service &Part : Route.Services)
    Total += Part.Weight;
  double Left = Options.Random() * Total;
  for (const weighted_service &Part : Route.Services) {
    Left -= Part.Weight;
    if (Left < 0 && Part.Weight > 0)
      return Part.Service;
  }
  return Route.Services.back().Service;
}

bool caller_front::handleJobCall(const exchange_ptr &Exchange, bool Forwarded) {
  const auto Call = Options.Protocols.DecodeJobCall(Exchange->request());
  if (!Call)
    return false;
  std::vector<std::string> Pools;
  for (const route *Route : Routes->rolloutRoutes(Call->Host))
    for (const weighted_service &Part : Route->Services)
      if (std::find(Pools.begin(), Pools.end(), Part.Service) == Pools.end())
        Pools.push_back(Part.Service);
  if (Pools.empty())
    return false;
  Options.Desk.call(Exchange, *Call, std::move(Pools), Forwarded);
  return true;
}

void caller_front::handle(const exchange_ptr &Exchange, bool Forwarded) {
  metrics::get().counter("requests_total").add();
  const http_request &Message = Exchange->request();
  try {
    inbound_request Request = Options.Protocols.DecodeCaller(Message);
    const std::string Id = Request.Call.RequestId;
    if (!Routes) {
      refuse(Exchange, Id, StatusUnavailable, "no_configuration",
             Options.RetryHint);
      return;
    }
    if (handleJobCall(Exchange, Forwarded))
      return;
    const route *Route = findRoute(Request.Call.Host, Message.Target);
    if (!Route) {
      refuse(Exchange, Id, StatusNotFound, "no_route");
      return;
    }
    if (Route->Kind == route_kind::Rollout) {
      Options.Desk.submit(Exchange, *Route, Id, Forwarded);
      return;
    }
    if (Route->Kind == route_kind::Stream)
      relayStream(Exchange, *Route, std::move(Request));
    else
      relay(Exchange, *Route, std::move(Request));
  } catch (const std::invalid_argument &Error) {
    refuse(Exchange, {}, StatusBadRequest, Error.what());
  }
}

milliseconds caller_front::timeLimit(const route &Route,
                                     const inbound_request &Request) {
  milliseconds Limit = DefaultTimeout;
  if (Route.Timeout.count() > 0)
    Limit = std::min(Limit, Route.Timeout);
  if (Request.Patience.count() > 0)
    Limit = std::min(Limit, Request.Patience);
  return Limit;
}

uint64_t caller_front::addPending(const exchange_ptr &Exchange,
                                  const route &Route,
                                  const std::string &RequestId) {
  const uint64_t Id = NextId++;
  auto Entry = std::make_unique<pending>();
  Entry->Exchange = Exchange;
  Entry->RequestId = RequestId;
  Entry->RouteName = Route.Name;
  Pending[Id] = std::move(Entry);
  Exchange->OnCallerGone = [this, Id] {
    const auto It = Pending.find(Id);
    if (It == Pending.end())
      return;
    metrics::get().counter("callers_gone_total").add();
    logState("caller_gone", {{"request", It->second->RequestId}});
    Pending.erase(It);
  };
  return Id;
}

void caller_front::relay(const exchange_ptr &Exchange, const route &Route,
                         inbound_request Request) {
  const milliseconds Limit = timeLimit(Route, Request);
  const uint64_t Id = addPending(Exchange, Route, Request.Call.RequestId);
  Pending[Id]->Run = Options.Caller.start(
      {.Call = std::move(Request.Call),
       .Service = chooseService(Route),
       .Idempotent = Route.Kind == route_kind::Idempotent,
       .MaxAttempts = Route.MaxAttempts,
       .Target = Route.TargetLatency,
       .ReceivedAt = Exchange->receivedAt(),
       .Deadline = Exchange->receivedAt() + Limit},
      [this, Id](const plain_answer &Answer) { onAnswer(Id, Answer); });
}

void caller_front::relayStream(const exchange_ptr &Exchange, const route &Route,
                               inbound_request Request) {
  const milliseconds Limit = timeLimit(Route, Request);
  Request.Call.TimeLeft = Limit;
  const uint64_t Id = addPending(Exchange, Route, Request.Call.RequestId);
  // The run may be destroyed by a hook; the exchange holds the answer.
  Pending[Id]->Stream = Options.Streams.start(
      {.Call = std::move(Request.Call),
       .Service = chooseService(Route),
       .Resumable = Route.Resumable,
       .MaxAttempts = Route.MaxAttempts,
       .FirstEventBy = Exchange->receivedAt() + Limit},
      {.OnHead =
           [Exchange](const upstream_head &Head) {
             Exchange->startStream(
                 {.Status = Head.Status, .Headers = Head.Headers, .Body = {}});
           },
       .OnEvent =
           [Exchange](std::string_view Event) { Exchange->writeStream(Event); },
       .OnEnd = [this, Id](
                    const stream_result &Result) { onStreamEnd(Id, Result); }});
}

void caller_front::onStreamEnd(uint64_t Id, const stream_result &Result) {
  const auto It = Pending.find(Id);
  if (It == Pending.end())
    return;
  const std::unique_ptr<pending> Done = std::move(It->second);
  Pending.erase(It);
  switch (Result.Outcome) {
  case stream_outcome::Complete:
    if (!Done->Exchange->started())
      Done->Exchange->startStream({.Status = Result.Head.Status,
                                   .Headers = Result.Head.Headers,
                                   .Body = {}});
    Done->Exchange->finishStream();
    return;
  case stream_outcome::Failed:
    Done->Exchange->answer({.Status = Result.Head.Status,
                            .Headers = Result.Head.Headers,
                            .Body = Result.Body});
    return;
  case stream_outcome::BrokenOff:
    metrics::get().counter("streams_broken_off_total").add();
    Done->Exchange->abort();
    return;
  case stream_outcome::NotStarted:
    refuseByVerdict(*Done, Result.Verdict);
    return;
  }
}

void caller_front::refuseByVerdict(const pending &Pending,
                                   const verdict &Verdict) {
  if (Verdict.Certainty == run_certainty::NotRun)
    refuse(Pending.Exchange, Pending.RequestId, StatusUnavailable,
           Verdict.Reason, Verdict.RetryAfter);
  else
    refuse(Pending.Exchange, Pending.RequestId,
           Verdict.Reason == "deadline" ? StatusTimeout : StatusBadGateway,
           Verdict.Reason);
}

void caller_front::onAnswer(uint64_t Id, const plain_answer &Answer) {
  const auto It = Pending.find(Id);
  if (It == Pending.end())
    return;
  // Destroyed on return, with the run that called this.
  const std::unique_ptr<pending> Done = std::move(It->second);
  Pending.erase(It);
  const auto Elapsed = std::chrono::duration_cast<milliseconds>(
      event_loop::now() - Done->Exchange->receivedAt());
  metrics::get().histogram("request_ms").record(double(Elapsed.count()));
  logState("request_done",
           {{"request", Done->RequestId},
            {"route", Done->RouteName},
            {"config", std::to_string(Config.Version)},
            {"replica", Answer.ReplicaId},
            {"status",
             Answer.FromReplica ? std::to_string(Answer.Head.Status) : "none"},
            {"reason", Answer.Verdict.Reason},
            {"tried", Answer.Tried},
            {"ms", std::to_string(Elapsed.count())}});
  if (Answer.FromReplica) {
    answerReplica(*Done, Answer);
    return;
  }
  refuseByVerdict(*Done, Answer.Verdict);
}

void caller_front::answerReplica(const pending &Pending,
                                 const plain_answer &Answer) {
  metrics::get()
      .counter("answers_total", "status", std::to_string(Answer.Head.Status))
      .add();
  Pending.Exchange->answer({.Status = Answer.Head.Status,
                            .Headers = Answer.Head.Headers,
                            .Body = Answer.Body});
}

} // namespace cardamom
