/// \file
/// The daemon, in the role that --role says.
///
/// Exit codes: 0 after a graceful shutdown, 1 for a failure at run time (such
/// as a port in use), 2 for a refused setting. A second SIGTERM ends the
/// process at once with 3.

#include "agent/agent.h"
#include "agent/agent_http.h"
#include "base/identifier.h"
#include "base/log.h"
#include "entry/entry.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "jobs/checkpoint_server.h"
#include "platform/protocols.h"
#include "platform/store_transport.h"
#include "server/gateway.h"
#include "settings/daemon_settings.h"
#include "store/async_store_client.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>
#include <pthread.h>
#include <random>
#include <thread>

namespace cardamom {
namespace {

constexpr const char *Build = "0.1";
constexpr int ExitRunTimeFailure = 1;
constexpr int ExitSecondSignal = 3;
/// How often a draining process logs what it waits for.
constexpr milliseconds DrainLogInterval{5000};

sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}

/// Handles pending and later signals on the loop.
void takeSignals(event_loop &Loop, std::function<void(int)> Task) {
  Loop.onSignals({SIGTERM, SIGINT, SIGHUP}, std::move(Task));
  sigset_t Set = stopSignals();
  sigaddset(&Set, SIGHUP);
  pthread_sigmask(SIG_UNBLOCK, &Set, nullptr);
}

/// Waits for SIGTERM or SIGINT on a thread of its own. Both must be blocked in
/// every thread.
class stop_signal {
public:
  explicit stop_signal(std::function<void()> OnStop)
      : Requested(Promise.get_future()),
        Thread([this, OnStop = std::move(OnStop)] { wait(OnStop); }) {
    Thread.detach();
  }

  void waitUntilRequested() { Requested.wait(); }

private:
  void wait(const std::function<void()> &OnStop) {
    const sigset_t Set = stopSignals();
    int Signal = 0;
    sigwait(&Set, &Signal);
    logInfo("shutdown_requested", {{"signal", std::to_string(Signal)}});
    OnStop();
    Promise.set_value();
    sigwait(&Set, &Signal);
    logError("shutdown_forced", {{"signal", std::to_string(Signal)}});
    flushLog();
    std::_Exit(ExitSecondSignal);
  }

