#include "agent/engine_client.h"

#include "base/bounded_json.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cardamom {

using json = nlohmann::json;

/// Responses of engines have a few hundred bytes.
static constexpr size_t MaxResponseBytes = size_t(1) << 20;

engine_client::engine_client(engine_client_options Options)
    : Options(std::move(Options)),
      Pool({.Address = this->Options.Address,
            .ConnectTimeout = this->Options.Timeout,
            .MaxBodyBytes = MaxResponseBytes}) {}

pool_result engine_client::get(std::string Target) const {
  return Pool.run({.Method = "GET",
                   .Target = std::move(Target),
                   .Headers = {{"Host", Options.Address}},
                   .Body = {}},
                  Options.Timeout);
}

pool_result engine_client::post(std::string Target, std::string Body) const {
  return Pool.run({.Method = "POST",
                   .Target = std::move(Target),
                   .Headers = {{"Host", Options.Address},
                               {"Content-Type", "application/json"}},
                   .Body = std::move(Body)},
                  Options.Timeout);
}

static std::optional<engine_state> parseState(const std::string &Text) {
  if (Text == "ready")
    return engine_state::Ready;
  if (Text == "loading")
    return engine_state::Loading;
  if (Text == "failed")
    return engine_state::Failed;
  return std::nullopt;
}

std::optional<engine_status> engine_client::status() const {
  const pool_result Call = get("/status");
  if (Call.Result != call_result::Complete || Call.Response.Status != 200)
    return std::nullopt;
  try {
    const json Body = parseBoundedJson(Call.Response.Body);
    const auto State = parseState(Body.at("state").get<std::string>());
    if (!State)
      return std::nullopt;
    return engine_status{Body.at("model").get<std::string>(),
                         Body.at("version").get<uint64_t>(), *State};
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

order_result engine_client::sendOrder(const weight_order &Order,
                                      uint64_t FencingToken) const {
  const json Body = {{"model", Order.Model},
                     {"version", Order.Version},
                     {"source", Order.Source},
                     {"fence", FencingToken}};
  const pool_result Call = post("/orders/load_weights", Body.dump());
  if (Call.Result != call_result::Complete)
    return order_result::Unknown;
  if (Call.Response.Status == 409)
    return order_result::StaleFencingToken;
  return Call.Response.Status == 202 ? order_result::Accepted
                                     : order_result::Unknown;
}

bool engine_client::cancel(std::string_view RequestId) const {
  const json Body = {{"request_id", std::string(RequestId)}};
  const pool_result Call = post("/cancel", Body.dump());
  return Call.Result == call_result::Complete && Call.Response.Status == 200;
}

} // namespace cardamom
