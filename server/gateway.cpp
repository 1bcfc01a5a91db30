#include "server/gateway.h"

#include "base/log.h"
#include "base/metrics.h"
#include "gateway/fleet_view.h"
#include "gateway/stream_client.h"
#include "gateway/unary_client.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "jobs/inner_paths.h"
#include "jobs/job_request_handler.h"
#include "jobs/pool_leadership.h"
#include "policy/router.h"
#include "server/request_handler.h"
#include "store/object_watcher.h"
#include "store/upsert_object.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <stdexcept>
#include <vector>

namespace cardamom {

static constexpr std::string_view JobKind = "jobs";
static constexpr std::string_view ResultKind = "job-results";
static constexpr std::string_view LeaseKind = "pool-leases";
static constexpr std::string_view GatewayKind = "gateways";
/// Each change of a list costs one call for each gateway that watches it, and
/// replicas change with each load of weights. Changes of replicas are read in
/// this part of the time within which a leaving one must get no more work.
static constexpr double ReplicaCoalesceFraction = 0.5;
/// Well under the time within which a configuration must be in force (2 s).
static constexpr milliseconds ConfigCoalesceDelay{300};
/// Gateways only look for one another after a failure.
static constexpr milliseconds GatewayCoalesceDelay{2000};
/// How often replicas that are missing after an outage are looked at.
static constexpr milliseconds MaintenanceInterval{250};
/// Replicas whose entries lapsed during an outage of the store are listed again
/// within about two seconds of its return; one still missing then is gone.
static constexpr milliseconds ReregistrationGrace{2200};
/// How often a stopping process looks whether all is answered.
static constexpr milliseconds StopCheckInterval{50};
/// Idle connections of callers are closed this long after their last answer
/// once a stopping process is out of rotation.
static constexpr milliseconds DrainIdleTimeout{250};
/// A few gateways watch for retirements, and answer after a random pause, so
/// that mostly one does.
static constexpr size_t RetirementWatchers = 3;
static constexpr milliseconds RetirementJitter{400};

static uint64_t unixNowMs() {
  return uint64_t(std::chrono::duration_cast<milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count());
}

struct gateway::state : std::enable_shared_from_this<state> {
  state(event_loop &Loop, http_client &Client, gateway_options Given);

  void start();
  std::unique_ptr<object_watcher>
  makeWatcher(std::string Kind, milliseconds Pace,
              const std::function<void(const stored_object &)> &Each);
  void onStoreReachability(bool Reachable, const std::string &Detail);
  void watchReplicas();
  void onConfig(const stored_object &Object);
  void onGateway(const stored_object &Object);
  std::vector<std::string> shuffledPeers();
  std::vector<std::string> rankedPeers(const std::string &Pool) const;
  void watchRetirements();
  void onRetirement(const stored_object &Object);
  std::optional<replica> readReplica(const stored_object &Object);
  [[nodiscard]] std::optional<time_point> reregistrationDeadline() const;
  void updatePools();
  pool_leadership *findPool(const std::string &Name);
  std::unique_ptr<pool_leadership> makePool(const std::string &Name);
  void scheduleMaintenance();
  void handleInner(const exchange_ptr &Exchange);
  void handleInnerResults(const exchange_ptr &Exchange, pool_leadership *Role);
  static void handleInnerLease(const exchange_ptr &Exchange,
                               pool_leadership *Role);
  static void handleInnerItem(const exchange_ptr &Exchange,
                              pool_leadership *Role);
  static void handleInnerCheckpoint(const exchange_ptr &Exchange,
                                    pool_leadership *Role);
  static void handleInnerHandover(const exchange_ptr &Exchange,
                                  pool_leadership *Role);
  void handleReadiness(const exchange_ptr &Exchange) const;
  void stop();
  void checkStopped();
  double random() { return std::uniform_real_distribution<>(0, 1)(Generator); }
  std::string newId();

