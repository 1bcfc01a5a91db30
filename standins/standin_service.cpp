/// \file
/// Emulator of a plain service: an upstream that is not a model engine, such as
/// the counter or booking application.

#include "standins/clock.h"
#include "standins/http_server.h"
#include "standins/run_counts.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <mutex>
#include <thread>

namespace standins {

namespace {

using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr size_t MaxAnswerBytes = 16 << 20;

std::string requestId(const json &Body) {
  if (!Body.is_object() || !Body.contains("id"))
    return "";
  const json &Id = Body["id"];
  return Id.is_string() ? Id.get<std::string>() : Id.dump();
}

class service_server {
public:
  service_server(std::string Name, int DelayMs)
      : Name(std::move(Name)), DelayMs(DelayMs) {
    auto Handler = [this](const Request &Req, Response &Res) {
      handleCall(Req, Res);
    };
    httplib::Server &Routes = Http.routes();
    Routes.Get("/admin/runs", [this](const Request &, Response &Res) {
      std::lock_guard Lock(Mutex);
      respondJson(Res, 200, {{"runs", Runs.byId()}, {"total", Runs.total()}});
    });
    Routes.Post("/admin", [this](const Request &Req, Response &Res) {
      handleAdmin(Req, Res);
    });
    const char *AnyPath = R"([\s\S]*)";
    Routes.Get(AnyPath, Handler);
    Routes.Post(AnyPath, Handler);
    Routes.Put(AnyPath, Handler);
    Routes.Patch(AnyPath, Handler);
    Routes.Delete(AnyPath, Handler);
    Routes.Options(AnyPath, Handler);
  }

  http_server Http;

private:
  /// A run is counted as soon as its request was received, whether or not the
  /// response reaches the client.
  void handleCall(const Request &Req, Response &Res) {
    json Body = json::parse(Req.body, nullptr, false);
    uint64_t Run = 0;
    {
      std::lock_guard Lock(Mutex);
      Run = Runs.add(requestId(Body));
    }
    if (int Delay = DelayMs)
      std::this_thread::sleep_for(milliseconds(Delay));
    json Result = {{"service", Name},
                   {"method", Req.method},
                   {"path", Req.target},
                   {"run", Run},
                   {"key", Req.get_header_value("Idempotency-Key")}};
    padResponse(Result, Body);
    respondJson(Res, 200, Result);
  }

  static void padResponse(json &Result, const json &Body) {
    if (!Body.is_object() || !Body.contains("answer_bytes") ||
        !Body["answer_bytes"].is_number_unsigned())
      return;
    size_t RequestedBytes =
        std::min(Body["answer_bytes"].get<size_t>(), MaxAnswerBytes);
    Result["padding"] = "";
    size_t UnpaddedBytes = Result.dump().size();
    if (RequestedBytes > UnpaddedBytes)
      Result["padding"] = std::string(RequestedBytes - UnpaddedBytes, 'x');
  }

  void handleAdmin(const Request &Req, Response &Res) {
    json Settings = parseJsonBody(Req, Res);
    if (Settings.is_null())
      return;
    try {
      DelayMs = Settings.value("delay_ms", DelayMs.load());
    } catch (const json::exception &Error) {
      return respondJson(Res, 400, {{"reason", Error.what()}});
    }
    respondJson(Res, 200, json::object());
  }

  std::string Name;
  std::atomic<int> DelayMs;
  std::mutex Mutex;
  run_counts Runs;
};

} // namespace

} // namespace standins

int main(int Argc, char **Argv) {
  CLI::App App("Emulator of a plain service");
  standins::server_options Server;
  std::string Name = "service";
  int DelayMs = 0;
  standins::addServerFlags(App, Server);
  App.add_option("--name", Name, "service name in the responses")
      ->capture_default_str();
  App.add_option("--delay-ms", DelayMs, "duration of each run")
      ->capture_default_str();
  CLI11_PARSE(App, Argc, Argv);
  standins::service_server Emulator(Name, DelayMs);
  return Emulator.Http.run(Server);
}
