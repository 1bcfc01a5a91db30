/// \file
/// Elects one of the gateways for a task, such as scheduling the jobs of a
/// pool, by a lease in the store.
///
/// Usage:
///   leader_election Election({.Name = "pool", .OnElected = ..., ...});
///   Election.start();
///   if (Election.mayAct(Now)) send orders
///   Election.release();   // on shutdown
///
/// One gateway holds the lease. The others regularly probe whether it is alive
/// and can serve. If it is not, the highest-ranked of them takes over the lease
/// by a conditional write. A holder with little CPU yields to a gateway that
/// has more. Only the holder watches the lease in the store, to learn at once
/// of a successor whose requests did not reach it; the others read it only when
/// needed. Runs on the event loop's thread.

#ifndef CARDAMOM_GATEWAY_LEADER_ELECTION_H
#define CARDAMOM_GATEWAY_LEADER_ELECTION_H

#include "policy/lease.h"
#include "store/object_watcher.h"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

class client_call_state;
class http_client;
struct call_completion;

struct leader_election_options {
  event_loop &Loop;
  http_client &Client;
  async_store_client &Store;
  /// Name of the task, and of the lease object.
  std::string Name;
  std::string LeaseKind;
  std::string Self;
  std::string Incarnation;
  /// Inner address of this process: the one at which it serves calls from other
  /// gateways.
  std::string InnerAddress;
  milliseconds LeaseLength{3000};
  /// This process has acquired the lease. Predecessor: inner address of the
  /// previous holder; empty = there was none.
  std::function<void(const std::string &Predecessor)> OnElected;
  /// This process no longer holds the lease.
  std::function<void(std::string_view Reason)> OnStoppedLeading;
  /// Whether this process, as the holder, can do its task.
  std::function<bool(time_point Now)> CanServe;
  /// Inner addresses of the other gateways by rank, highest first; all gateways
  /// use the same order.
  std::function<std::vector<std::string>(const std::string &Name)> Standbys;
  /// Rank of this process among the gateways; 0 = highest.
  std::function<size_t()> Rank = [] { return size_t(0); };
  /// Whether the gateway has clearly more CPU than this process.
  std::function<bool(std::string_view Name)> HasHigherCpuClass =
      [](std::string_view /*Name*/) { return false; };
  /// Uniform random number in [0, 1).
  std::function<double()> Random;
  /// Returns a unique id for each write.
  std::function<std::string()> NewId;
  /// Interval of the probes to the lease holder: by the gateways that are
  /// likely to take over the lease, and by the others.
  milliseconds ProbeInterval{300};
  milliseconds SlowProbeInterval{1200};
  size_t LikelySuccessors = 4;
  milliseconds ProbeTimeout{400};
  /// Consecutive probes without a response after which the holder is considered
  /// down.
  unsigned MaxProbeFailures = 2;
  /// A holder that has not reached the store for this long reports that it
  /// cannot serve.
  milliseconds MaxStoreOutage{400};
  /// After a store outage, a holder may report for this long that it cannot
  /// serve before it is replaced.
  milliseconds OutageGrace{1200};
  /// A holder does not yield before this time after its election.
  milliseconds StartGrace{3000};
  /// If the probe timer fires later than this after its previous run, the
  /// process is assumed to have been paused, and reads its lease from the
  /// store.
  milliseconds PauseThreshold{1000};
  /// Additional delay before the lease is acquired for the first time: the
  /// gateways have just started and do not know each other yet.
  milliseconds FirstAcquireDelay{2500};
  /// A holder that yields reports for this long that it cannot serve, and
  /// yields at most once per MinYieldInterval.
  milliseconds YieldDuration{1500};
  milliseconds MinYieldInterval{10000};
};

class leader_election {
public:
  explicit leader_election(leader_election_options Options);
  ~leader_election();
  leader_election(const leader_election &) = delete;
  leader_election &operator=(const leader_election &) = delete;

