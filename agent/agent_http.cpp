#include "agent/agent_http.h"

#include "agent/agent.h"
#include "base/metrics.h"

#include <cerrno>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <system_error>
#include <thread>

namespace cardamom {

// Few threads suffice: only operators and metric scrapers use this server.
static constexpr size_t Threads = 4;

struct agent_http::state {
  httplib::Server Server;
  std::thread Thread;
};

agent_http::agent_http(const agent &Agent, const std::string &Host,
                       uint16_t Port)
    : State(std::make_unique<state>()) {
  httplib::Server &Server = State->Server;
  Server.new_task_queue = [] { return new httplib::ThreadPool(Threads); };
  Server.set_tcp_nodelay(true);
  Server.Get("/healthz", [](const httplib::Request &, httplib::Response &R) {
    R.set_content("ok\n", "text/plain");
  });
  Server.Get("/readyz",
             [&Agent](const httplib::Request &, httplib::Response &R) {
               const nlohmann::json Status = Agent.status();
               const bool Ready =
                   Status.value("config_version", 0) > 0 && !Agent.draining();
               R.status = Ready ? 200 : 503;
               R.set_content(Ready ? "ready\n" : "not ready\n", "text/plain");
             });
  Server.Get("/metrics", [](const httplib::Request &, httplib::Response &R) {
    R.set_content(metrics::get().toPrometheusText(),
                  "text/plain; version=0.0.4");
  });
  Server.Get("/status",
             [&Agent](const httplib::Request &, httplib::Response &R) {
               R.set_content(Agent.status().dump(), "application/json");
             });
  if (!Server.bind_to_port(Host, Port))
    throw std::system_error(errno, std::generic_category(),
                            "cannot listen on " + Host + ":" +
                                std::to_string(Port));
  State->Thread = std::thread([this] { State->Server.listen_after_bind(); });
}

agent_http::~agent_http() {
  // httplib's stop() has no effect until the server loop runs.
  while (!State->Server.is_running() && State->Thread.joinable())
    std::this_thread::yield();
  State->Server.stop();
  State->Thread.join();
}

} // namespace cardamom
