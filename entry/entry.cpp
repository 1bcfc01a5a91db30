#include "entry/entry.h"

#include "base/log.h"
#include "entry/entry_state.h"
#include "entry/forwarding.h"
#include "inner/gen/messages.pb.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <utility>

namespace cardamom {

// How long drain() waits for the store to confirm that leases are released.
// Otherwise they expire.
static constexpr milliseconds LeaseReleaseTimeout{3000};
static constexpr milliseconds DrainPollInterval{20};

static uint64_t randomIncarnation() {
  std::random_device Device;
  uint64_t Value = 0;
  while (Value == 0)
    Value = (uint64_t(Device()) << 32) | Device();
  return Value;
}

static entry_options withIncarnation(entry_options Options) {
  if (Options.Incarnation == 0)
    Options.Incarnation = randomIncarnation();
  return Options;
}

namespace {
struct listen_address {
  std::string Host;
  uint16_t Port = 0;
};
} // namespace

static listen_address parseListenAddress(const std::string &Text) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    throw std::invalid_argument("listen address \"" + Text +
                                "\" is not IP:port");
  const unsigned long Port = std::stoul(Text.substr(Colon + 1));
  if (Port > UINT16_MAX)
    throw std::invalid_argument("port of \"" + Text + "\" is above 65535");
  return {Text.substr(0, Colon), uint16_t(Port)};
}

entry::state::state(entry_options Requested)
    : Options(withIncarnation(std::move(Requested))),
      Store({.Address = Options.StoreAddress}),
      Directory({.EntryName = Options.Name}),
      Documents({.Validate =
                     [this](const versioned_document &Document) {
                       validateDocument(Document);
                     },
                 .OnInstall =
                     [this](const versioned_document &Document) {
                       onDocumentInstalled(Document);
                     }}),
      Client(clientOptions()), Server(serverOptions()),
      Dispatcher(dispatcherOptions()) {}

entry::state::~state() { stop(); }

peer_identity entry::state::selfIdentity() const {
  return {.Name = Options.Name,
          .Incarnation = Options.Incarnation,
          .FailureDomain = Options.FailureDomain,
          .Build = Options.Build,
          .Role = "entry"};
}

inner_client_options entry::state::clientOptions() {
  inner_client_options Result;
  Result.Self = selfIdentity();
  Result.OnPeerUp = [this](std::string_view Address, const peer_identity &Peer,
                           uint64_t Epoch) {
    Directory.onPeerUp(Address, Peer, Epoch);
    Dispatcher.onPeerUp(Address, Peer, Epoch);
    Client.sendControl(Address, heartbeat());
  };
  Result.OnPeerDown = [this](std::string_view Address, std::string_view) {
    Directory.onPeerDown(Address);
    Dispatcher.onPeerDown(Address);
  };
  Result.OnControl = [this](std::string_view Address, const peer_identity &,
                            const wire::control_frame &Frame) {
    if (Frame.has_heartbeat())
      Directory.onHeartbeat(Address, Frame.heartbeat(), steady_clock::now());
    std::vector<wire::control_frame> Replies;
    handleControl(Frame, Replies);
    for (const wire::control_frame &Reply : Replies)
      Client.sendControl(Address, Reply);
  };
  return Result;
}

inner_server_options entry::state::serverOptions() {
  const listen_address Listen = parseListenAddress(Options.InnerListen);
  inner_server_options Result;
  Result.Host = Listen.Host;
  Result.Port = Listen.Port;
  Result.Self = selfIdentity();
  Result.OnPeerUp = [this](const peer_identity &Peer, uint64_t) {
    Server.sendControl(Peer, heartbeat());
  };
  Result.OnControl = [this](const peer_identity &Peer,
                            const wire::control_frame &Frame) {
    std::vector<wire::control_frame> Replies;
    handleControl(Frame, Replies);
    for (const wire::control_frame &Reply : Replies)
      Server.sendControl(Peer, Reply);
  };
  Result.OnRequest = [this](const std::shared_ptr<server_stream> &Stream,
                            std::string_view Path, std::string_view Message) {
    step_service *Service = ServingSteps.load();
    if (Service && (Path == "/draw" || Path == "/submit"))
      serveForwardedCall(*Service, Stream, Message);
    else
      Stream->finish();
  };
  return Result;
}

