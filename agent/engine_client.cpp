#include "agent/engine_client.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace cardamom {

using json = nlohmann::json;

engine_client::engine_client(engine_client_options Options)
    : Options(std::move(Options)) {}

static httplib::Client makeHttpClient(const engine_client_options &Options) {
  httplib::Client Client("http://" + Options.Address);
  Client.set_connection_timeout(Options.Timeout);
  Client.set_read_timeout(Options.Timeout);
  Client.set_write_timeout(Options.Timeout);
  Client.set_tcp_nodelay(true);
  return Client;
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
  const auto Result = makeHttpClient(Options).Get("/status");
  if (!Result || Result->status != 200)
    return std::nullopt;
  try {
    const json Body = json::parse(Result->body);
    const auto State = parseState(Body.at("state").get<std::string>());
    if (!State)
      return std::nullopt;
    return engine_status{Body.at("model").get<std::string>(),
                         Body.at("version").get<uint64_t>(), *State};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

order_result engine_client::sendOrder(const weight_order &Order,
                                      uint64_t FencingToken) const {
  const json Body = {{"model", Order.Model},
                     {"version", Order.Version},
                     {"source", Order.Source},
                     {"fence", FencingToken}};
  const auto Result = makeHttpClient(Options).Post(
      "/orders/load_weights", Body.dump(), "application/json");
  if (!Result)
    return order_result::Unknown;
  if (Result->status == 409)
    return order_result::StaleFencingToken;
  return Result->status == 202 ? order_result::Accepted : order_result::Unknown;
}

bool engine_client::cancel(std::string_view RequestId) const {
  const json Body = {{"request_id", std::string(RequestId)}};
  const auto Result =
      makeHttpClient(Options).Post("/cancel", Body.dump(), "application/json");
  return Result && Result->status == 200;
}

} // namespace cardamom
