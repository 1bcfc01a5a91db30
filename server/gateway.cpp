#include "server/gateway.h"

#include "base/bounded_json.h"
#include "base/json_text.h"
#include "base/log.h"
#include "base/metrics.h"
#include "gateway/dispatch_gate.h"
#include "gateway/fleet_view.h"
#include "gateway/stream_client.h"
#include "gateway/unary_client.h"
#include "gateway/usage_reporter.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "jobs/inner_paths.h"
#include "jobs/job_request_handler.h"
#include "jobs/pool_leadership.h"
#include "policy/buffer_budget.h"
#include "policy/router.h"
#include "policy/shutdown_plan.h"
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
static constexpr std::string_view JobHostKind = "job-hosts";
static constexpr std::string_view LeaseKind = "pool-leases";
static constexpr std::string_view GatewayKind = "gateways";
/// Election of the gateway that carries out the platform's duties.
static constexpr std::string_view DutyElection = "platform-duties";
static constexpr std::string_view DutyLeaseKind = "duty-leases";
static constexpr std::string_view UsageReportKind = "usage-reports";
/// Each change of a watched list costs one store call per gateway, and replica
/// entries change with each load of weights. Replica changes are therefore
/// coalesced for this fraction of the time within which a replica that is being
/// removed must get no more work.
static constexpr double ReplicaCoalesceFraction = 0.5;
/// Well below the time within which a configuration must take effect.
static constexpr milliseconds ConfigCoalesceDelay{300};
/// Gateways contact one another only after a failure.
static constexpr milliseconds GatewayCoalesceDelay{2000};
/// Maximum age of the list of gateways, and of the retirements.
static constexpr milliseconds GatewayMaxAge{10000};
static constexpr milliseconds RetirementMaxAge{5000};
/// Interval of the periodic tasks, such as dropping replicas that are still
/// missing after an outage.
static constexpr milliseconds MaintenanceInterval{250};
/// Replicas whose entries expired during a store outage register again within
/// about two seconds of its end; one that is still missing then is considered
/// gone.
static constexpr milliseconds ReregistrationGrace{2200};
/// A replica's entry expires after three heartbeat intervals (1.2 s) without a
/// heartbeat, so that no entry expires in a shorter outage of the store.
static constexpr milliseconds MinOutageForExpiry{2200};
/// How often a stopping process checks whether all requests are answered.
static constexpr milliseconds StopCheckInterval{50};
/// Idle timeout of callers' connections once a stopping process is out of
/// rotation, that is after DrainNotice.
static constexpr milliseconds DrainIdleTimeout{250};
/// Number of gateways that watch for retirements. Each responds after a random
/// delay, so that usually only one does.
static constexpr size_t RetirementWatchers = 3;
static constexpr milliseconds RetirementJitter{400};

static uint64_t unixNowMs() {
  return uint64_t(std::chrono::duration_cast<milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count());
}

struct gateway::state : std::enable_shared_from_this<state> {
  state(event_loop &Loop, http_client &Client, gateway_options GatewayOptions);

  void start();
  std::unique_ptr<object_watcher>
  makeWatcher(std::string Kind, milliseconds MaxAge, milliseconds CoalesceDelay,
              const std::function<void(const stored_object &)> &OnObject);
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
  void startUsageReporter();
  void onRequestRan(std::string_view Tenant, time_point StartedAt) const;
  pool_leadership *findPool(const std::string &Name);
  std::unique_ptr<pool_leadership> makePool(const std::string &Name);
  leader_election_options makeElectionOptions(const std::string &Name,
                                              std::string_view Kind);
  /// Returns the election for a pool or another task; null if there is none.
  leader_election *findElection(const std::string &Name);
  void scheduleMaintenance();
  void handleInner(const exchange_ptr &Exchange);
  void handleInnerResults(const exchange_ptr &Exchange, pool_leadership *Pool);
  static void handleInnerLease(const exchange_ptr &Exchange,
                               leader_election *Election);
  static void handleInnerItem(const exchange_ptr &Exchange,
                              pool_leadership *Pool);
  static void handleInnerCheckpoint(const exchange_ptr &Exchange,
                                    pool_leadership *Pool);
  static void handleInnerJob(const exchange_ptr &Exchange,
                             pool_leadership *Pool);
  static void handleInnerHandover(const exchange_ptr &Exchange,
                                  pool_leadership *Pool);
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
  dispatch_gate Gate;
  /// Of all responses of replicas.
  std::shared_ptr<buffer_budget> Buffers =
      std::make_shared<buffer_budget>(buffer_budget_options{});
  router Router;
  unary_client UnaryClient;
  stream_client StreamClient;
  job_request_handler JobHandler;
  request_handler Handler;
  std::vector<std::unique_ptr<object_watcher>> Watchers;
  object_watcher *ConfigWatcher = nullptr;
  object_watcher *ReplicaWatcher = nullptr;
  std::unique_ptr<object_watcher> RetirementWatcher;
  std::map<std::string, std::unique_ptr<pool_leadership>> Pools;
  /// Null if no control API is configured.
  std::unique_ptr<usage_reporter> UsageReporter;
  std::unique_ptr<http_server> CallerServer;
  std::unique_ptr<http_server> ReadyServer;
  std::unique_ptr<http_server> InnerServer;
  std::unique_ptr<http_server> MetricsServer;
  timer_handle MaintenanceTimer;
  timer_handle StopTimer;
  std::map<std::string, timer_handle> RetirementTimers;
  /// Set while the process is stopping.
  std::optional<shutdown_plan> Shutdown;
  bool Draining = false;
  bool RefusingConnections = false;
  bool UnfinishedAnswered = false;
};