  void start();
  /// The store is reachable again after an outage.
  void onStoreReconnected() { readLease(); }
  /// Releases the lease and does not acquire it again. This process stays
  /// the leader until it sees a successor's lease, but does not act any more.
  void release();
  [[nodiscard]] bool released() const { return Released; }
  [[nodiscard]] bool holdsLease() const { return Lease.holds(); }
  /// Whether this process holds the lease and may act on it now.
  [[nodiscard]] bool mayAct(time_point Now) const { return Lease.mayAct(Now); }
  /// Whether this process has held the lease for its whole length, so that no
  /// call of a former holder can follow its own.
  [[nodiscard]] bool hasSettled(time_point Now) const;
  /// Renews the lease if it expires soon.
  void renewIfDue(time_point Now);
  /// Whether this process, as the holder, is in a position to serve; see
  /// CanServe.
  [[nodiscard]] bool isServing(time_point Now) const;
  /// Inner address of the holder; empty if there is none or it is this process.
  [[nodiscard]] std::string holderAddress() const;
  [[nodiscard]] const pool_lease_record &record() const {
    return Lease.record();
  }
  [[nodiscard]] nlohmann::json encodedLease() const;
  [[nodiscard]] time_point electedAt() const { return ElectedAt; }

  /// Reads the lease from the store: a write may have been applied although its
  /// response was lost, or another process may hold the lease.
  void readLease();
  /// Calls OnConfirmed once the store has confirmed that this process holds the
  /// lease, otherwise never.
  void confirmLease(std::function<void()> OnConfirmed);
  /// Sends the new lease to the other gateways, so that they need not read it
  /// from the store. If a gateway misses the announcement, its next probe shows
  /// that the former holder does not serve, and it reads the lease then.
  void announceLease();
  /// Another process has announced its lease. Throws std::invalid_argument if
  /// Announced is malformed.
  void onLeaseAnnounced(const nlohmann::json &Announced);
  /// Throws std::invalid_argument if the lease that a successor has sent is
  /// malformed or outdated.
  void checkSuccessor(const nlohmann::json &SuccessorLease) const;
  /// Records a lease that a successor has sent and checkSuccessor() accepts.
  void onSuccessor(const nlohmann::json &SuccessorLease);
  /// Records that the former holder has stopped acting; see lease.
  void onPredecessorStopped(std::optional<milliseconds> SettleTime,
                            time_point Now) {
    Lease.onPredecessorStopped(SettleTime, Now);
  }
  /// What this process, as a former holder, tells its successor; see lease.
  [[nodiscard]] std::optional<milliseconds>
  settleTimeFor(const nlohmann::json &SuccessorLease, time_point Now) const;
  /// Records that a call under the lease is about to be sent.
  void onActed(time_point Now) { Lease.onActed(Now); }
  /// Time until this process, as the holder, may act.
  [[nodiscard]] milliseconds waitToAct(time_point Now) const {
    return Lease.waitToAct(Now);
  }
  /// A gateway that can reach the store, and could take over, has probed this
  /// one.
  void onCandidateProbe(std::string_view Name);

private:
  void observeLease(const stored_object &Object);
  void tick();
  void checkForPause(time_point Now);
  void probeHolder(const std::string &Address);
  void onProbeAnswer(const call_completion &End, unsigned Status);
  void scheduleAcquire();
  void acquire();
  void renew();
  void writeLease(const pool_lease_record &Record, bool Renewal);
  void onLeaseRead(const object_reply &Reply);
  void watchLease();
  void startLeading(const std::string &Predecessor);
  void stopLeading(std::string_view Reason);
  [[nodiscard]] bool isLikelySuccessor() const;

  leader_election_options Options;
  lease Lease;
  /// From OnElected to OnStoppedLeading.
  bool IsLeader = false;
  bool HolderDown = false;
  bool Probing = false;
  bool ReadingLease = false;
  time_point LastTickAt{};
  time_point ElectedAt{};
  time_point LastProbeAt{};
  time_point YieldedAt{};
  /// The lease object does not exist in the store.
  bool LeaseAbsent = false;
  bool WritingLease = false;
  bool Released = false;
  unsigned ProbeFailures = 0;
  std::unique_ptr<object_watcher> LeaseWatcher;
  std::shared_ptr<client_call_state> ProbeCall;
  std::vector<std::shared_ptr<client_call_state>> AnnouncementCalls;
  std::shared_ptr<timer_state> TickTimer;
  std::shared_ptr<timer_state> AcquireTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_LEADER_ELECTION_H
