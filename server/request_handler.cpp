#include "server/request_handler.h"

#include "base/invariant.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/percent_encoding.h"
#include "gateway/stream_client.h"
#include "gateway/unary_client.h"
#include "http/event_loop.h"
#include "jobs/inner_paths.h"
#include "jobs/job_request_handler.h"
#include "policy/stream_plan.h"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

namespace cardamom {

static constexpr unsigned StatusBadRequest = 400;
static constexpr unsigned StatusNotFound = 404;
static constexpr unsigned StatusBadGateway = 502;
static constexpr unsigned StatusUnavailable = 503;
static constexpr unsigned StatusTimeout = 504;
/// Timeout of a request, and upper bound on the timeouts that its caller or
/// route sets.
static constexpr milliseconds MaxTimeout{60000};

struct request_handler::pending_request {
  exchange_ptr Exchange;
  std::string RequestId;
  std::string RouteName;
  unary_call_ptr UnaryCall;
  stream_call_ptr StreamCall;
};

request_handler::request_handler(request_handler_options Options)
    : Options(std::move(Options)), CallerGate(this->Options.CallerGate) {}

request_handler::~request_handler() = default;

bool request_handler::installConfig(const gateway_config &NewConfig) {
  if (Routes && NewConfig.Version <= Config.Version)
    return false;
  CARDAMOM_INVARIANT(!Routes || NewConfig.Version > Config.Version,
                     "installed configuration versions must increase");
  Config = NewConfig;
  Routes = std::make_unique<route_table>(Config.Routes);
  CallerGate.install(Config);
  for (const route &Route : Config.Routes)
    if (Route.Kind == route_kind::Rollout)
      Options.JobHandler.addJobHost(
          job_host(Route.Host, Config.Tenants && !Route.Public
                                   ? job_ownership::Owned
                                   : job_ownership::Unowned));
  if (Config.Tenants)
    for (const route &Route : Config.Routes)
      if (Route.Kind == route_kind::Rollout)
        for (const auto Ownership :
             {job_ownership::Owned, job_ownership::Unowned})
          Options.JobHandler.prefetchJobHost(job_host(Route.Host, Ownership));
  logInfo("config_installed",
          {{"version", std::to_string(Config.Version)},
           {"routes", std::to_string(Config.Routes.size())}});
  return true;
}

const route *request_handler::findRoute(std::string_view Host,
                                        std::string_view Path) const {
  return Routes ? Routes->match(Host, pathOf(Path)) : nullptr;
}

void request_handler::reject(const exchange_ptr &Exchange,
                             std::string_view RequestId, unsigned Status,
                             std::string_view Reason, milliseconds RetryAfter) {
  metrics::get().counter("requests_refused_total", "reason", Reason).add();
  logInfo("request_refused",
          {{"request", std::string(RequestId)},
           {"status", std::to_string(Status)},
           {"reason", std::string(Reason)},
           {"config", std::to_string(Config.Version)},
           {"retry_after_ms", std::to_string(RetryAfter.count())}});
  respondWithError(Exchange, RequestId, Status, Reason, RetryAfter);
}

void request_handler::rejectMalformed(const exchange_ptr &Exchange,
                                      std::string_view Detail) {
  static constexpr std::string_view Reason = "malformed_request";
  metrics::get().counter("requests_refused_total", "reason", Reason).add();
  logInfo("request_refused", {{"status", std::to_string(StatusBadRequest)},
                              {"reason", std::string(Reason)},
                              {"detail", std::string(Detail)}});
  respondWithError(Exchange, {}, StatusBadRequest, Detail,
                   /*RetryAfter=*/milliseconds(0));
}

void request_handler::deny(const exchange_ptr &Exchange,
                           std::string_view RequestId,
                           const caller_rejection &Rejection) {
  metrics::get()
      .counter("requests_denied_total", "reason", Rejection.Reason)
      .add();
  const auto ConfigAge = std::chrono::duration_cast<milliseconds>(
      event_loop::now() - Options.ConfigConfirmedAt());
  logInfo("request_denied",
          {{"request", std::string(RequestId)},
           {"status", std::to_string(Rejection.Status)},
           {"reason", std::string(Rejection.Reason)},
           {"config", std::to_string(Config.Version)},
           {"config_age_ms", std::to_string(ConfigAge.count())}});
  respondWithError(Exchange, RequestId, Rejection.Status, Rejection.Reason,
                   Rejection.RetryAfter);
}

void request_handler::respondWithError(const exchange_ptr &Exchange,
                                       std::string_view RequestId,
                                       unsigned Status, std::string_view Reason,
                                       milliseconds RetryAfter) {
  http_response Response{.Status = Status,
                         .Headers =
                             Options.Protocols.LocalReplyHeaders(RequestId),
                         .Body = {}};
  if (RetryAfter.count() > 0) {
    char Text[32];
    std::snprintf(Text, sizeof Text, "%.3f", double(RetryAfter.count()) / 1000);
    Response.Headers.add("Retry-After", Text);
  }
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = toJsonText({{"error", Reason}});
  Exchange->respond(std::move(Response));
}

const std::string &request_handler::chooseService(const route &Route) const {
  double Total = 0;
  for (const weighted_service &Candidate : Route.Services)
    Total += Candidate.Weight;
  double Remaining = Options.Random() * Total;
  for (const weighted_service &Candidate : Route.Services) {
    Remaining -= Candidate.Weight;
    if (Remaining < 0 && Candidate.Weight > 0)
      return Candidate.Service;
  }
  return Route.Services.back().Service;
}

bool request_handler::rejectIfStopping(const exchange_ptr &Exchange,
                                       std::string_view RequestId,
                                       std::optional<milliseconds> TimeLimit) {
  if (!Options.Accepts || Options.Accepts(Exchange->receivedAt(), TimeLimit))
    return false;
  const auto RetryAfter = milliseconds(
      1 + long(Options.Random() * double(Options.StoppingRetryAfter.count())));
  reject(Exchange, RequestId, StatusUnavailable, "stopping", RetryAfter);
  return true;
}

void request_handler::endUnfinished(const exchange_ptr &Exchange) {
  const auto It = std::find_if(
      PendingRequests.begin(), PendingRequests.end(),
      [&](const auto &Entry) { return Entry.second->Exchange == Exchange; });
  const std::string RequestId =
      It == PendingRequests.end() ? std::string() : It->second->RequestId;
  metrics::get().counter("requests_cut_by_stop_total").add();
  if (Exchange->responseStarted()) {
    logInfo("request_cut", {{"request", RequestId}, {"reason", "stopping"}});
    Exchange->abort();
  } else {
    // The request may have run, so 503 would not be correct.
    reject(Exchange, RequestId, StatusBadGateway, "stopping");
  }
  if (It != PendingRequests.end())
    PendingRequests.erase(It);
}

std::optional<caller_identity>
request_handler::checkAdmission(const exchange_ptr &Exchange,
                                std::string_view RequestId,
                                caller_admission Admission) {
  if (const auto *Rejection = std::get_if<caller_rejection>(&Admission)) {
    deny(Exchange, RequestId, *Rejection);
    return std::nullopt;
  }
  return std::get<caller_identity>(std::move(Admission));
}

/// The gateway that forwarded the call has admitted the caller.
static caller_identity forwardedIdentity(const inbound_request &Request) {
  return {.Tenant = percentDecode(
              Request.UpstreamRequest.Headers.get(InnerTenantHeader))};
}

std::optional<caller_identity>
request_handler::admit(const exchange_ptr &Exchange, const route &Route,
                       const inbound_request &Request, bool Forwarded) {
  if (Forwarded)
    return forwardedIdentity(Request);
  return checkAdmission(Exchange, Request.UpstreamRequest.RequestId,
                        CallerGate.admit(Route, Request.ApiKey,
                                         Options.ConfigConfirmedAt(),
                                         event_loop::now()));
}

job_call_admission
request_handler::admitJobCall(std::span<const route *const> JobRoutes,
                              const inbound_request &Request,
                              bool Forwarded) const {
  if (Forwarded)
    return {.Caller = forwardedIdentity(Request), .IfUnknown = {}};
  return CallerGate.admitJobCall(JobRoutes, Request.ApiKey,
                                 Options.ConfigConfirmedAt(),
                                 event_loop::now());
}

bool request_handler::handleJobCall(const exchange_ptr &Exchange,
                                    const inbound_request &Request,
                                    bool Forwarded) {
  const auto Call = Options.Protocols.DecodeJobCall(Exchange->request());
  if (!Call)
    return false;
  const std::vector<const route *> JobRoutes =
      Routes->rolloutRoutes(Call->Host);
  std::vector<std::string> Pools;
  for (const route *Route : JobRoutes)
    for (const weighted_service &Candidate : Route->Services)
      if (std::find(Pools.begin(), Pools.end(), Candidate.Service) ==
          Pools.end())
        Pools.push_back(Candidate.Service);
  // An accepted job outlives its route, so its calls need none. On a host
  // without routes for jobs, another route may match the path as well; it gets
  // the call if there is no such job. The gateway that forwarded a call applies
  // the route itself.
  const bool OtherRoute =
      Pools.empty() && !Forwarded &&
      findRoute(Call->Host, Exchange->request().Target) != nullptr;
  const job_call_admission Admission =
      admitJobCall(JobRoutes, Request, Forwarded);
  if (rejectIfStopping(Exchange, Request.UpstreamRequest.RequestId,
                       Options.JobHandler.timeLimit(Call->Wait)))
    return true;
  unknown_job_handler Unknown{.Respond = {}, .OtherService = OtherRoute};
  if (OtherRoute)
    Unknown.Respond = [this, Exchange, Request] {
      handleExchange(Exchange, [&] {
        handleByRoute(Exchange, Request, /*Forwarded=*/false);
      });
    };
  else if (Admission.IfUnknown)
    Unknown.Respond = [this, Exchange, Id = Request.UpstreamRequest.RequestId,
                       Rejection = *Admission.IfUnknown] {
      deny(Exchange, Id, Rejection);
    };
  Options.JobHandler.call(
      Exchange, *Call, std::move(Pools),
      {.Tenant = Admission.Caller.Tenant, .Forwarded = Forwarded},
      std::move(Unknown));
  return true;
}

void request_handler::handle(const exchange_ptr &Exchange, bool Forwarded) {
  metrics::get().counter("requests_total").add();
  const http_request &Message = Exchange->request();
  try {
    inbound_request Request = Options.Protocols.DecodeCallerRequest(Message);
    // From here on, no component can pass the API key on.
    Options.Protocols.RemoveCallerIdentity(Exchange->requestHeaders());
    const std::string Id = Request.UpstreamRequest.RequestId;
    if (!Routes) {
      reject(Exchange, Id, StatusUnavailable, "no_configuration",
             Options.RetryAfter);
      return;
    }
    if (handleJobCall(Exchange, Request, Forwarded))
      return;
    const route *Route =
        findRoute(Request.UpstreamRequest.Host, Message.Target);
    const bool AcceptsJobs = Route && Route->Kind == route_kind::Rollout;
    if (Message.Method == "POST" && !Id.empty() && !AcceptsJobs &&
        Options.Protocols.MayBeJob(Message.Body))
      confirmSubmission(Exchange, Request, Forwarded);
    else
      handleByRoute(Exchange, std::move(Request), Forwarded);
  } catch (const std::invalid_argument &Error) {
    rejectMalformed(Exchange, Error.what());
  }
}

void request_handler::confirmSubmission(const exchange_ptr &Exchange,
                                        const inbound_request &Request,
                                        bool Forwarded) {
  const upstream_request &Call = Request.UpstreamRequest;
  const job_call_admission Admission = admitJobCall({}, Request, Forwarded);
  Options.JobHandler.confirmSubmission(
      Exchange, Call.RequestId,
      {.Tenant = Admission.Caller.Tenant, .Forwarded = Forwarded},
      {.Respond =
           [this, Exchange, Request, Forwarded,
            IfUnknown = Admission.IfUnknown] {
             const upstream_request &Call = Request.UpstreamRequest;
             if (IfUnknown && !findRoute(Call.Host, Call.Target))
               deny(Exchange, Call.RequestId, *IfUnknown);
             else
               handleExchange(Exchange, [&] {
                 handleByRoute(Exchange, Request, Forwarded);
               });
           },
       .OtherService =
           !Forwarded && findRoute(Call.Host, Call.Target) != nullptr});
}

void request_handler::handleByRoute(const exchange_ptr &Exchange,
                                    inbound_request Request, bool Forwarded) {
  const std::string Id = Request.UpstreamRequest.RequestId;
  const route *Route =
      findRoute(Request.UpstreamRequest.Host, Request.UpstreamRequest.Target);
  const bool AcceptsJobs = Route && Route->Kind == route_kind::Rollout;
  if (!Route || (Forwarded && !AcceptsJobs)) {
    reject(Exchange, Id, StatusNotFound, "no_route");
    return;
  }
  const auto Caller = admit(Exchange, *Route, Request, Forwarded);
  if (!Caller)
    return;
  if (rejectIfStopping(Exchange, Id, timeLimit(*Route, Request)))
    return;
  switch (Route->Kind) {
  case route_kind::Rollout: {
    // Jobs of public routes have no owner.
    const bool Owned = Forwarded || !Route->Public;
    Options.JobHandler.submit(Exchange, *Route, Id,
                              {.Tenant = Owned ? Caller->Tenant : std::string(),
                               .Forwarded = Forwarded});
    return;
  }
  case route_kind::Stream:
    forwardStream(Exchange, *Route, *Caller, std::move(Request));
    return;
  case route_kind::Idempotent:
  case route_kind::NonIdempotent:
    forwardUnary(Exchange, *Route, *Caller, std::move(Request));
    return;
  }
}

std::optional<milliseconds>
request_handler::timeLimit(const route &Route,
                           const inbound_request &Request) const {
  switch (Route.Kind) {
  case route_kind::Rollout:
    return Options.JobHandler.timeLimit(milliseconds(0));
  case route_kind::Stream:
    // The timeout of a stream limits the wait for its first event only.
    return std::nullopt;
  case route_kind::Idempotent:
  case route_kind::NonIdempotent:
    break;
  }
  return effectiveTimeout(Route, Request);
}

milliseconds request_handler::effectiveTimeout(const route &Route,
                                               const inbound_request &Request) {
  milliseconds Limit = MaxTimeout;
  if (Route.Timeout.count() > 0)
    Limit = std::min(Limit, Route.Timeout);
  if (Request.CallerTimeout.count() > 0)
    Limit = std::min(Limit, Request.CallerTimeout);
  return Limit;
}

uint64_t request_handler::addPendingRequest(const exchange_ptr &Exchange,
                                            const route &Route,
                                            const std::string &RequestId) {
  const uint64_t Id = NextId++;
  auto Entry = std::make_unique<pending_request>();
  Entry->Exchange = Exchange;
  Entry->RequestId = RequestId;
  Entry->RouteName = Route.Name;
  PendingRequests[Id] = std::move(Entry);
  Exchange->OnClientDisconnect = [this, Id] {
    const auto It = PendingRequests.find(Id);
    if (It == PendingRequests.end())
      return;
    metrics::get().counter("callers_gone_total").add();
    logInfo("caller_gone", {{"request", It->second->RequestId}});
    PendingRequests.erase(It);
  };
  return Id;
}

void request_handler::forwardUnary(const exchange_ptr &Exchange,
                                   const route &Route,
                                   const caller_identity &Caller,
                                   inbound_request Request) {
  const milliseconds Limit = effectiveTimeout(Route, Request);
  Request.UpstreamRequest.Tenant = Caller.Tenant;
  const uint64_t Id =
      addPendingRequest(Exchange, Route, Request.UpstreamRequest.RequestId);
  PendingRequests[Id]->UnaryCall = Options.UnaryClient.start(
      {.UpstreamRequest = std::move(Request.UpstreamRequest),
       .Service = chooseService(Route),
       .Idempotent = Route.Kind == route_kind::Idempotent,
       .MaxAttempts = Route.MaxAttempts,
       .TargetLatency = Route.TargetLatency,
       .ReceivedAt = Exchange->receivedAt(),
       .Deadline = Exchange->receivedAt() + Limit},
      [this, Id](const unary_result &Result) { onUnaryResult(Id, Result); });
}

void request_handler::forwardStream(const exchange_ptr &Exchange,
                                    const route &Route,
                                    const caller_identity &Caller,
                                    inbound_request Request) {
  const milliseconds Limit = effectiveTimeout(Route, Request);
  Request.UpstreamRequest.Timeout = Limit;
  Request.UpstreamRequest.Tenant = Caller.Tenant;
  const uint64_t Id =
      addPendingRequest(Exchange, Route, Request.UpstreamRequest.RequestId);
  // The callbacks share ownership of the exchange, because they may destroy the
  // call.
  PendingRequests[Id]->StreamCall = Options.StreamClient.start(
      {.UpstreamRequest = std::move(Request.UpstreamRequest),
       .Service = chooseService(Route),
       .Resumable = Route.Resumable,
       .MaxAttempts = Route.MaxAttempts,
       .FirstEventDeadline = Exchange->receivedAt() + Limit,
       .MaxEventGap = maxEventGap(Route.Resumable, Route.TargetLatency)},
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

void request_handler::onStreamEnd(uint64_t Id, const stream_result &Result) {
  const auto It = PendingRequests.find(Id);
  if (It == PendingRequests.end())
    return;
  const std::unique_ptr<pending_request> Pending = std::move(It->second);
  PendingRequests.erase(It);
  switch (Result.Outcome) {
  case stream_outcome::Complete:
    if (!Pending->Exchange->responseStarted())
      Pending->Exchange->startStream({.Status = Result.Head.Status,
                                      .Headers = Result.Head.Headers,
                                      .Body = {}});
    Pending->Exchange->finishStream();
    return;
  case stream_outcome::Failed:
    Pending->Exchange->respond({.Status = Result.Head.Status,
                                .Headers = Result.Head.Headers,
                                .Body = Result.Body});
    return;
  case stream_outcome::Truncated:
    metrics::get().counter("streams_broken_off_total").add();
    Pending->Exchange->abort();
    return;
  case stream_outcome::NotStarted:
    rejectWithVerdict(*Pending, Result.Verdict);
    return;
  }
}

void request_handler::rejectWithVerdict(const pending_request &Pending,
                                        const verdict &Verdict) {
  if (Verdict.Certainty == run_certainty::NotRun)
    reject(Pending.Exchange, Pending.RequestId, StatusUnavailable,
           Verdict.Reason, Verdict.RetryAfter);
  else
    reject(Pending.Exchange, Pending.RequestId,
           Verdict.Reason == "deadline" ? StatusTimeout : StatusBadGateway,
           Verdict.Reason);
}

void request_handler::onUnaryResult(uint64_t Id, const unary_result &Result) {
  const auto It = PendingRequests.find(Id);
  if (It == PendingRequests.end())
    return;
  // Destroyed on return, together with the call that invoked this callback.
  const std::unique_ptr<pending_request> Pending = std::move(It->second);
  PendingRequests.erase(It);
  const auto Elapsed = std::chrono::duration_cast<milliseconds>(
      event_loop::now() - Pending->Exchange->receivedAt());
  metrics::get().histogram("request_ms").record(double(Elapsed.count()));
  logInfo("request_done",
          {{"request", Pending->RequestId},
           {"route", Pending->RouteName},
           {"config", std::to_string(Config.Version)},
           {"replica", Result.ReplicaId},
           {"status",
            Result.FromReplica ? std::to_string(Result.Head.Status) : "none"},
           {"reason", Result.Verdict.Reason},
           {"tried", Result.TriedReplicas},
           {"ms", std::to_string(Elapsed.count())}});
  if (Result.FromReplica) {
    forwardResponse(*Pending, Result);
    return;
  }
  rejectWithVerdict(*Pending, Result.Verdict);
}

void request_handler::forwardResponse(const pending_request &Pending,
                                      const unary_result &Result) {
  metrics::get()
      .counter("answers_total", "status", std::to_string(Result.Head.Status))
      .add();
  Pending.Exchange->respond({.Status = Result.Head.Status,
                             .Headers = Result.Head.Headers,
                             .Body = Result.Body});
}

} // namespace cardamom