gateway::state::state(event_loop &Loop, http_client &Client,
                      gateway_options GatewayOptions)
    : Loop(Loop), Client(Client), Options(std::move(GatewayOptions)),
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
      Directory({.Pace = {.Random = [this] { return random(); },
                          .Processes = [this] { return Fleet.size(); }},
                 .Log =
                     [](std::string_view Event, const replica &Replica,
                        const std::string &Detail) {
                       logInfo(Event,
                               {{"replica", Replica.Id},
                                {"service", Replica.Service},
                                {"address", Replica.Address},
                                {"revision", std::to_string(Replica.Revision)},
                                {"detail", Detail}});
                     }}),
      Gate({.Loop = Loop,
            .Directory = Directory,
            .MaxAge = Options.ReplicaRemovalBound,
            .ConfirmedAt = [this] { return ReplicaWatcher->confirmedAt(); },
            .StoreReachable = [this] { return Store.reachable(); },
            .Renew = [this] { ReplicaWatcher->renew(); }}),
      Router({.Random = [this] { return random(); }}),
      UnaryClient({.Loop = Loop,
                   .Client = Client,
                   .Directory = Directory,
                   .Gate = Gate,
                   .Router = Router,
                   .Protocol = Options.Protocols.Upstream,
                   .FailureDomain = Options.FailureDomain,
                   .Buffers = Buffers,
                   .OnRan =
                       [this](std::string_view Tenant, time_point StartedAt) {
                         onRequestRan(Tenant, StartedAt);
                       },
                   .Random = [this] { return random(); }}),
      StreamClient({.Loop = Loop,
                    .Client = Client,
                    .Directory = Directory,
                    .Gate = Gate,
                    .Router = Router,
                    .Protocol = Options.Protocols.Upstream,
                    .FailureDomain = Options.FailureDomain,
                    .Buffers = Buffers,
                    .OnRan =
                        [this](std::string_view Tenant, time_point StartedAt) {
                          onRequestRan(Tenant, StartedAt);
                        }}),
      JobHandler(
          {.Loop = Loop,
           .Client = Client,
           .Store = Store,
           .Protocols = Options.Protocols,
           .JobKind = std::string(JobKind),
           .ResultKind = std::string(ResultKind),
           .HostKind = std::string(JobHostKind),
           .FindPool =
               [this](const std::string &Pool) { return findPool(Pool); },
           .KnownPools =
               [this] {
                 std::vector<std::string> Names;
                 for (const auto &[Name, Pool] : Pools)
                   Names.push_back(Name);
                 return Names;
               },
           .Peers = [this] { return shuffledPeers(); },
           .UnixNow = unixNowMs}),
      Handler(
          {.UnaryClient = UnaryClient,
           .StreamClient = StreamClient,
           .JobHandler = JobHandler,
           .Protocols = Options.Protocols,
           .CallerGate = {.ConfigMaxAge = Options.ConfigApplyBound,
                          .RevocationBound = Options.KeyRevocationBound,
                          .Random = [this] { return random(); }},
           .ConfigConfirmedAt = [this] { return ConfigWatcher->confirmedAt(); },
           .Random = [this] { return random(); },
           .Accepts =
               [this](time_point ReceivedAt,
                      std::optional<milliseconds> TimeLimit) {
                 return !Shutdown || Shutdown->accepts(ReceivedAt, TimeLimit);
               }}) {}

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
  Watchers.push_back(makeWatcher(
      Objects.ConfigKind, Options.ConfigApplyBound, ConfigCoalesceDelay,
      [this](const stored_object &Object) { onConfig(Object); }));
  ConfigWatcher = Watchers.back().get();
  watchReplicas();
  Watchers.push_back(
      makeWatcher(std::string(GatewayKind), GatewayMaxAge, GatewayCoalesceDelay,
                  [this](const stored_object &Object) { onGateway(Object); }));
  upsertObject(Store, {.Op = object_op::Create,
                       .Kind = std::string(GatewayKind),
                       .Name = Options.Name,
                       .Value = Fleet.ownSpec()});
  startUsageReporter();
  scheduleMaintenance();
}