  event_loop &Loop;
  http_client &Client;
  gateway_options Options;
  std::mt19937_64 Generator{std::random_device{}()};
  std::string Incarnation;
  fleet_view Fleet;
  async_store_client Store;
  replica_directory Directory;
  router Router;
  unary_client UnaryClient;
  stream_client StreamClient;
  job_request_handler Desk;
  request_handler Handler;
  std::vector<std::unique_ptr<object_watcher>> Watchers;
  object_watcher *ReplicaWatcher = nullptr;
  std::unique_ptr<object_watcher> RetirementWatcher;
  std::map<std::string, std::unique_ptr<pool_leadership>> Pools;
  std::unique_ptr<http_server> CallerServer;
  std::unique_ptr<http_server> ReadyServer;
  std::unique_ptr<http_server> InnerServer;
  std::unique_ptr<http_server> MetricsServer;
  timer_handle MaintenanceTimer;
  timer_handle StopTimer;
  std::map<std::string, timer_handle> RetirementTimers;
  bool Stopping = false;
  bool Draining = false;
  time_point StoppedAt{};
};

gateway::state::state(event_loop &Loop, http_client &Client,
                      gateway_options Given)
    : Loop(Loop), Client(Client), Options(std::move(Given)),
      Incarnation(newId()), Fleet({.Name = Options.Name,
                                   .Address = Options.InnerListen,
                                   .Cores = Options.Cores}),
      Store(Loop, {.Send = Options.SendToStore,
                   .Probe = {.Op = object_op::Get,
                             .Kind = Options.Protocols.ObjectNames.ConfigKind,
                             .Name = Options.Protocols.ObjectNames.ConfigName},
                   .OnReachabilityChange =
                       [this](bool Reachable, const std::string &Detail) {
                         onStoreReachability(Reachable, Detail);
                       }}),
      Directory({.Log =
                     [](std::string_view Event, const replica &Replica,
                        const std::string &Detail) {
                       logInfo(Event, {{"replica", Replica.Id},
                                       {"service", Replica.Service},
                                       {"address", Replica.Address},
                                       {"detail", Detail}});
                     }}),
      Router({.Random = [this] { return random(); }}),
      UnaryClient({.Loop = Loop,
                   .Client = Client,
                   .Directory = Directory,
                   .Router = Router,
                   .Protocol = Options.Protocols.Upstream,
                   .FailureDomain = Options.FailureDomain,
                   .Random = [this] { return random(); }}),
      StreamClient({.Loop = Loop,
                    .Client = Client,
                    .Directory = Directory,
                    .Router = Router,
                    .Protocol = Options.Protocols.Upstream,
                    .FailureDomain = Options.FailureDomain}),
      Desk({.Loop = Loop,
            .Client = Client,
            .Store = Store,
            .Protocols = Options.Protocols,
            .JobKind = std::string(JobKind),
            .ResultKind = std::string(ResultKind),
            .FindPool =
                [this](const std::string &Pool) { return findPool(Pool); },
            .Peers = [this] { return shuffledPeers(); },
            .UnixNow = unixNowMs}),
      Handler({.UnaryClient = UnaryClient,
               .StreamClient = StreamClient,
               .Desk = Desk,
               .Protocols = Options.Protocols,
               .Random = [this] { return random(); }}) {}

std::string gateway::state::newId() {
  static constexpr std::string_view Hex = "0123456789abcdef";
  std::string Id;
  uint64_t Bits = Generator();
  for (int I = 0; I < 16; ++I, Bits >>= 4)
    Id += Hex[Bits & 15];
  return Id;
}

void gateway::state::start() {
  CallerServer = std::make_unique<http_server>(
      Loop, http_server_options{.Listen = Options.CallerListen,
                                .OnRequest = [this](const exchange_ptr &E) {
                                  Handler.handle(E, /*Forwarded=*/false);
                                }});
  ReadyServer = std::make_unique<http_server>(
      Loop, http_server_options{.Listen = Options.ReadyListen,
                                .OnRequest = [this](const exchange_ptr &E) {
                                  handleReadiness(E);
                                }});
  InnerServer = std::make_unique<http_server>(
      Loop, http_server_options{.Listen = Options.InnerListen,
                                .OnRequest = [this](const exchange_ptr &E) {
                                  handleInner(E);
                                }});
  if (!Options.MetricsListen.empty())
    MetricsServer = std::make_unique<http_server>(
        Loop, http_server_options{.Listen = Options.MetricsListen,
                                  .OnRequest = [this](const exchange_ptr &E) {
                                    handleInner(E);
                                  }});
  const platform_object_names &Objects = Options.Protocols.ObjectNames;
  Watchers.push_back(
      makeWatcher(Objects.ConfigKind, ConfigCoalesceDelay,
                  [this](const stored_object &Object) { onConfig(Object); }));
  watchReplicas();
  Watchers.push_back(
      makeWatcher(std::string(GatewayKind), GatewayCoalesceDelay,
                  [this](const stored_object &Object) { onGateway(Object); }));
  upsertObject(Store, {.Op = object_op::Create,
                       .Kind = std::string(GatewayKind),
                       .Name = Options.Name,
                       .Value = Fleet.ownSpec()});
  scheduleMaintenance();
}

std::unique_ptr<object_watcher> gateway::state::makeWatcher(
    std::string Kind, milliseconds Pace,
    const std::function<void(const stored_object &)> &Each) {
  auto Watcher = std::make_unique<object_watcher>(
      Loop, Store,
      object_watcher_options{.Kind = std::move(Kind),
                             .OnSnapshot =
                                 [Each](std::span<const stored_object> All) {
                                   for (const stored_object &Object : All)
                                     Each(Object);
                                 },
                             .OnChange = Each,
                             .CoalesceDelay = Pace});
  Watcher->start();
  return Watcher;
}

void gateway::state::onStoreReachability(bool Reachable,
                                         const std::string &Detail) {
  logInfo(Reachable ? "store_back" : "store_lost", {{"detail", Detail}});
  if (!Reachable)
    return;
  for (const auto &[Name, Pool] : Pools)
    Pool->onStoreReconnected();
}

/// Until when replicas that are not listed may register again; nothing when no
/// outage has ended.
std::optional<time_point> gateway::state::reregistrationDeadline() const {
  if (Store.outageEndedAt() == time_point{})
    return std::nullopt;
  return Store.outageEndedAt() + ReregistrationGrace;
}

std::optional<replica>
gateway::state::readReplica(const stored_object &Object) {
  try {
    return Options.Protocols.DecodeReplica(Object);
  } catch (const std::exception &Error) {
    // Entries of other writers name no replica to use.
    logInfo("replica_unreadable",
            {{"object", Object.Name}, {"reason", Error.what()}});
    return std::nullopt;
  }
}

void gateway::state::watchReplicas() {
  Watchers.push_back(std::make_unique<object_watcher>(
      Loop, Store,
      object_watcher_options{
          .Kind = Options.Protocols.ObjectNames.ReplicaKind,
          .OnSnapshot =
              [this](std::span<const stored_object> All) {
                std::vector<replica> Replicas;
                for (const stored_object &Object : All)
                  if (auto Replica = readReplica(Object))
                    Replicas.push_back(std::move(*Replica));
                Directory.replaceAll(Replicas, reregistrationDeadline(),
                                     event_loop::now());
              },
          .OnChange =
              [this](const stored_object &Object) {
                const time_point Now = event_loop::now();
                const auto Replica =
                    Object.Removed ? std::nullopt : readReplica(Object);
                if (Replica)
                  Directory.update(*Replica, Now);
                else
                  Directory.remove(Object.Name, reregistrationDeadline(), Now);
                for (const auto &[Name, Pool] : Pools)
                  Pool->onReplicasChanged();
              },
          .CoalesceDelay = milliseconds(
              long(ReplicaCoalesceFraction *
                   double(Options.ReplicaRemovalBound.count())))}));
  ReplicaWatcher = Watchers.back().get();
  ReplicaWatcher->start();
}

void gateway::state::onConfig(const stored_object &Object) {
  if (Object.Name != Options.Protocols.ObjectNames.ConfigName || Object.Removed)
    return;
  try {
    const gateway_config Config = Options.Protocols.DecodeConfig(Object);
    if (!Handler.installConfig(Config))
      return;
    CallerServer->setLimits(Config.Limits);
    updatePools();
  } catch (const std::exception &Error) {
    logError("config_unreadable", {{"reason", Error.what()}});
  }
}

void gateway::state::onGateway(const stored_object &Object) {
  if (Object.Removed)
    Fleet.remove(Object.Name);
  else
    Fleet.update(Object.Name, Object.Spec);
}

/// Inner addresses of the other gateways, in random order.
std::vector<std::string> gateway::state::shuffledPeers() {
  std::vector<std::string> Addresses = rankedPeers({});
  std::shuffle(Addresses.begin(), Addresses.end(), Generator);
  return Addresses;
}

/// Inner addresses of the other gateways, best first.
std::vector<std::string>
gateway::state::rankedPeers(const std::string &Pool) const {
  std::vector<std::string> Addresses;
  for (const fleet_member &Member : Fleet.others(Pool))
    Addresses.push_back(Member.Address);
  return Addresses;
}

/// Each service of model engines is a pool.
void gateway::state::updatePools() {
  if (Stopping)
    return;
  for (const auto &[Name, Service] : Handler.config().Services) {
    if (!Service.IsEngine || Pools.contains(Name))
      continue;
    Pools[Name] = makePool(Name);
    Pools[Name]->start();
  }
}

std::unique_ptr<pool_leadership>
gateway::state::makePool(const std::string &Name) {
  return std::make_unique<pool_leadership>(pool_leadership_options{
      .Scheduler = {.Loop = Loop,
                    .Client = Client,
                    .Directory = Directory,
                    .UnaryClient = UnaryClient,
                    .Store = Store,
                    .Protocols = Options.Protocols,
                    .FindRoute =
                        [this](std::string_view Host, std::string_view Path) {
                          return Handler.findRoute(Host, Path);
                        },
                    .FindService = [this, Name]() -> const service * {
                      const auto It = Handler.config().Services.find(Name);
                      return It == Handler.config().Services.end()
                                 ? nullptr
                                 : &It->second;
                    },
                    .Pool = Name,
                    .FailureDomain = Options.FailureDomain,
                    .ResultKind = std::string(ResultKind),
                    .UnixNow = unixNowMs,
                    .NewId = [this] { return newId(); }},
      .Self = Options.Name,
      .Incarnation = Incarnation,
      .InnerAddress = Options.InnerListen,
      .LeaseLength = Options.LeaseLength,
      .LeaseKind = std::string(LeaseKind),
      .JobKind = std::string(JobKind),
      .SingleVersion =
          [this, Name] {
            return std::any_of(Handler.config().Routes.begin(),
                               Handler.config().Routes.end(),
                               [&](const route &Route) {
                                 return Route.Kind == route_kind::Rollout &&
                                        Route.SingleVersion &&
                                        Route.Services.front().Service == Name;
                               });
          },
      .Standbys = [this](const std::string &Pool) { return rankedPeers(Pool); },
      .Rank = [this, Name] { return Fleet.rank(Name); },
      .HasHigherCpuClass =
          [this](std::string_view Member) {
            return Fleet.hasHigherCpuClass(Member);
          },
      .Random = [this] { return random(); }});
}

pool_leadership *gateway::state::findPool(const std::string &Name) {
  const auto It = Pools.find(Name);
  return It == Pools.end() ? nullptr : It->second.get();
}

void gateway::state::watchRetirements() {
  const std::string &Kind = Options.Protocols.ObjectNames.RetirementKind;
  // The best may be gone for good, but every pool has a live holder.
  const bool Holder =
      std::any_of(Pools.begin(), Pools.end(),
                  [](const auto &Pool) { return Pool.second->holdsLease(); });
  if (!Holder && Fleet.rank(Kind) >= RetirementWatchers) {
    RetirementWatcher.reset();
    return;
  }
  if (!RetirementWatcher)
    RetirementWatcher =
        makeWatcher(Kind, milliseconds(0), [this](const stored_object &Object) {
          onRetirement(Object);
        });
}

/// Nothing of the system lies on a storage VM's disk, so that one may be taken
/// away at once.
void gateway::state::onRetirement(const stored_object &Object) {
  RetirementTimers.erase(Object.Name);
  const nlohmann::json Wanted = Options.Protocols.EncodeRetirementStatus(true);
  if (Object.Removed || Object.Status == Wanted)
    return;
  const auto Pause =
      milliseconds(long(random() * double(RetirementJitter.count())));
  RetirementTimers[Object.Name] =
      Loop.after(Pause, [this, Name = Object.Name, Wanted] {
        logInfo("retirement_answered", {{"vm", Name}});
        Store.call({.Op = object_op::ReplaceStatus,
                    .Kind = Options.Protocols.ObjectNames.RetirementKind,
                    .Name = Name,
                    .Value = Wanted},
                   [this, Name](const object_reply &Reply) {
                     if (Reply.Outcome == object_outcome::Refused ||
                         Reply.Outcome == object_outcome::Unknown)
                       Store.whenReachable([this, Name] {
                         stored_object Again;
                         Again.Name = Name;
                         onRetirement(Again);
                       });
                   });
      });
}

void gateway::state::scheduleMaintenance() {
  MaintenanceTimer = Loop.after(MaintenanceInterval, [this] {
    Directory.expire(event_loop::now());
    watchRetirements();
    metrics::get().gauge("store_calls").set(Store.callCount());
    metrics::get()
        .gauge("upstream_connections_opened")
        .set(Client.connectionsOpened());
    metrics::get().gauge("replicas").set(Directory.size());
    scheduleMaintenance();
  });
}

void gateway::state::handleReadiness(const exchange_ptr &Exchange) const {
  const bool Ready =
      !Stopping && Handler.configured() && ReplicaWatcher->ready();
  Exchange->answer({.Status = Ready ? 200U : 503U, .Headers = {}, .Body = {}});
}

void gateway::state::handleInner(const exchange_ptr &Exchange) {
  const std::string_view Path = pathOf(Exchange->request().Target);
  const std::string &Target = Exchange->request().Target;
  if (Path == "/metrics") {
    Exchange->answer({.Status = 200,
                      .Headers = {{"Content-Type", "text/plain"}},
                      .Body = metrics::get().toPrometheusText()});
    return;
  }
  if (Path.starts_with(InnerForwardPrefix)) {
    Exchange->setTarget(Target.substr(InnerForwardPrefix.size()));
    Handler.handle(Exchange, /*Forwarded=*/true);
    return;
  }
  pool_leadership *Role = findPool(queryParameter(Target, "pool"));
  if (Path == InnerAlivePath) {
    unsigned Status = 404;
    if (Role && Role->holdsLease()) {
      Status = Role->isServing(event_loop::now()) ? 200 : 503;
      Role->onCandidateProbe(queryParameter(Target, "from"));
    }
    Exchange->answer({.Status = Status, .Headers = {}, .Body = {}});
  } else if (Path == InnerResultsPath) {
    handleInnerResults(Exchange, Role);
  } else if (Path == InnerLeasePath) {
    handleInnerLease(Exchange, Role);
  } else if (Path == InnerItemPath) {
    handleInnerItem(Exchange, Role);
  } else if (Path == InnerHandoverPath) {
    handleInnerHandover(Exchange, Role);
  } else if (Path == InnerCheckpointPath) {
    handleInnerCheckpoint(Exchange, Role);
  } else if (Path == InnerEndPath) {
    if (Role && Role->scheduler())
      Role->scheduler()->endJob(queryParameter(Target, "job"));
    Exchange->answer({.Status = 200, .Headers = {}, .Body = {}});
  } else {
    Exchange->answer({.Status = 404, .Headers = {}, .Body = {}});
  }
}

void gateway::state::handleInnerResults(const exchange_ptr &Exchange,
                                        pool_leadership *Role) {
  if (!Role || !Role->scheduler()) {
    Exchange->answer({.Status = 404, .Headers = {}, .Body = {}});
    return;
  }
  const std::string &Target = Exchange->request().Target;
  job_call Call{.Kind = job_call_kind::ReadResults,
                .JobId = queryParameter(Target, "job")};
  Call.After = strtoull(queryParameter(Target, "after").c_str(), nullptr, 10);
  Call.Wait = milliseconds(
      strtoull(queryParameter(Target, "wait_ms").c_str(), nullptr, 10));
  Role->scheduler()->readResults(
      Call, [Exchange](bool Known, const std::string &Page) {
        Exchange->answer({.Status = Known ? 200U : 404U,
                          .Headers = {{"Content-Type", "application/json"}},
                          .Body = Page});
      });
}

void gateway::state::handleInnerLease(const exchange_ptr &Exchange,
                                      pool_leadership *Role) {
  try {
    if (Role)
      Role->onLeaseAnnounced(nlohmann::json::parse(Exchange->request().Body,
                                                   nullptr,
                                                   /*allow_exceptions=*/false));
    Exchange->answer({.Status = 200, .Headers = {}, .Body = {}});
  } catch (const std::invalid_argument &Error) {
    Exchange->answer({.Status = 400, .Headers = {}, .Body = Error.what()});
  }
}

void gateway::state::handleInnerItem(const exchange_ptr &Exchange,
                                     pool_leadership *Role) {
  const std::string &Target = Exchange->request().Target;
  std::optional<std::string> Body;
  if (Role && Role->scheduler())
    Body = Role->scheduler()->itemBody(queryParameter(Target, "job"),
                                       queryParameter(Target, "item"));
  Exchange->answer({.Status = Body ? 200U : 404U,
                    .Headers = {},
                    .Body = std::move(Body).value_or(std::string())});
}

void gateway::state::handleInnerCheckpoint(const exchange_ptr &Exchange,
                                           pool_leadership *Role) {
  if (Exchange->request().Method == "POST") {
    if (Role)
      Role->setCheckpoint(Exchange->request().Body);
    Exchange->answer({.Status = 200, .Headers = {}, .Body = {}});
    return;
  }
  const bool Has = Role && !Role->checkpoint().empty();
  Exchange->answer({.Status = Has ? 200U : 404U,
                    .Headers = {{"Content-Type", "application/json"}},
                    .Body = Has ? Role->checkpoint() : std::string()});
}

void gateway::state::handleInnerHandover(const exchange_ptr &Exchange,
                                         pool_leadership *Role) {
  try {
    if (!Role)
      throw std::invalid_argument("unknown pool");
    const nlohmann::json Lease = nlohmann::json::parse(
        Exchange->request().Body, nullptr, /*allow_exceptions=*/false);
    Exchange->answer(
        {.Status = 200,
         .Headers = {{"Content-Type", "application/json"}},
         .Body = Role->handOver(Lease).dump(
             -1, ' ', false, nlohmann::json::error_handler_t::replace)});
  } catch (const std::invalid_argument &Error) {
    logInfo("handover_refused", {{"reason", Error.what()}});
    Exchange->answer({.Status = 409, .Headers = {}, .Body = Error.what()});
  }
}

void gateway::state::stop() {
  if (Stopping)
    return;
  Stopping = true;
  StoppedAt = event_loop::now();
  logInfo("stopping",
          {{"in_flight", std::to_string(CallerServer->requestsInFlight())}});
  for (const auto &[Name, Pool] : Pools)
    Pool->releaseLease();
  checkStopped();
}

void gateway::state::checkStopped() {
  const auto Elapsed = event_loop::now() - StoppedAt;
  if (Elapsed >= Options.DrainNotice && !Draining) {
    Draining = true;
    CallerServer->drain(DrainIdleTimeout);
  }
  const bool Idle =
      CallerServer->requestsInFlight() == 0 && CallerServer->connections() == 0;
  const bool Done = Elapsed >= Options.DrainNotice && Idle;
  if (Done || Elapsed >= Options.StopTimeout) {
    logInfo("stopped",
            {{"in_flight", std::to_string(CallerServer->requestsInFlight())}});
    Loop.stop();
    return;
  }
  StopTimer = Loop.after(StopCheckInterval, [this] { checkStopped(); });
}

gateway::gateway(event_loop &Loop, http_client &Client, gateway_options Options)
    : State(std::make_shared<state>(Loop, Client, std::move(Options))) {}

gateway::~gateway() = default;

void gateway::start() { State->start(); }

void gateway::stop() { State->stop(); }

} // namespace cardamom
