/// \file
/// State of every upstream as known to this entry: configuration, connection to
/// its agent, and the agent's last load report.
///
/// Use:
///   upstream_directory Directory({.EntryName = "entry-1"});
///   Directory.setConfiguration(Configuration);
///   Directory.onPeerUp(Address, Identity, Epoch); // from inner_client hooks
///   Directory.onHeartbeat(Address, Heartbeat, Now);
///   auto Upstreams = Directory.upstreamsOfPool("chat-model");
///
/// Thread-safe. onHeartbeat() costs O(log n) in the number of upstreams; the
/// other calls may visit all assets of the configuration.

#ifndef CARDAMOM_ENTRY_UPSTREAM_DIRECTORY_H
#define CARDAMOM_ENTRY_UPSTREAM_DIRECTORY_H

#include "config/configuration.h"
#include "inner/peer.h"
#include "policy/router.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamom {

namespace wire {
class heartbeat;
} // namespace wire

/// One row of "/status".
struct upstream_status {
  upstream_view View;
  std::string Pool;
  std::string Address;
  uint64_t Incarnation = 0;
  uint64_t Epoch = 0;
  bool DomainAvoided = false;
  double TokensPerSecond = 0;
  uint32_t LoadAgeMs = 0;
};

struct upstream_directory_options {
  /// Together with AgentsPerPool, determines which agents of each pool this
  /// entry connects to.
  std::string EntryName;
  size_t AgentsPerPool = 40;
};

class upstream_directory {
public:
  explicit upstream_directory(upstream_directory_options Options = {})
      : Options(std::move(Options)) {}

  void setConfiguration(std::shared_ptr<const configuration> Configuration);
  [[nodiscard]] std::shared_ptr<const configuration> config() const;
  /// Sets the names of the VMs that the platform is about to stop.
  void setLeavingVms(std::set<std::string> Vms);

  void onPeerUp(std::string_view Address, const peer_identity &Peer,
                uint64_t Epoch);
  /// If more than half of the selected agents in a failure domain are
  /// unreachable, the domain is avoided until one of its agents reconnects.
  void onPeerDown(std::string_view Address);
  void onHeartbeat(std::string_view Address, const wire::heartbeat &Heartbeat,
                   time_point Now);

  /// Returns the upstreams of a pool. Upstreams in avoided failure domains are
  /// omitted, unless no other upstream is connected.
  [[nodiscard]] std::vector<upstream_view>
  upstreamsOfPool(std::string_view Pool) const;
  [[nodiscard]] std::vector<upstream_status> status() const;
  /// Inner addresses of the agents that this entry connects to.
  [[nodiscard]] std::vector<std::string> agentAddresses() const;
  /// Inner address of an upstream or of the agent process with this name.
  [[nodiscard]] std::optional<std::string>
  addressOf(std::string_view Name) const;
  /// Inner addresses of the pool's agents that this entry connects to.
  [[nodiscard]] std::vector<std::string>
  addressesOfPool(std::string_view Pool) const;
  [[nodiscard]] size_t entryCount() const;

private:
  /// Connection state and load of one agent.
  struct agent_state {
    bool Connected = false;
    peer_identity Identity;
    uint64_t Epoch = 0;
    bool HasLoad = false;
    bool Draining = false;
    bool Ready = true;
    unsigned Slots = 0;
    unsigned Running = 0;
    unsigned Queued = 0;
    uint64_t ObservedVersion = 0;
    double TokensPerSecond = 0;
    uint32_t LoadAgeMs = 0;
    time_point LoadAt{};
  };

  [[nodiscard]] upstream_status statusOf(const asset &Asset) const;
  [[nodiscard]] std::string failureDomainOf(std::string_view Address) const;
  void selectAgents();
  [[nodiscard]] bool isMostlyUnreachable(std::string_view Domain) const;

  upstream_directory_options Options;
  mutable std::mutex Mutex;
  std::shared_ptr<const configuration> Configuration;
  /// Inner addresses of the agents that this entry connects to.
  std::set<std::string, std::less<>> SelectedAddresses;
  std::set<std::string> LeavingVms;
  std::map<std::string, agent_state, std::less<>> Agents;
  std::set<std::string, std::less<>> AvoidedDomains;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_UPSTREAM_DIRECTORY_H
