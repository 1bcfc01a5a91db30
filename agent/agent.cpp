#include "agent/agent.h"

#include "agent/agent_state.h"
#include "base/log.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

namespace cardamom {

using json = nlohmann::json;

static constexpr milliseconds StopPollInterval{20};
static constexpr size_t MaxReportedRuns = 20;

agent::state::state(agent_options AgentOptions)
    : Options(std::move(AgentOptions)),
      Table({.MaxRecords = Options.MaxRecords,
             .MaxResponseBytes = Options.MaxResponseBytes,
             .MaxTotalResponseBytes = Options.MaxTotalResponseBytes,
             .OnChange =
                 [this](std::string_view Id) {
                   ResponseStreams.onRunChanged(Id);
                 }}),
      ResponseStreams(Table), Store({.Address = Options.StoreAddress}),
      Engine({.Address = Options.UpstreamAddress}),
      UpstreamClient({.Address = Options.UpstreamAddress,
                      .PlainIdleTimeout = Options.PlainIdleTimeout,
                      .ModelIdleTimeout = Options.ModelIdleTimeout}),
      Ledger({.Agent = Options.Name,
              .Incarnation = Options.Incarnation,
              .Get = [this](std::string_view Key) { return Store.get(Key); },
              .Put =
                  [this](std::string_view Key, std::string_view Value,
                         uint64_t IfVersion) {
                    return Store.put(Key, Value, IfVersion);
                  },
              .WallSeconds = [] { return int64_t(std::time(nullptr)); }}),
      Reconciler(
          {.Upstream = Options.Name,
           .GetStatus = [this] { return Engine.status(); },
           .SendOrder =
               [this](const weight_order &Order, uint64_t FencingToken) {
                 return Engine.sendOrder(Order, FencingToken);
               },
           .Get = [this](std::string_view Key) { return Store.get(Key); },
           .Put =
               [this](std::string_view Key, std::string_view Value,
                      uint64_t IfVersion) {
                 return Store.put(Key, Value, IfVersion);
               },
           .OnChange = [this] { requestHeartbeat(false); }}),
      Documents(
          {.Name = Options.Name, .OnChange = [this] { onDocumentsChanged(); }}),
      Executor({.Table = &Table,
                .Client = &UpstreamClient,
                .Ledger = &Ledger,
                .Admission = {.QueueCapacities = Options.QueueCapacities},
                .GetEngine = [this] { return Reconciler.observed(); },
                .OnEngineFailure = [this] { Reconciler.markUnknown(); },
                .OnLoadChange = [this] { requestHeartbeat(false); }}),
      PauseGuard(steady_clock::now()) {}

peer_identity agent::state::selfIdentity() const {
  return {.Name = Options.Name,
          .Incarnation = Options.Incarnation,
          .FailureDomain = Options.FailureDomain,
          .Build = Options.Build,
          .Role = "agent"};
}

void agent::state::startSeedClient() {
  if (Options.SeedPeers.empty())
    return;
  SeedClient = std::make_unique<inner_client>(inner_client_options{
      .Self = selfIdentity(),
      .OnPeerUp =
          [this](std::string_view Address, const peer_identity &, uint64_t) {
            SeedClient->sendControl(Address, makeHeartbeat());
          },
      .OnControl =
          [this](std::string_view Address, const peer_identity &,
                 const wire::control_frame &Frame) {
            for (const auto &Reply : Documents.exchange().handleFrame(Frame))
              SeedClient->sendControl(Address, Reply);
          }});
  SeedClient->start();
  for (const std::string &Address : Options.SeedPeers)
    SeedClient->addPeer(Address);
}

bool agent::state::start() {
  if (!OrderPortLock.acquire(Options.OrderPort, StartInterrupted))
    return false;
  Server = std::make_unique<inner_server>(inner_server_options{
      .Host = Options.InnerHost,
      .Port = Options.InnerPort,
      .Self = selfIdentity(),
      .OnRequest =
          [this](std::shared_ptr<server_stream> Stream, std::string_view Path,
                 std::string_view Message) {
            onRequest(std::move(Stream), Path, Message);
          },
      .OnControl =
          [this](const peer_identity &Peer, const wire::control_frame &Frame) {
            onControl(Frame);
            for (const auto &Reply : Documents.exchange().handleFrame(Frame))
              Server->sendControl(Peer, Reply);
          },
      .OnPeerUp =
          [this](const peer_identity &Peer, uint64_t) {
            Server->sendControl(Peer, makeHeartbeat());
          }});
  Executor.start();
  Server->start();
  Started = true;
  startSeedClient();
  PauseGuard.onTick(steady_clock::now());
  TickThread = std::thread([this] { tickLoop(); });
  return true;
}

void agent::state::close() {
  if (!std::exchange(Started, false))
    return;
  {
    std::lock_guard Lock(TickMutex);
    TickStopping = true;
  }
  TickCondition.notify_all();
  TickThread.join();
  if (SeedClient)
    SeedClient->stop();
  Reconciler.stop();
  Executor.stop();
  Server->stop();
  // Released last, because the next agent process starts as soon as the port is
  // free.
  OrderPortLock.release();
}

void agent::state::onDocumentsChanged() {
  const auto Settings = Documents.settings();
  if (Settings->Asset)
    Executor.setSlots(Settings->Asset->Concurrency);
  if (Settings->Config)
    Reconciler.setChecksFence(Settings->ChecksFence);
  if (Settings->Weights)
    Reconciler.setTarget(*Settings->Weights);
  const bool Drain = Settings->Retiring || Settings->VmLeaving;
  if (std::exchange(DrainByDocuments, Drain) != Drain)
    logInfo(Drain ? "drain_started" : "drain_ended",
            {{"reason", Settings->Retiring    ? "retiring"
                        : Settings->VmLeaving ? "vm_leaving"
                                              : "configuration"}});
  requestHeartbeat(true);
}

std::vector<std::string> agent::state::drainReasons() const {
  std::vector<std::string> Reasons;
  const auto Settings = Documents.settings();
  if (DrainRequested)
    Reasons.emplace_back("stopping");
  if (Settings->Retiring)
    Reasons.emplace_back("retiring");
  if (Settings->VmLeaving)
    Reasons.emplace_back("vm_leaving");
  return Reasons;
}

agent::agent(agent_options Options)
    : State(std::make_unique<state>(std::move(Options))) {}

agent::~agent() { State->close(); }

bool agent::start() { return State->start(); }

void agent::interruptStart() { State->StartInterrupted = true; }

void agent::drain() {
  if (State->DrainRequested.exchange(true))
    return;
  logInfo("drain_started", {{"reason", "stopping"}});
  State->requestHeartbeat(true);
}

bool agent::stop() {
  interruptStart();
  drain();
  run_table &Table = State->Table;
  while (Table.unfinishedCount() > 0)
    std::this_thread::sleep_for(StopPollInterval);
  const time_point Deadline = steady_clock::now() + State->Options.AckTimeout;
  while (Table.unacknowledgedCount() > 0 && steady_clock::now() < Deadline)
    std::this_thread::sleep_for(StopPollInterval);
  const size_t Unacknowledged = Table.unacknowledgedCount();
  logInfo("stopped", {{"unacknowledged", std::to_string(Unacknowledged)}});
  State->close();
  return Unacknowledged == 0;
}

uint16_t agent::port() const {
  return State->Server ? State->Server->port() : 0;
}

bool agent::draining() const { return !State->drainReasons().empty(); }

json agent::waitingFor() const {
  std::vector<std::string> Runs = State->Executor.activeRunIds();
  Runs.resize(std::min(Runs.size(), MaxReportedRuns));
  return {{"runs", State->Table.unfinishedCount()},
          {"answers", State->Table.unacknowledgedCount()},
          {"run_ids", Runs}};
}

static std::string toHex(uint64_t Value) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Value));
  return Text;
}