dispatcher_options entry::state::dispatcherOptions() {
  dispatcher_options Result;
  Result.OpenStream = [this](std::string_view Address, std::string_view Path,
                             std::string_view Message,
                             inner_stream_hooks Hooks) {
    return Client.open(Address, Path, Message, std::move(Hooks));
  };
  Result.CancelStream = [this](inner_client::stream_id Id) {
    Client.cancel(Id);
  };
  Result.HoldWindow = [this](inner_client::stream_id Id) {
    Client.enableManualFlowControl(Id);
  };
  Result.Consume = [this](inner_client::stream_id Id, size_t Bytes) {
    Client.consume(Id, Bytes);
  };
  Result.UpstreamsOfPool = [this](std::string_view Pool) {
    return Directory.upstreamsOfPool(Pool);
  };
  Result.AddressOf = [this](std::string_view Name) {
    return Directory.addressOf(Name);
  };
  Result.EnsurePeer = [this](std::string_view Address) {
    Client.addPeer(Address);
  };
  Result.ConfigVersion = [this] { return Config.version(); };
  // The lock makes the generator safe to use from several threads of the
  // dispatcher.
  const auto Generator = std::make_shared<std::minstd_rand>(
      std::minstd_rand::result_type(Options.Incarnation));
  const auto Mutex = std::make_shared<std::mutex>();
  Result.Random = [Generator, Mutex] {
    std::lock_guard Lock(*Mutex);
    return std::uniform_real_distribution<>(0, 1)(*Generator);
  };
  Result.Trace = [this](std::string_view Id, std::string_view Event,
                        std::string_view Detail,
                        time_point Now) { Trace.add(Id, Event, Detail, Now); };
  Result.OwnFailureDomain = Options.FailureDomain;
  return Result;
}

step_service_options entry::state::stepOptions() {
  step_service_options Result;
  Result.Dispatcher = &Dispatcher;
  Result.Store = &Store;
  Result.Directory = &Directory;
  Result.Client = &Client;
  Result.Name = Options.Name;
  Result.Address = parseListenAddress(Options.InnerListen).Host + ":" +
                   std::to_string(Server.port());
  Result.Incarnation = Options.Incarnation;
  Result.Lease = Options.LeaseDuration;
  Result.StragglerMoves = Options.StragglerMoves;
  Result.InstallWeights = [this](const std::string &Trainer, uint64_t Version,
                                 std::string Body) {
    return Documents.install({"weights/" + Trainer, Version, std::move(Body)});
  };
  Result.HoldsWeights = [this](const std::string &Trainer, uint64_t Version,
                               const std::string &Body) {
    const auto Stored = Documents.get("weights/" + Trainer);
    return Stored && Stored->Version == Version && Stored->Body == Body;
  };
  Result.WeightsVersion = [this](const std::string &Trainer) {
    return Documents.version("weights/" + Trainer);
  };
  return Result;
}

http_frontend_options entry::state::frontendOptions() {
  const listen_address Listen = parseListenAddress(Options.HttpListen);
  http_frontend_options Result;
  Result.Host = Listen.Host;
  Result.Port = Listen.Port;
  Result.Threads = Options.HttpThreads;
  Result.MaxBodyBytes = Options.MaxBodyBytes;
  Result.Dispatcher = &Dispatcher;
  Result.CurrentConfig = [this] { return Config.get(); };
  Result.Refusal = [this] { return RefusingCalls ? notReady() : refusal(); };
  Result.NotReady = [this] { return notReady(); };
  Result.Draining = [this] { return Draining.load(); };
  Result.OnTrainerCall = [this](const trainer_call &Call) {
    return Steps->call(Call);
  };
  Result.OnOperatorRequest = [this](const httplib::Request &Request) {
    return Pages->page(Request);
  };
  return Result;
}

std::optional<verdict> entry::state::refusal() const {
  if (Config.version() == 0)
    return verdict{.Certainty = run_certainty::NotRun,
                   .Reason = "configuration_unknown",
                   .Message = "no configuration is known yet",
                   .RetryAfter = milliseconds(500)};
  if (PauseDetector.holding(steady_clock::now()))
    return verdict{.Certainty = run_certainty::NotRun,
                   .Reason = "configuration_unconfirmed",
                   .Message = "this entry was paused and has not yet "
                              "confirmed its configuration",
                   .RetryAfter = milliseconds(500)};
  return std::nullopt;
}