void gateway::state::startUsageReporter() {
  if (Options.ControlApi.empty() || Options.UsageWindow.count() <= 0)
    return;
  UsageReporter = std::make_unique<usage_reporter>(usage_reporter_options{
      .Election = makeElectionOptions(std::string(DutyElection), DutyLeaseKind),
      .Protocols = Options.Protocols,
      .ControlApi = Options.ControlApi,
      .ReportKind = std::string(UsageReportKind),
      .Window = Options.UsageWindow,
      .UnixNow = unixNowMs,
      .Peers = [this] { return rankedPeers(std::string(DutyElection)); }});
}

void gateway::state::onRequestRan(std::string_view Tenant,
                                  time_point StartedAt) const {
  if (UsageReporter)
    UsageReporter->onRequestStarted(Tenant, StartedAt);
}

std::unique_ptr<object_watcher> gateway::state::makeWatcher(
    std::string Kind, milliseconds MaxAge, milliseconds CoalesceDelay,
    const std::function<void(const stored_object &)> &OnObject) {
  auto Watcher = std::make_unique<object_watcher>(
      Loop, Store,
      object_watcher_options{
          .Kind = std::move(Kind),
          .OnSnapshot =
              [OnObject](std::span<const stored_object> All) {
                for (const stored_object &Object : All)
                  OnObject(Object);
              },
          .OnChange = OnObject,
          .MaxAge = MaxAge,
          .CoalesceDelay = CoalesceDelay});
  Watcher->start();
  return Watcher;
}

void gateway::state::onStoreReachability(bool Reachable,
                                         const std::string &Detail) {
  logInfo(Reachable ? "store_back" : "store_lost", {{"detail", Detail}});
  if (!Reachable) {
    Gate.onRenewalEnded();
    return;
  }
  for (const auto &[Name, Pool] : Pools)
    Pool->election().onStoreReconnected();
  if (UsageReporter)
    UsageReporter->election().onStoreReconnected();
}

/// End of the grace period in which unlisted replicas may register again;
/// nullopt when no entry can have expired in an outage.
std::optional<time_point> gateway::state::reregistrationDeadline() const {
  if (Store.outageEndedAt() == time_point{} ||
      Store.longestOutage() < MinOutageForExpiry)
    return std::nullopt;
  return Store.outageEndedAt() + ReregistrationGrace;
}

