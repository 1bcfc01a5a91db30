/// \file
/// Emulator of a plain service, such as the counter or booking application.

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

std::string idOf(const json &Body) {
  if (!Body.is_object() || !Body.contains("id"))
    return "";
  const json &Id = Body["id"];
  return Id.is_string() ? Id.get<std::string>() : Id.dump();
}

class service_server {
public:
  service_server(std::string Name, int DelayMs)
      : Name(std::move(Name)), DelayMs(DelayMs) {
    auto Call = [this](const Request &Call, Response &Answer) {
      serve(Call, Answer);
    };
    httplib::Server &Routes = Http.routes();
    Routes.Get("/admin/runs", [this](const Request &, Response &Answer) {
      std::lock_guard Lock(Mutex);
      respondJson(Answer, 200,
                  {{"runs", Runs.byId()}, {"total", Runs.total()}});
    });
    Routes.Post("/admin", [this](const Request &Call, Response &Answer) {
      control(Call, Answer);
    });
    const char *AnyPath = R"([\s\S]*)";
    Routes.Get(AnyPath, Call);
    Routes.Post(AnyPath, Call);
    Routes.Put(AnyPath, Call);
    Routes.Patch(AnyPath, Call);
    Routes.Delete(AnyPath, Call);
    Routes.Options(AnyPath, Call);
  }

  http_server Http;

private:
  /// A run counts as soon as its request is complete, whether or not the
  /// answer reaches the caller.
  void serve(const Request &Call, Response &Answer) {
    json Body = json::parse(Call.body, nullptr, false);
    uint64_t Run = 0;
    {
      std::lock_guard Lock(Mutex);
      Run = Runs.add(idOf(Body));
    }
    if (int Delay = DelayMs)
      std::this_thread::sleep_for(milliseconds(Delay));
    json Result = {{"service", Name},
                   {"method", Call.method},
                   {"path", Call.target},
                   {"run", Run},
                   {"key", Call.get_header_value("Idempotency-Key")}};
    pad(Result, Body);
    respondJson(Answer, 200, Result);
  }

  static void pad(json &Result, const json &Body) {
    if (!Body.is_object() || !Body.contains("answer_bytes") ||
        !Body["answer_bytes"].is_number_unsigned())
      return;
    size_t Wanted =
        std::min(Body["answer_bytes"].get<size_t>(), MaxAnswerBytes);
    Result["padding"] = "";
    size_t Bare = Result.dump().size();
    if (Wanted > Bare)
      Result["padding"] = std::string(Wanted - Bare, 'x');
  }

  void control(const Request &Call, Response &Answer) {
    json Order = parseJsonBody(Call, Answer);
    if (Order.is_null())
      return;
    try {
      DelayMs = Order.value("delay_ms", DelayMs.load());
    } catch (const json::exception &Error) {
      return respondJson(Answer, 400, {{"reason", Error.what()}});
    }
    respondJson(Answer, 200, json::object());
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
  App.add_option("--name", Name, "name in the answers")->capture_default_str();
  App.add_option("--delay-ms", DelayMs, "time of each run")
      ->capture_default_str();
  CLI11_PARSE(App, Argc, Argv);
  standins::service_server Emulator(Name, DelayMs);
  return Emulator.Http.run(Server);
}
