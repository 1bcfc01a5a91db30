/// \file
/// Emulator of a scoring service.

#include "standins/clock.h"
#include "standins/http_server.h"
#include "standins/token_text.h"

#include <CLI/CLI.hpp>
#include <thread>

namespace standins {

namespace {

/// The score is a pure function of prompt and completion, from 0 to 1.
double score(const std::string &Prompt, const std::string &Completion) {
  constexpr uint64_t Steps = 1000;
  uint64_t Hash = fnv1aHash(Completion, fnv1aHash(Prompt));
  return static_cast<double>(Hash % (Steps + 1)) / Steps;
}

void handleScore(const httplib::Request &Req, httplib::Response &Res,
                 milliseconds Delay) {
  nlohmann::json Body = parseJsonBody(Req, Res);
  if (Body.is_null())
    return;
  try {
    double Score = score(Body.at("prompt").get<std::string>(),
                         Body.at("completion").get<std::string>());
    std::this_thread::sleep_for(Delay);
    respondJson(Res, 200, {{"score", Score}});
  } catch (const nlohmann::json::exception &Error) {
    respondJson(Res, 400, {{"reason", Error.what()}});
  }
}

} // namespace

} // namespace standins

int main(int Argc, char **Argv) {
  CLI::App App("Emulator of a scoring service");
  standins::server_options Server;
  int DelayMs = 0;
  standins::addServerFlags(App, Server);
  App.add_option("--delay-ms", DelayMs, "duration of each call")
      ->capture_default_str();
  CLI11_PARSE(App, Argc, Argv);
  standins::http_server Http;
  Http.routes().Post(
      "/score", [DelayMs](const httplib::Request &Req, httplib::Response &Res) {
        standins::handleScore(Req, Res, standins::milliseconds(DelayMs));
      });
  return Http.run(Server);
}