std::optional<replica>
gateway::state::readReplica(const stored_object &Object) {
  try {
    return Options.Protocols.DecodeReplica(Object);
  } catch (const std::exception &Error) {
    // An entry that cannot be decoded, such as one by another writer, names no
    // usable replica, even if it did before. The replica's next heartbeat
    // restores it.
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
                const time_point Now = event_loop::now();
                std::vector<replica> Replicas;
                for (const stored_object &Object : All) {
                  if (auto Replica = readReplica(Object))
                    Replicas.push_back(std::move(*Replica));
                  else
                    Directory.remove(Object.Name, std::nullopt, Now);
                }
                Directory.replaceAll(Replicas, reregistrationDeadline(), Now);
              },
          .OnChange =
              [this](const stored_object &Object) {
                const time_point Now = event_loop::now();
                if (Object.Removed)
                  Directory.remove(Object.Name, reregistrationDeadline(), Now);
                else if (const auto Replica = readReplica(Object))
                  Directory.update(*Replica, Now);
                else
                  Directory.remove(Object.Name, std::nullopt, Now);
                for (const auto &[Name, Pool] : Pools)
                  Pool->onReplicasChanged();
              },
          .OnConfirmed = [this] { Gate.onRenewalEnded(); },
          .MaxAge = Options.ReplicaRemovalBound,
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
    if (UsageReporter && !Shutdown)
      UsageReporter->setEnabled(Config.Tenants.has_value());
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

/// Inner addresses of the other gateways, in order of preference for the pool.
std::vector<std::string>
gateway::state::rankedPeers(const std::string &Pool) const {
  std::vector<std::string> Addresses;
  for (const fleet_member &Member : Fleet.others(Pool))
    Addresses.push_back(Member.Address);
  return Addresses;
}

/// Creates a pool for each new service of model engines.
void gateway::state::updatePools() {
  if (Shutdown)
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
                    .Gate = Gate,
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
                    .Buffers = Buffers,
                    .ResultKind = std::string(ResultKind),
                    .UnixNow = unixNowMs,
                    .NewId = [this] { return newId(); }},
      .Election = makeElectionOptions(Name, LeaseKind),
      .JobKind = std::string(JobKind),
      .SingleVersion = [this, Name] {
        return std::any_of(Handler.config().Routes.begin(),
                           Handler.config().Routes.end(),
                           [&](const route &Route) {
                             return Route.Kind == route_kind::Rollout &&
                                    Route.SingleVersion &&
                                    Route.Services.front().Service == Name;
                           });
      }});
}

leader_election_options
gateway::state::makeElectionOptions(const std::string &Name,
                                    std::string_view Kind) {
  return {
      .Loop = Loop,
      .Client = Client,
      .Store = Store,
      .Name = Name,
      .LeaseKind = std::string(Kind),
      .Self = Options.Name,
      .Incarnation = Incarnation,
      .InnerAddress = Options.InnerListen,
      .LeaseLength = Options.LeaseLength,
      .Standbys = [this](const std::string &Task) { return rankedPeers(Task); },
      .Rank = [this, Name] { return Fleet.rank(Name); },
      .HasHigherCpuClass =
          [this](std::string_view Member) {
            return Fleet.hasHigherCpuClass(Member);
          },
      .Random = [this] { return random(); },
      .NewId = [this] { return newId(); }};
}

pool_leadership *gateway::state::findPool(const std::string &Name) {
  const auto It = Pools.find(Name);
  return It == Pools.end() ? nullptr : It->second.get();
}

leader_election *gateway::state::findElection(const std::string &Name) {
  if (Name == DutyElection)
    return UsageReporter ? &UsageReporter->election() : nullptr;
  pool_leadership *Pool = findPool(Name);
  return Pool ? &Pool->election() : nullptr;
}

void gateway::state::watchRetirements() {
  const std::string &Kind = Options.Protocols.ObjectNames.RetirementKind;
  // The gateways ranked first may have failed permanently, but every pool has a
  // live lease holder, so lease holders watch as well.
  const bool IsLeaseHolder =
      std::any_of(Pools.begin(), Pools.end(),
                  [](const auto &Pool) { return Pool.second->holdsLease(); });
  if (!IsLeaseHolder && Fleet.rank(Kind) >= RetirementWatchers) {
    RetirementWatcher.reset();
    return;
  }
  if (!RetirementWatcher)
    RetirementWatcher = makeWatcher(
        Kind, RetirementMaxAge, milliseconds(0),
        [this](const stored_object &Object) { onRetirement(Object); });
}

