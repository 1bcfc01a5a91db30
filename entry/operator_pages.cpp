#include "entry/operator_pages.h"

#include "config/configuration.h"
#include "entry/dispatcher.h"
#include "entry/trace_ring.h"
#include "entry/upstream_directory.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace cardamom {

using json = nlohmann::json;

static http_reply jsonReply(const json &Body) {
  http_reply Reply;
  Reply.Body = Body.dump(-1, ' ', false, json::error_handler_t::replace);
  return Reply;
}

operator_pages::operator_pages(operator_pages_options Options)
    : Options(std::move(Options)) {}

std::optional<http_reply>
operator_pages::page(const httplib::Request &Request) const {
  static constexpr std::string_view TracePrefix = "/trace/";
  if (Request.path == "/status")
    return status();
  if (Request.path == "/explain")
    return explain(Request);
  if (Request.path.starts_with(TracePrefix))
    return trace(Request.path.substr(TracePrefix.size()));
  return std::nullopt;
}

static json upstreamJson(const upstream_status &Upstream) {
  const upstream_view &View = Upstream.View;
  return {{"name", View.Name},
          {"pool", Upstream.Pool},
          {"failure_domain", View.FailureDomain},
          {"address", Upstream.Address},
          {"connected", View.Connected},
          {"ready", View.Connected && View.Ready},
          {"draining", View.Draining},
          {"avoided", Upstream.DomainAvoided},
          {"epoch", Upstream.Epoch},
          {"incarnation", std::to_string(Upstream.Incarnation)},
          {"slots", View.Slots},
          {"running", View.Running},
          {"queued", View.Queued},
          {"observed_version", View.ObservedVersion},
          {"tokens_per_second", Upstream.TokensPerSecond},
          {"load_age_ms", Upstream.LoadAgeMs}};
}

http_reply operator_pages::status() const {
  const auto Config = Options.Directory->config();
  json Status = {{"role", "entry"},
                 {"name", Options.Name},
                 {"incarnation", std::to_string(Options.Incarnation)},
                 {"failure_domain", Options.FailureDomain},
                 {"ready", Options.Ready()},
                 {"draining", Options.Draining()},
                 {"waiting_for", Options.WaitingFor()},
                 {"in_flight", Options.InFlight()},
                 {"config_version", Config ? Config->Version : 0},
                 {"upstreams", json::array()},
                 {"trainers", Options.Trainers()}};
  for (const upstream_status &Upstream : Options.Directory->status())
    Status["upstreams"].push_back(upstreamJson(Upstream));
  return jsonReply(Status);
}

// Returns the first reason why routing does not use the upstream; empty when it
// is eligible.
static std::string ineligibleReason(const upstream_status &Upstream) {
  if (!Upstream.View.Connected)
    return "not_connected";
  if (Upstream.View.Draining)
    return "draining";
  if (!Upstream.View.Ready)
    return "engine_not_ready";
  if (Upstream.DomainAvoided)
    return "failure_domain_avoided";
  return {};
}

http_reply operator_pages::explain(const httplib::Request &Request) const {
  const auto Config = Options.Directory->config();
  if (!Config)
    return errorReply(503,
                      {.Certainty = run_certainty::NotRun,
                       .Reason = "configuration_unknown",
                       .Message = "no configuration has been received yet"});
  const std::string Path = Request.get_param_value("path");
  const std::string Method =
      Request.has_param("method") ? Request.get_param_value("method") : "GET";
  json Response = {{"path", Path}, {"method", Method}, {"route", nullptr}};
  std::string Pool = Request.get_param_value("model");
  if (const route_rule *Route = Config->findRoute(Path)) {
    Pool = Route->Pool;
    Response["route"] = Route->Prefix;
    Response["idempotent"] = isIdempotent(*Route, Method, Path);
    Response["timeout_ms"] = Route->Timeout.count();
  }
  Response["pool"] = Pool;
  Response["config_version"] = Config->Version;
  Response["candidates"] = json::array();
  const time_point Now = steady_clock::now();
  for (const upstream_status &Upstream : Options.Directory->status()) {
    if (Upstream.Pool != Pool)
      continue;
    const std::string Reason = ineligibleReason(Upstream);
    json Candidate = upstreamJson(Upstream);
    Candidate["eligible"] = Reason.empty();
    Candidate["reason"] = Reason;
    Candidate["predicted_ms"] =
        Options.Dispatcher->predictMsOn(Upstream.View, 1, Now);
    Response["candidates"].push_back(std::move(Candidate));
  }
  return jsonReply(Response);
}

http_reply operator_pages::trace(const std::string &RequestId) const {
  const auto Events = Options.Trace->find(RequestId);
  if (!Events)
    return errorReply(input_error(404, "unknown_request", "id",
                                  "the id of one of the last 4096 requests "
                                  "that were dispatched"));
  json Response = {{"id", RequestId}, {"events", json::array()}};
  for (const trace_event &Event : *Events) {
    const auto Elapsed = std::chrono::duration<double, std::milli>(
        Event.Time - Events->front().Time);
    Response["events"].push_back({{"ms", Elapsed.count()},
                                  {"event", Event.Event},
                                  {"detail", Event.Detail}});
  }
  return jsonReply(Response);
}

} // namespace cardamom
