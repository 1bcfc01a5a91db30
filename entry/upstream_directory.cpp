#include "entry/upstream_directory.h"

#include "base/log.h"
#include "inner/gen/messages.pb.h"
#include "policy/subset.h"

#include <algorithm>
#include <utility>

namespace cardamom {

void upstream_directory::setConfiguration(
    std::shared_ptr<const configuration> Next) {
  std::lock_guard Lock(Mutex);
  Configuration = std::move(Next);
  selectAgents();
}

void upstream_directory::selectAgents() {
  std::map<std::string_view, std::vector<const asset *>> Pools;
  for (const asset &Asset : Configuration->Assets)
    if (Asset.Kind != asset_kind::Entry)
      Pools[Asset.Pool].push_back(&Asset);
  SelectedAddresses.clear();
  for (const auto &[Pool, Assets] : Pools) {
    std::vector<subset_candidate> Candidates;
    for (const asset *Asset : Assets)
      Candidates.push_back({Asset->Name, Asset->FailureDomain});
    for (size_t Index : chooseSubset(Options.EntryName, Candidates,
                                     {.Size = Options.AgentsPerPool}))
      SelectedAddresses.insert(Assets[Index]->InnerAddress);
  }
}

std::shared_ptr<const configuration> upstream_directory::config() const {
  std::lock_guard Lock(Mutex);
  return Configuration;
}

void upstream_directory::setLeavingVms(std::set<std::string> Vms) {
  std::lock_guard Lock(Mutex);
  LeavingVms = std::move(Vms);
}

std::string
upstream_directory::failureDomainOf(std::string_view Address) const {
  if (!Configuration)
    return {};
  for (const asset &Asset : Configuration->Assets)
    if (Asset.Kind != asset_kind::Entry && Asset.InnerAddress == Address)
      return Asset.FailureDomain;
  return {};
}

void upstream_directory::onPeerUp(std::string_view Address,
                                  const peer_identity &Peer, uint64_t Epoch) {
  std::string Restored;
  {
    std::lock_guard Lock(Mutex);
    agent_state &Agent = Agents[std::string(Address)];
    // A restarted agent has not sent a load report yet.
    if (Agent.Identity.Incarnation != Peer.Incarnation)
      Agent = {};
    Agent.Connected = true;
    Agent.Identity = Peer;
    Agent.Epoch = Epoch;
    const std::string Domain = failureDomainOf(Address);
    if (AvoidedDomains.erase(Domain) > 0)
      Restored = Domain;
  }
  if (!Restored.empty())
    logInfo("failure_domain_used_again", {{"failure_domain", Restored}});
}

bool upstream_directory::isMostlyUnreachable(std::string_view Domain) const {
  size_t Total = 0;
  size_t Unreachable = 0;
  for (const asset &Asset : Configuration->Assets) {
    if (!SelectedAddresses.contains(Asset.InnerAddress) ||
        Asset.FailureDomain != Domain)
      continue;
    ++Total;
    const auto It = Agents.find(Asset.InnerAddress);
    if (It == Agents.end() || !It->second.Connected)
      ++Unreachable;
  }
  return Unreachable * 2 > Total;
}

void upstream_directory::onPeerDown(std::string_view Address) {
  std::string Avoided;
  {
    std::lock_guard Lock(Mutex);
    const auto It = Agents.find(Address);
    if (It == Agents.end())
      return;
    It->second.Connected = false;
    const std::string Domain = failureDomainOf(Address);
    if (!Domain.empty() && isMostlyUnreachable(Domain) &&
        AvoidedDomains.insert(Domain).second)
      Avoided = Domain;
  }
  if (!Avoided.empty())
    logInfo("failure_domain_avoided", {{"failure_domain", Avoided}});
}

void upstream_directory::onHeartbeat(std::string_view Address,
                                     const wire::heartbeat &Heartbeat,
                                     time_point Now) {
  std::lock_guard Lock(Mutex);
  const auto It = Agents.find(Address);
  if (It == Agents.end())
    return;
  agent_state &Agent = It->second;
  Agent.Draining = Heartbeat.draining();
  if (!Heartbeat.has_load())
    return;
  const wire::load_report &Load = Heartbeat.load();
  Agent.HasLoad = true;
  Agent.Draining = Agent.Draining || Load.draining();
  Agent.Ready = Load.ready();
  Agent.Slots = Load.slots();
  Agent.Running = Load.running();
  Agent.Queued = Load.queued_live() + Load.queued_trainer_first() +
                 Load.queued_trainer_second();
  Agent.ObservedVersion = Load.observed_version();
  Agent.TokensPerSecond = Load.tokens_per_second();
  Agent.LoadAgeMs = Load.age_ms();
  Agent.LoadAt = Now - milliseconds(Load.age_ms());
}

upstream_status upstream_directory::statusOf(const asset &Asset) const {
  upstream_status Status;
  Status.Pool = Asset.Pool;
  Status.Address = Asset.InnerAddress;
  Status.DomainAvoided = AvoidedDomains.contains(Asset.FailureDomain);
  upstream_view &View = Status.View;
  View.Name = Asset.Name;
  View.FailureDomain = Asset.FailureDomain;
  View.Slots = Asset.Concurrency;
  View.Draining =
      Configuration->isRetiring(Asset.Name) || LeavingVms.contains(Asset.Vm);
  const auto It = Agents.find(Asset.InnerAddress);
  if (It == Agents.end())
    return Status;
  const agent_state &Agent = It->second;
  Status.Incarnation = Agent.Identity.Incarnation;
  Status.Epoch = Agent.Epoch;
  Status.TokensPerSecond = Agent.TokensPerSecond;
  Status.LoadAgeMs = Agent.LoadAgeMs;
  View.Connected = Agent.Connected;
  View.Draining = View.Draining || Agent.Draining;
  View.Ready = Agent.Ready;
  View.Running = Agent.Running;
  View.Queued = Agent.Queued;
  View.ObservedVersion = Agent.ObservedVersion;
  View.LoadReportedAt = Agent.LoadAt;
  if (Agent.HasLoad && Agent.Slots > 0)
    View.Slots = Agent.Slots;
  return Status;
}

std::vector<upstream_view>
upstream_directory::upstreamsOfPool(std::string_view Pool) const {
  std::lock_guard Lock(Mutex);
  std::vector<upstream_view> Preferred;
  std::vector<upstream_view> All;
  if (!Configuration)
    return All;
  bool PreferredConnected = false;
  for (const asset &Asset : Configuration->Assets) {
    if (Asset.Pool != Pool || !SelectedAddresses.contains(Asset.InnerAddress))
      continue;
    upstream_status Status = statusOf(Asset);
    if (!Status.DomainAvoided) {
      PreferredConnected = PreferredConnected || Status.View.Connected;
      Preferred.push_back(Status.View);
    }
    All.push_back(std::move(Status.View));
  }
  return PreferredConnected ? Preferred : All;
}

std::vector<upstream_status> upstream_directory::status() const {
  std::lock_guard Lock(Mutex);
  std::vector<upstream_status> Rows;
  if (!Configuration)
    return Rows;
  for (const asset &Asset : Configuration->Assets)
    if (Asset.Kind != asset_kind::Entry)
      Rows.push_back(statusOf(Asset));
  return Rows;
}

std::vector<std::string> upstream_directory::agentAddresses() const {
  std::lock_guard Lock(Mutex);
  return {SelectedAddresses.begin(), SelectedAddresses.end()};
}

size_t upstream_directory::entryCount() const {
  std::lock_guard Lock(Mutex);
  if (!Configuration)
    return 0;
  return size_t(std::count_if(
      Configuration->Assets.begin(), Configuration->Assets.end(),
      [](const asset &Asset) { return Asset.Kind == asset_kind::Entry; }));
}

std::optional<std::string>
upstream_directory::addressOf(std::string_view Name) const {
  std::lock_guard Lock(Mutex);
  if (Configuration)
    if (const asset *Asset = Configuration->findAsset(Name))
      return Asset->InnerAddress;
  for (const auto &[Address, Agent] : Agents)
    if (Agent.Identity.Name == Name)
      return Address;
  return std::nullopt;
}

std::vector<std::string>
upstream_directory::addressesOfPool(std::string_view Pool) const {
  std::lock_guard Lock(Mutex);
  std::vector<std::string> Addresses;
  if (!Configuration)
    return Addresses;
  for (const asset &Asset : Configuration->Assets)
    if (Asset.Pool == Pool && SelectedAddresses.contains(Asset.InnerAddress))
      Addresses.push_back(Asset.InnerAddress);
  return Addresses;
}

} // namespace cardamom