  std::promise<void> Promise;
  std::future<void> Requested;
  std::thread Thread;
};

uint64_t randomIncarnation() {
  std::random_device Device;
  uint64_t Value = 0;
  while (Value == 0)
    Value = (uint64_t(Device()) << 32) | Device();
  return Value;
}

/// Runs Drain and logs, until it has returned, what it waits for.
void drainAndLog(const std::function<void()> &Drain,
                 const std::function<std::string()> &WaitingFor) {
  std::future<void> Done = std::async(std::launch::async, Drain);
  while (Done.wait_for(DrainLogInterval) != std::future_status::ready)
    logInfo("draining", {{"waiting_for", WaitingFor()}});
  Done.get();
  logInfo("stopped");
}

int runEntry(const daemon_settings &S) {
  entry Entry({.Name = S.Name,
               .Incarnation = randomIncarnation(),
               .FailureDomain = S.FailureDomain,
               .Build = Build,
               .InnerListen = S.InnerListen,
               .HttpListen = S.HttpListen,
               .StoreAddress = S.Store,
               .SeedPeers = S.SeedPeers,
               .LeaseDuration = S.Lease,
               .DrainNotice = S.DrainNotice,
               .MaxBodyBytes = S.MaxBodyBytes,
               .HttpThreads = S.HttpThreads,
               .StragglerMoves = S.StragglerMoves});
  Entry.start();
  stop_signal Stop([] {});
  Stop.waitUntilRequested();
  drainAndLog([&] { Entry.drain(); }, [&] { return Entry.waitingFor(); });
  return 0;
}

int runAgent(const daemon_settings &S) {
  const ip_port Inner = parseIpPort(S.InnerListen).value();
  agent Agent({.Name = S.Name,
               .Incarnation = randomIncarnation(),
               .FailureDomain = S.FailureDomain,
               .Build = Build,
               .InnerHost = Inner.Ip,
               .InnerPort = Inner.Port,
               .UpstreamAddress = S.Upstream,
               .StoreAddress = S.Store,
               .OrderPort = S.OrderPort,
               .SeedPeers = S.SeedPeers,
               .MaxTotalResponseBytes = S.RetainedAnswerBytes});
  stop_signal Stop([&] { Agent.interruptStart(); });
  if (!Agent.start())
    return 0;
  std::unique_ptr<agent_http> Http;
  if (!S.HttpListen.empty()) {
    const ip_port Address = parseIpPort(S.HttpListen).value();
    Http = std::make_unique<agent_http>(Agent, Address.Ip, Address.Port);
  }
  Stop.waitUntilRequested();
  drainAndLog([&] { Agent.stop(); }, [&] { return Agent.waitingFor().dump(); });
  return 0;
}

/// Calls to the store other than watches answer within milliseconds.
constexpr milliseconds StoreCallTimeout{600};

int runGateway(const daemon_settings &S) {
  event_loop Loop;
  http_client Client(Loop, {});
  platform::store_transport Store(Client, S.Store, StoreCallTimeout);
  gateway Gateway(
      Loop, Client,
      {.Name = S.Name,
       .FailureDomain = S.FailureDomain,
       .CallerListen = S.HttpListen,
       .ReadyListen = S.ReadyListen,
       .InnerListen = S.InnerListen,
       .MetricsListen = S.MetricsListen,
       .Protocols = platform::makeProtocols(),
       .SendToStore =
           [&Store](const object_request &Request, object_callback Done) {
             Store.send(Request, std::move(Done));
           },
       .LeaseLength = S.Lease,
       .DrainNotice = S.DrainNotice,
       .StopTimeout = S.StopTimeout,
       .Cores = S.Cores,
       .ReplicaRemovalBound = S.LeaveBound});
  takeSignals(Loop, [&](int Signal) {
    logInfo("signal", {{"number", std::to_string(Signal)}});
    // Settings are flags and environment variables, which do not change
    // while the process runs.
    if (Signal != SIGHUP)
      Gateway.stop();
  });
  Gateway.start();
  logInfo("started", {{"callers", S.HttpListen}, {"inner", S.InnerListen}});
  Loop.run();
  return 0;
}

int runReserve(const daemon_settings &S) {
  event_loop Loop;
  http_client Client(Loop, {});
  platform::store_transport Store(Client, S.Store, StoreCallTimeout);
  async_store_client Link(
      Loop, {.Send =
                 [&Store](const object_request &Request, object_callback Done) {
                   Store.send(Request, std::move(Done));
                 },
             .Probe = {.Op = object_op::Get,
                       .Kind = std::string(CheckpointServerKind),
                       .Name = S.Name},
             .OnReachabilityChange =
                 [](bool Reachable, const std::string &Detail) {
                   logInfo(Reachable ? "store_back" : "store_lost",
                           {{"detail", Detail}});
                 }});
  checkpoint_server Keeper(Loop, Link,
                           {.Name = S.Name,
                            .FailureDomain = S.FailureDomain,
                            .Listen = S.InnerListen,
                            .DataDir = S.DataDir});
  takeSignals(Loop, [&](int Signal) {
    logInfo("signal", {{"number", std::to_string(Signal)}});
    if (Signal != SIGHUP)
      Loop.stop();
  });
  if (!S.InnerListen.empty())
    Keeper.start();
  logInfo("started", {{"inner", S.InnerListen}, {"data_dir", S.DataDir}});
  Loop.run();
  return 0;
}

int runRole(const daemon_settings &Settings) {
  switch (Settings.Role) {
  case daemon_role::Entry:
    return runEntry(Settings);
  case daemon_role::Agent:
    return runAgent(Settings);
  case daemon_role::Gateway:
    return runGateway(Settings);
  case daemon_role::Reserve:
    break;
  }
  return runReserve(Settings);
}

int run(const daemon_settings &Settings) {
  std::signal(SIGPIPE, SIG_IGN);
  // A signal that comes before the role can handle it must not end the process.
  sigset_t Set = stopSignals();
  sigaddset(&Set, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  // Starts the log's writer, which must inherit the mask.
  initLog(Settings.Name, Settings.LogLevel);
  try {
    return runRole(Settings);
  } catch (const std::exception &Error) {
    logError("failed", {{"error", Error.what()}});
    return ExitRunTimeFailure;
  }
}

} // namespace
} // namespace cardamom

int main(int Argc, char **Argv) {
  const cardamom::parse_result Result =
      cardamom::parseDaemonSettings({Argv, size_t(Argc)});
  if (!Result.Run) {
    (Result.ExitCode == 0 ? std::cout : std::cerr) << Result.Text;
    return Result.ExitCode;
  }
  const int ExitCode = cardamom::run(Result.Settings);
  cardamom::flushLog();
  return ExitCode;
}