static const char *toString(engine_state State) {
  switch (State) {
  case engine_state::Ready:
    return "ready";
  case engine_state::Loading:
    return "loading";
  case engine_state::Failed:
    break;
  }
  return "failed";
}

static json loadReportJson(const wire::load_report &Load) {
  return {{"running", Load.running()},
          {"queued_live", Load.queued_live()},
          {"queued_trainer_first", Load.queued_trainer_first()},
          {"queued_trainer_second", Load.queued_trainer_second()},
          {"slots", Load.slots()},
          {"ready", Load.ready()},
          {"tokens_per_second", Load.tokens_per_second()},
          {"service_ms", Load.service_ms()}};
}

static json engineJson(const weight_reconciler &Reconciler) {
  const observed_engine Observed = Reconciler.observed();
  json Engine = {{"known", Observed.StatusKnown},
                 {"ready", Observed.Ready},
                 {"model", Observed.Status.Model},
                 {"version", Observed.Status.Version},
                 {"state", toString(Observed.Status.State)},
                 {"fence", Reconciler.fencingToken()}};
  if (const auto Target = Reconciler.target())
    Engine["target"] = {{"model", Target->Model},
                        {"version", Target->Version},
                        {"source", Target->Source}};
  return Engine;
}

json agent::status() const {
  const auto Settings = State->Documents.settings();
  const wire::load_report Load = State->makeLoadReport();
  json Status = {{"role", "agent"},
                 {"name", State->Options.Name},
                 {"incarnation", toHex(State->Options.Incarnation)},
                 {"failure_domain", State->Options.FailureDomain},
                 {"config_version", Settings->version()},
                 {"in_inventory", Settings->Asset.has_value()},
                 {"draining", Load.draining()},
                 {"drain_reasons", State->drainReasons()},
                 {"waiting_for", waitingFor()},
                 {"observed_version", Load.observed_version()},
                 {"load", loadReportJson(Load)},
                 {"records", State->Table.recordCount()},
                 {"answer_bytes", State->Table.responseBytes()}};
  if (Settings->Asset && Settings->Asset->Kind == asset_kind::Model)
    Status["engine"] = engineJson(State->Reconciler);
  json Peers = json::array();
  if (State->Server)
    for (const peer_identity &Peer : State->Server->peers())
      Peers.push_back(Peer.Name);
  Status["peers"] = std::move(Peers);
  return Status;
}

} // namespace cardamom
