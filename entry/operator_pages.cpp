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

static json upstreamJson(const upstream_status &Row) {
  const upstream_view &View = Row.View;
  return {{"name", View.Name},
          {"pool", Row.Pool},
          {"failure_domain", View.FailureDomain},
          {"address", Row.Address},
          {"connected", View.Connected},
          {"ready", View.Connected && View.Ready},
          {"draining", View.Draining},
          {"avoided", Row.DomainAvoided},
          {"epoch", Row.Epoch},
          {"incarnation", std::to_string(Row.Incarnation)},
          {"slots", View.Slots},
          {"running", View.Running},
          {"queued", View.Queued},
          {"observed_version", View.ObservedVersion},
          {"tokens_per_second", Row.TokensPerSecond},
          {"load_age_ms", Row.LoadAgeMs}};
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
  for (const upstream_status &Row : Options.Directory->status())
    Status["upstreams"].push_back(upstreamJson(Row));
  return jsonReply(Status);
}

// The first reason for which routing passes over an upstream; empty when it is
// eligible.
static std::string ineligibleReason(const upstream_status &Row) {
  if (!Row.View.Connected)
    return "not_connected";
  if (Row.View.Draining)
    return "draining";
  if (!Row.View.Ready)
    return "engine_not_ready";
  if (Row.DomainAvoided)
    return "failure_domain_avoided";
  return {};
}

http_reply operator_pages::explain(const httplib::Request &Request) const {
  const auto Config = Options.Directory->config();
  if (!Config)
    return errorReply(503, {.Certainty = run_certainty::NotRun,
                            .Reason = "configuration_unknown",
                            .Message = "no configuration is known yet"});
  const std::string Path = Request.get_param_value("path");
  const std::string Method =
      Request.has_param("method") ? Request.get_param_value("method") : "GET";
  json Answer = {{"path", Path}, {"method", Method}, {"route", nullptr}};
  std::string Pool = Request.get_param_value("model");
  if (const route_rule *Route = Config->findRoute(Path)) {
    Pool = Route->Pool;
    Answer["route"] = Route->Prefix;
    Answer["idempotent"] = isIdempotent(*Route, Method, Path);
    Answer["timeout_ms"] = Route->Timeout.count();
  }
  Answer["pool"] = Pool;
  Answer["config_version"] = Config->Version;
  Answer["candidates"] = json::array();
  const time_point Now = steady_clock::now();
  for (const upstream_status &Row : Options.Directory->status()) {
    if (Row.Pool != Pool)
      continue;
    const std::string Reason = ineligibleReason(Row);
    json Candidate = upstreamJson(Row);
    Candidate["eligible"] = Reason.empty();
    Candidate["reason"] = Reason;
    Candidate["predicted_ms"] =
        Options.Dispatcher->predictMsOn(Row.View, 1, Now);
    Answer["candidates"].push_back(std::move(Candidate));
  }
  return jsonReply(Answer);
}

http_reply operator_pages::trace(const std::string &RequestId) const {
  const auto Events = Options.Trace->find(RequestId);
  if (!Events)
    return errorReply(input_error(404, "unknown_request", "id",
                                  "the id of one of the last 4096 requests "
                                  "that were dispatched"));
  json Answer = {{"id", RequestId}, {"events", json::array()}};
  for (const trace_event &Event : *Events) {
    const auto Since = std::chrono::duration<double, std::milli>(
        Event.At - Events->front().At);
    Answer["events"].push_back({{"ms", Since.count()},
                                {"event", Event.Event},
                                {"detail", Event.Detail}});
  }
  return jsonReply(Answer);
}

} // namespace cardamom