/// Storage VMs hold no data of this system, so a retirement is confirmed
/// immediately.
void gateway::state::onRetirement(const stored_object &Object) {
  RetirementTimers.erase(Object.Name);
  const nlohmann::json RetiredStatus =
      Options.Protocols.EncodeRetirementStatus(true);
  if (Object.Removed || !Object.UnreadableReason.empty() ||
      Object.Status == RetiredStatus)
    return;
  const auto Delay =
      milliseconds(long(random() * double(RetirementJitter.count())));
  RetirementTimers[Object.Name] =
      Loop.after(Delay, [this, Name = Object.Name, RetiredStatus] {
        logInfo("retirement_answered", {{"vm", Name}});
        Store.call({.Op = object_op::ReplaceStatus,
                    .Kind = Options.Protocols.ObjectNames.RetirementKind,
                    .Name = Name,
                    .Value = RetiredStatus},
                   [this, Name](const object_reply &Reply) {
                     if (Reply.Outcome == object_outcome::Refused ||
                         Reply.Outcome == object_outcome::Unknown)
                       Store.whenReachable([this, Name] {
                         stored_object Retry;
                         Retry.Name = Name;
                         onRetirement(Retry);
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
    metrics::get().gauge("response_buffer_bytes").set(Buffers->totalBytes());
    scheduleMaintenance();
  });
}

void gateway::state::handleReadiness(const exchange_ptr &Exchange) const {
  const bool Ready =
      !Shutdown && Handler.configured() && ReplicaWatcher->ready();
  Exchange->respond({.Status = Ready ? 200U : 503U, .Headers = {}, .Body = {}});
}

void gateway::state::handleInner(const exchange_ptr &Exchange) {
  const std::string_view Path = pathOf(Exchange->request().Target);
  const std::string &Target = Exchange->request().Target;
  if (Path == "/metrics") {
    Exchange->respond({.Status = 200,
                       .Headers = {{"Content-Type", "text/plain"}},
                       .Body = metrics::get().toPrometheusText()});
    return;
  }
  if (Path.starts_with(InnerForwardPrefix)) {
    Exchange->setTarget(Target.substr(InnerForwardPrefix.size()));
    Handler.handle(Exchange, /*Forwarded=*/true);
    return;
  }
  pool_leadership *Pool = findPool(queryParameter(Target, "pool"));
  if (Path == InnerAlivePath) {
    unsigned Status = 404;
    leader_election *Election = findElection(queryParameter(Target, "pool"));
    if (Election && Election->holdsLease()) {
      Status = Election->isServing(event_loop::now()) ? 200 : 503;
      Election->onCandidateProbe(queryParameter(Target, "from"));
    }
    Exchange->respond({.Status = Status, .Headers = {}, .Body = {}});
  } else if (Path == InnerResultsPath) {
    handleInnerResults(Exchange, Pool);
  } else if (Path == InnerLeasePath) {
    handleInnerLease(Exchange, findElection(queryParameter(Target, "pool")));
  } else if (Path == InnerItemPath) {
    handleInnerItem(Exchange, Pool);
  } else if (Path == InnerHandoverPath) {
    handleInnerHandover(Exchange, Pool);
  } else if (Path == InnerCheckpointPath) {
    handleInnerCheckpoint(Exchange, Pool);
  } else if (Path == InnerUsagePath) {
    const uint64_t After =
        strtoull(queryParameter(Target, "after").c_str(), nullptr, 10);
    Exchange->respond({.Status = UsageReporter ? 200U : 404U,
                       .Headers = {{"Content-Type", "application/json"}},
                       .Body = UsageReporter
                                   ? UsageReporter->encodeCounts(After)
                                   : std::string()});
  } else if (Path == InnerJobPath) {
    handleInnerJob(Exchange, Pool);
  } else if (Path == InnerEndPath) {
    if (Pool && Pool->scheduler())
      Pool->scheduler()->endJob(queryParameter(Target, "job"));
    Exchange->respond({.Status = 200, .Headers = {}, .Body = {}});
  } else {
    Exchange->respond({.Status = 404, .Headers = {}, .Body = {}});
  }
}

void gateway::state::handleInnerResults(const exchange_ptr &Exchange,
                                        pool_leadership *Pool) {
  if (!Pool || !Pool->scheduler()) {
    Exchange->respond({.Status = 404, .Headers = {}, .Body = {}});
    return;
  }
  const std::string &Target = Exchange->request().Target;
  job_call Call{.Kind = job_call_kind::ReadResults,
                .JobId = queryParameter(Target, "job")};
  Call.After = strtoull(queryParameter(Target, "after").c_str(), nullptr, 10);
  Call.Wait = milliseconds(
      strtoull(queryParameter(Target, "wait_ms").c_str(), nullptr, 10));
  const auto Answer = [Exchange](const std::string *Page) {
    Exchange->respond({.Status = Page ? 200U : 404U,
                       .Headers = {{"Content-Type", "application/json"}},
                       .Body = Page ? *Page : std::string()});
  };
  Pool->scheduler()->readResults(
      Call, [this, Call, Answer](bool Known, const std::string &Page) {
        if (Known)
          Answer(&Page);
        else
          JobHandler.readStoredResults(Call, Answer);
      });
}

void gateway::state::handleInnerLease(const exchange_ptr &Exchange,
                                      leader_election *Election) {
  try {
    if (Election)
      Election->onLeaseAnnounced(parseBoundedJson(Exchange->request().Body));
    Exchange->respond({.Status = 200, .Headers = {}, .Body = {}});
  } catch (const std::invalid_argument &Error) {
    Exchange->respond({.Status = 400, .Headers = {}, .Body = Error.what()});
  }
}

void gateway::state::handleInnerItem(const exchange_ptr &Exchange,
                                     pool_leadership *Pool) {
  const std::string &Target = Exchange->request().Target;
  std::optional<std::string> Body;
  if (Pool && Pool->scheduler())
    Body = Pool->scheduler()->itemBody(queryParameter(Target, "job"),
                                       queryParameter(Target, "item"));
  Exchange->respond({.Status = Body ? 200U : 404U,
                     .Headers = {},
                     .Body = std::move(Body).value_or(std::string())});
}

void gateway::state::handleInnerCheckpoint(const exchange_ptr &Exchange,
                                           pool_leadership *Pool) {
  if (Exchange->request().Method == "POST") {
    if (Pool)
      Pool->setCheckpoint(Exchange->request().Body);
    Exchange->respond({.Status = 200, .Headers = {}, .Body = {}});
    return;
  }
  const bool HasCheckpoint = Pool && !Pool->checkpoint().empty();
  Exchange->respond(
      {.Status = HasCheckpoint ? 200U : 404U,
       .Headers = {{"Content-Type", "application/json"}},
       .Body = HasCheckpoint ? Pool->checkpoint() : std::string()});
}

void gateway::state::handleInnerJob(const exchange_ptr &Exchange,
                                    pool_leadership *Pool) {
  const std::string &Target = Exchange->request().Target;
  try {
    stored_object Job;
    Job.Name = queryParameter(Target, "job");
    Job.Revision =
        strtoull(queryParameter(Target, "revision").c_str(), nullptr, 10);
    Job.Spec = parseBoundedJson(Exchange->request().Body);
    if (Pool)
      Pool->onJobAccepted(Job);
    Exchange->respond({.Status = 200, .Headers = {}, .Body = {}});
  } catch (const std::invalid_argument &Error) {
    Exchange->respond({.Status = 400, .Headers = {}, .Body = Error.what()});
  }
}

void gateway::state::handleInnerHandover(const exchange_ptr &Exchange,
                                         pool_leadership *Pool) {
  try {
    if (!Pool)
      throw std::invalid_argument("unknown pool");
    const nlohmann::json Lease = parseBoundedJson(Exchange->request().Body);
    const scheduler_handover Handover = Pool->handOver(Lease);
    header_list Headers = {{"Content-Type", "application/json"}};
    if (Handover.SettleTime)
      Headers.add(InnerSettleHeader,
                  std::to_string(Handover.SettleTime->count()));
    Exchange->respond({.Status = 200,
                       .Headers = std::move(Headers),
                       .Body = toJsonText(Handover.Progress)});
  } catch (const std::invalid_argument &Error) {
    logInfo("handover_refused", {{"reason", Error.what()}});
    Exchange->respond({.Status = 409, .Headers = {}, .Body = Error.what()});
  }
}

void gateway::state::stop() {
  if (Shutdown)
    return;
  Shutdown.emplace(shutdown_plan_options{.StoppedAt = event_loop::now(),
                                         .DrainNotice = Options.DrainNotice,
                                         .StopTimeout = Options.StopTimeout});
  logInfo("stopping",
          {{"in_flight", std::to_string(CallerServer->requestsInFlight())}});
  for (const auto &[Name, Pool] : Pools)
    Pool->releaseLease();
  if (UsageReporter)
    UsageReporter->stop();
  checkStopped();
}

void gateway::state::checkStopped() {
  const time_point Now = event_loop::now();
  if (Shutdown->drainsConnections(Now) && !Draining) {
    Draining = true;
    CallerServer->drain(DrainIdleTimeout);
  }
  if (Shutdown->refusesConnections(Now) && !RefusingConnections) {
    RefusingConnections = true;
    CallerServer->refuseConnections();
    logInfo("connections_refused",
            {{"in_flight", std::to_string(CallerServer->requestsInFlight())}});
  }
  if (Shutdown->answersUnfinished(Now) && !UnfinishedAnswered) {
    UnfinishedAnswered = true;
    for (const exchange_ptr &Exchange : CallerServer->unfinishedExchanges())
      Handler.endUnfinished(Exchange);
  }
  const bool Idle =
      CallerServer->requestsInFlight() == 0 && CallerServer->connections() == 0;
  if (Shutdown->isOver(Now, Idle)) {
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
