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

static constexpr milliseconds StopPoll{20};
static constexpr size_t ListedRuns = 20;

agent::state::state(agent_options Given)
    : Options(std::move(Given)),
      Table({.MaxRecords = Options.MaxRecords,
             .MaxAnswerBytes = Options.MaxAnswerBytes,
             .MaxTotalBytes = Options.MaxTotalAnswerBytes,
             .OnChange = [this](std::string_view Id) { Streams.wake(Id); }}),
      Streams(Table), Store({.Address = Options.StoreAddress}),
      Engine({.Address = Options.UpstreamAddress}),
      Driver({.Address = Options.UpstreamAddress,
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
      Orders({.Upstream = Options.Name,
              .Status = [this] { return Engine.status(); },
              .Order =
                  [this](const weight_order &Order, uint64_t Fence) {
                    return Engine.order(Order, Fence);
                  },
              .Get = [this](std::string_view Key) { return Store.get(Key); },
              .Put =
                  [this](std::string_view Key, std::string_view Value,
                         uint64_t IfVersion) {
                    return Store.put(Key, Value, IfVersion);
                  },
              .OnChange = [this] { requestHeartbeat(false); }}),
      Documents({.Name = Options.Name, .OnChange = [this] { onDocuments(); }}),
      Executor({.Table = &Table,
                .Driver = &Driver,
                .Ledger = &Ledger,
                .Admission = {.QueueCapacities = Options.QueueBounds},
                .Observed = [this] { return Orders.observed(); },
                .OnEngineFailure = [this] { Orders.markUnknown(); },
                .OnLoadChange = [this] { requestHeartbeat(false); }}),
      Guard(steady_clock::now()) {}

peer_identity agent::state::self() const {
  return {.Name = Options.Name,
          .Incarnation = Options.Incarnation,
          .FailureDomain = Options.FailureDomain,
          .Build = Options.Build,
          .Role = "agent"};
}

void agent::state::startSeeds() {
  if (Options.SeedPeers.empty())
    return;
  Seeds = std::make_unique<inner_client>(inner_client_options{
      .Self = self(),
      .OnPeerUp =
          [this](std::string_view Address, const peer_identity &, uint64_t) {
            Seeds->sendControl(Address, makeHeartbeat());
          },
      .OnControl =
          [this](std::string_view Address, const peer_identity &,
                 const wire::control_frame &Frame) {
            for (const auto &Reply : Documents.exchange().handle(Frame))
              Seeds->sendControl(Address, Reply);
          }});
  Seeds->start();
  for (const std::string &Address : Options.SeedPeers)
    Seeds->addPeer(Address);
}

bool agent::state::start() {
  if (!Port.acquire(Options.OrderPort, StartInterrupted))
    return false;
  Server = std::make_unique<inner_server>(inner_server_options{
      .Host = Options.InnerHost,
      .Port = Options.InnerPort,
      .Self = self(),
      .OnRequest =
          [this](std::shared_ptr<server_stream> Stream, std::string_view Path,
                 std::string_view Message) {
            onRequest(std::move(Stream), Path, Message);
          },
      .OnControl =
          [this](const peer_identity &Peer, const wire::control_frame &Frame) {
            onControl(Frame);
            for (const auto &Reply : Documents.exchange().handle(Frame))
              Server->sendControl(Peer, Reply);
          },
      .OnPeerUp =
          [this](const peer_identity &Peer, uint64_t) {
            Server->sendControl(Peer, makeHeartbeat());
          }});
  Executor.start();
  Server->start();
  Started = true;
  startSeeds();
  Guard.onTick(steady_clock::now());
  Ticker = std::thread([this] { tickLoop(); });
  return true;
}

void agent::state::close() {
  if (!std::exchange(Started, false))
    return;
  {
    std::lock_guard Lock(TickMutex);
    TickStopping = true;
  }
  TickWake.notify_all();
  Ticker.join();
  if (Seeds)
    Seeds->stop();
  Orders.stop();
  Executor.stop();
  Server->stop();
  // Last: a successor starts when the port is free.
  Port.release();
}

void agent::state::onDocuments() {
  const auto Settings = Documents.settings();
  if (Settings->Asset)
    Executor.setSlots(Settings->Asset->Concurrency);
  if (Settings->Config)
    Orders.setChecksFence(Settings->ChecksFence);
  if (Settings->Weights)
    Orders.setTarget(*Settings->Weights);
  const bool Drain = Settings->Retiring || Settings->VmLeaving;
  if (std::exchange(DocumentsDrain, Drain) != Drain)
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
  while (Table.unfinished() > 0)
    std::this_thread::sleep_for(StopPoll);
  const time_point Limit = steady_clock::now() + State->Options.AckWait;
  while (Table.unacknowledged() > 0 && steady_clock::now() < Limit)
    std::this_thread::sleep_for(StopPoll);
  const size_t Left = Table.unacknowledged();
  logInfo("stopped", {{"unacknowledged", std::to_string(Left)}});
  State->close();
  return Left == 0;
}

uint16_t agent::port() const {
  return State->Server ? State->Server->port() : 0;
}

bool agent::draining() const { return !State->drainReasons().empty(); }

json agent::waitingFor() const {
  std::vector<std::string> Runs = State->Executor.activeRuns();
  Runs.resize(std::min(Runs.size(), ListedRuns));
  return {{"runs", State->Table.unfinished()},
          {"answers", State->Table.unacknowledged()},
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

static json loadJson(const wire::load_report &Load) {
  return {{"running", Load.running()},
          {"queued_live", Load.queued_live()},
          {"queued_trainer_first", Load.queued_trainer_first()},
          {"queued_trainer_second", Load.queued_trainer_second()},
          {"slots", Load.slots()},
          {"ready", Load.ready()},
          {"tokens_per_second", Load.tokens_per_second()},
          {"service_ms", Load.service_ms()}};
}

static json engineJson(const order_giver &Orders) {
  const observed_engine Observed = Orders.observed();
  json Engine = {{"known", Observed.Known},
                 {"ready", Observed.Ready},
                 {"model", Observed.Status.Model},
                 {"version", Observed.Status.Version},
                 {"state", toString(Observed.Status.State)},
                 {"fence", Orders.fence()}};
  if (const auto Target = Orders.target())
    Engine["target"] = {{"model", Target->Model},
                        {"version", Target->Version},
                        {"source", Target->Source}};
  return Engine;
}

json agent::status() const {
  const auto Settings = State->Documents.settings();
  const wire::load_report Load = State->makeLoad();
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
                 {"load", loadJson(Load)},
                 {"records", State->Table.records()},
                 {"answer_bytes", State->Table.bytes()}};
  if (Settings->Asset && Settings->Asset->Kind == asset_kind::Model)
    Status["engine"] = engineJson(State->Orders);
  json Peers = json::array();
  if (State->Server)
    for (const peer_identity &Peer : State->Server->peers())
      Peers.push_back(Peer.Name);
  Status["peers"] = std::move(Peers);
  return Status;
}

} // namespace cardamom
