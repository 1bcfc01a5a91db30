/// \file
/// The daemon; --role selects what it runs.
///
/// Exit codes: 0 after a graceful shutdown, 1 for a runtime failure (such as a
/// port in use), 2 for an invalid setting. A second SIGTERM or SIGINT
/// terminates an entry or agent immediately with exit code 3.

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
/// Interval at which a draining process logs what it is waiting for.
constexpr milliseconds DrainLogInterval{5000};

sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}

/// Calls Task on the loop for SIGTERM, SIGINT and SIGHUP, including signals
/// that are pending because they were blocked.
void installSignalHandler(event_loop &Loop, std::function<void(int)> Task) {
  Loop.onSignals({SIGTERM, SIGINT, SIGHUP}, std::move(Task));
  sigset_t Set = stopSignals();
  sigaddset(&Set, SIGHUP);
  pthread_sigmask(SIG_UNBLOCK, &Set, nullptr);
}

/// Waits for SIGTERM or SIGINT on a dedicated thread. Both must be blocked in
/// all threads. A second signal terminates the process.
class stop_signal_waiter {
public:
  explicit stop_signal_waiter(std::function<void()> OnStop)
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

/// Runs Drain on another thread. Until it returns, periodically logs the result
/// of WaitingFor: the work that Drain is waiting for.
void drainAndLog(const std::function<void()> &Drain,
                 const std::function<std::string()> &WaitingFor) {
  std::future<void> Done = std::async(std::launch::async, Drain);
  while (Done.wait_for(DrainLogInterval) != std::future_status::ready)
    logInfo("draining", {{"waiting_for", WaitingFor()}});
  Done.get();
  logInfo("stopped");
}

int runEntry(const daemon_settings &Settings) {
  entry Entry({.Name = Settings.Name,
               .Incarnation = randomIncarnation(),
               .FailureDomain = Settings.FailureDomain,
               .Build = Build,
               .InnerListen = Settings.InnerListen,
               .HttpListen = Settings.HttpListen,
               .StoreAddress = Settings.Store,
               .SeedPeers = Settings.SeedPeers,
               .LeaseDuration = Settings.Lease,
               .DrainNotice = Settings.DrainNotice,
               .MaxBodyBytes = Settings.MaxBodyBytes,
               .HttpThreads = Settings.HttpThreads,
               .StragglerMoves = Settings.StragglerMoves});
  Entry.start();
  stop_signal_waiter Stop([] {});
  Stop.waitUntilRequested();
  drainAndLog([&] { Entry.drain(); }, [&] { return Entry.waitingFor(); });
  return 0;
}

int runAgent(const daemon_settings &Settings) {
  const ip_port Inner = parseIpPort(Settings.InnerListen).value();
  agent Agent({.Name = Settings.Name,
               .Incarnation = randomIncarnation(),
               .FailureDomain = Settings.FailureDomain,
               .Build = Build,
               .InnerHost = Inner.Ip,
               .InnerPort = Inner.Port,
               .UpstreamAddress = Settings.Upstream,
               .StoreAddress = Settings.Store,
               .OrderPort = Settings.OrderPort,
               .SeedPeers = Settings.SeedPeers,
               .MaxTotalResponseBytes = Settings.RetainedAnswerBytes});
  stop_signal_waiter Stop([&] { Agent.interruptStart(); });
  if (!Agent.start())
    return 0;
  std::unique_ptr<agent_http> Http;
  if (!Settings.HttpListen.empty()) {
    const ip_port Address = parseIpPort(Settings.HttpListen).value();
    Http = std::make_unique<agent_http>(Agent, Address.Ip, Address.Port);
  }
  Stop.waitUntilRequested();
  drainAndLog([&] { Agent.stop(); }, [&] { return Agent.waitingFor().dump(); });
  return 0;
}

int runGateway(const daemon_settings &Settings) {
  event_loop Loop;
  http_client Client(Loop, {});
  platform::store_transport Store(Client, Settings.Store,
                                  DefaultStoreCallTimeout);
  gateway Gateway(
      Loop, Client,
      {.Name = Settings.Name,
       .FailureDomain = Settings.FailureDomain,
       .CallerListen = Settings.HttpListen,
       .ReadyListen = Settings.ReadyListen,
       .InnerListen = Settings.InnerListen,
       .MetricsListen = Settings.MetricsListen,
       .Protocols = platform::makeProtocols(),
       .SendToStore =
           [&Store](const object_request &Request, object_callback Done) {
             Store.send(Request, std::move(Done));
           },
       .LeaseLength = Settings.Lease,
       .DrainNotice = Settings.DrainNotice,
       .StopTimeout = Settings.StopTimeout,
       .Cores = Settings.Cores,
       .ReplicaRemovalBound = Settings.LeaveBound,
       .ConfigApplyBound = Settings.ConfigBound,
       .ControlApi = Settings.ControlApi,
       .UsageWindow = Settings.UsageWindow,
       .KeyRevocationBound = Settings.RevocationBound});
  installSignalHandler(Loop, [&](int Signal) {
    logInfo("signal", {{"number", std::to_string(Signal)}});
    // SIGHUP does not reload anything: settings come from flags and environment
    // variables, which do not change while the process runs.
    if (Signal != SIGHUP)
      Gateway.stop();
  });
  Gateway.start();
  logInfo("started",
          {{"callers", Settings.HttpListen}, {"inner", Settings.InnerListen}});
  Loop.run();
  return 0;
}

int runReserve(const daemon_settings &Settings) {
  event_loop Loop;
  http_client Client(Loop, {});
  platform::store_transport Store(Client, Settings.Store,
                                  DefaultStoreCallTimeout);
  async_store_client StoreClient(
      Loop, {.Send =
                 [&Store](const object_request &Request, object_callback Done) {
                   Store.send(Request, std::move(Done));
                 },
             .Probe = {.Op = object_op::Get,
                       .Kind = std::string(CheckpointServerKind),
                       .Name = Settings.Name},
             .OnReachabilityChange =
                 [](bool Reachable, const std::string &Detail) {
                   logInfo(Reachable ? "store_back" : "store_lost",
                           {{"detail", Detail}});
                 }});
  checkpoint_server Server(Loop, StoreClient,
                           {.Name = Settings.Name,
                            .FailureDomain = Settings.FailureDomain,
                            .Listen = Settings.InnerListen,
                            .DataDir = Settings.DataDir});
  installSignalHandler(Loop, [&](int Signal) {
    logInfo("signal", {{"number", std::to_string(Signal)}});
    if (Signal != SIGHUP)
      Loop.stop();
  });
  if (!Settings.InnerListen.empty())
    Server.start();
  logInfo("started",
          {{"inner", Settings.InnerListen}, {"data_dir", Settings.DataDir}});
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
  // Signals stay pending until the role can handle them; otherwise an early one
  // would terminate the process.
  sigset_t Set = stopSignals();
  sigaddset(&Set, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  // Starts the log writer thread, which must inherit the signal mask.
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