std::optional<verdict> entry::state::notReady() const {
  if (Draining)
    return verdict{.Certainty = run_certainty::NotRun,
                   .Reason = "draining",
                   .Message = "this entry is shutting down",
                   .RetryAfter = milliseconds(1000)};
  return refusal();
}

void entry::state::start() {
  operator_pages_options PageOptions;
  PageOptions.Name = Options.Name;
  PageOptions.Incarnation = Options.Incarnation;
  PageOptions.FailureDomain = Options.FailureDomain;
  PageOptions.Directory = &Directory;
  PageOptions.Trace = &Trace;
  PageOptions.Dispatcher = &Dispatcher;
  PageOptions.Ready = [this] { return !notReady(); };
  PageOptions.Draining = [this] { return Draining.load(); };
  PageOptions.InFlight = [this] { return Frontend->inFlight(); };
  PageOptions.WaitingFor = [this] { return waitingFor(); };
  PageOptions.Trainers = [this] { return Steps->status(); };
  Pages = std::make_unique<operator_pages>(std::move(PageOptions));
  // The step service needs the server's port. Until it runs, peers' requests
  // end without a response.
  Server.start();
  Steps = std::make_unique<step_service>(stepOptions());
  Steps->start();
  ServingSteps = Steps.get();
  Client.start();
  for (const std::string &Address : Options.SeedPeers)
    Client.addPeer(Address);
  DispatcherThread = std::thread([this] { Dispatcher.run(); });
  Frontend = std::make_unique<http_frontend>(frontendOptions());
  Frontend->start();
  Started = true;
  ConfigThread = std::thread([this] { watchConfiguration(); });
  VmPollThread = std::thread([this] { pollVms(); });
  TickerThread = std::thread([this] { runTicker(); });
  logInfo("entry_started", {{"name", Options.Name},
                            {"http_port", std::to_string(Frontend->port())},
                            {"inner_port", std::to_string(Server.port())}});
}

std::string entry::state::waitingFor() const {
  if (!Draining || !Frontend)
    return {};
  std::string Description;
  if (const size_t Calls = Frontend->inFlight(); Calls > 0)
    Description = std::to_string(Calls) + " calls in flight";
  if (const std::string Lease = Steps->waitingFor(); !Lease.empty())
    Description += (Description.empty() ? "" : ", ") + Lease;
  return Description;
}

void entry::state::drain() {
  if (!Started || Draining.exchange(true))
    return;
  logInfo("draining", {{"name", Options.Name}});
  sendHeartbeats();
  if (!sleepFor(Options.DrainNotice))
    return;
  Steps->release();
  const time_point ReleaseUntil = steady_clock::now() + LeaseReleaseTimeout;
  while (!Steps->waitingFor().empty() && steady_clock::now() < ReleaseUntil)
    if (!sleepFor(DrainPollInterval))
      return;
  // cpp-httplib truncates streamed responses when its server stops, so wait for
  // them first.
  RefusingCalls = true;
  while (Frontend->inFlight() > 0)
    if (!sleepFor(DrainPollInterval))
      return;
  Frontend->stop();
  logInfo("drained", {{"name", Options.Name}});
  stop();
}

void entry::state::stop() {
  {
    std::lock_guard Lock(StopMutex);
    if (Stopping)
      return;
    Stopping = true;
  }
  StopOrHeartbeatDue.notify_all();
  Store.stopWatches();
  // Ends the requests in flight, which unblocks the HTTP threads that wait for
  // them.
  Dispatcher.stop();
  if (Steps)
    Steps->stop();
  Client.stop();
  if (Frontend)
    Frontend->stop();
  joinThreads();
  Server.stop();
}

void entry::state::joinThreads() {
  for (std::thread *Thread :
       {&DispatcherThread, &ConfigThread, &VmPollThread, &TickerThread})
    if (Thread->joinable())
      Thread->join();
}

entry::entry(entry_options Options)
    : State(std::make_unique<state>(std::move(Options))) {}
entry::~entry() = default;
void entry::start() { State->start(); }
void entry::drain() { State->drain(); }
void entry::stop() { State->stop(); }
std::string entry::waitingFor() const { return State->waitingFor(); }
bool entry::ready() const { return !State->notReady(); }
uint16_t entry::innerPort() const { return State->Server.port(); }
uint16_t entry::httpPort() const { return State->Frontend->port(); }

} // namespace cardamom
