/// \file
/// What this entry knows of every upstream: the configuration, the state of
/// the connection to its agent, and the agent's last load report.
///
/// Use:
///   upstream_directory Directory({.EntryName = "entry-1"});
///   Directory.setConfiguration(Configuration);
///   Directory.onPeerUp(Address, Identity, Epoch); // from inner_client hooks
///   Directory.onHeartbeat(Address, Heartbeat, Now);
///   auto Views = Directory.views("chat-model");
///
/// Thread-safe. Every call costs O(log n), views() O(pool), in the number of
/// upstreams.

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
  /// Chooses, with the size, which agents of each pool this entry connects to.
  std::string EntryName;
  size_t AgentsPerPool = 40;
};

class upstream_directory {
public:
  explicit upstream_directory(upstream_directory_options Options = {})
      : Options(std::move(Options)) {}

  void setConfiguration(std::shared_ptr<const configuration> Configuration);
  [[nodiscard]] std::shared_ptr<const configuration> config() const;
  /// Names of VMs that the platform is about to stop.
  void setLeavingVms(std::set<std::string> Vms);

  void onPeerUp(std::string_view Address, const peer_identity &Peer,
                uint64_t Epoch);
  /// When more than half of the agents of a failure domain are unreachable,
  /// the domain is avoided until one of its agents connects again.
  void onPeerDown(std::string_view Address);
  void onHeartbeat(std::string_view Address, const wire::heartbeat &Heartbeat,
                   time_point Now);

  /// The upstreams of a pool. Those of an avoided failure domain are left out
  /// unless that would leave no connected one.
  [[nodiscard]] std::vector<upstream_view>
  upstreamsOfPool(std::string_view Pool) const;
  [[nodiscard]] std::vector<upstream_status> status() const;
  /// Inner addresses of the agents that this entry connects to.
  [[nodiscard]] std::vector<std::string> agentAddresses() const;
  /// Inner address of an upstream, or of the agent process with that name.
  [[nodiscard]] std::optional<std::string>
  addressOf(std::string_view Name) const;
  /// Inner addresses of the pool's agents that this entry connects to.
  [[nodiscard]] std::vector<std::string>
  addressesOfPool(std::string_view Pool) const;
  [[nodiscard]] size_t entryCount() const;

private:
  /// Connection and load of one agent, by inner address.
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
  /// Inner addresses chosen from the configuration.
  std::set<std::string, std::less<>> SelectedAddresses;
  std::set<std::string> LeavingVms;
  std::map<std::string, agent_state, std::less<>> Agents;
  std::set<std::string, std::less<>> AvoidedDomains;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_UPSTREAM_DIRECTORY_H
