/// \file
/// The known replicas of all services: as listed in the store, with the health
/// and load observed through calls.
///
/// Use:
///   replica_directory Directory({...});
///   Directory.replaceAll(Replicas, GraceUntil, Now);
///   for (const replica *R : Directory.usable("service", Now)) ...
///   Directory.onCallFailed(Id, Now);
///
/// Deterministic: reads no clock and does no I/O. usable() costs O(replicas).

#ifndef CARDAMOM_GATEWAY_REPLICA_DIRECTORY_H
#define CARDAMOM_GATEWAY_REPLICA_DIRECTORY_H

#include "base/time.h"
#include "gateway/upstream_request.h"
#include "policy/replica_pace.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct replica {
  std::string Id;
  std::string Service;
  /// "IP:port".
  std::string Address;
  std::string FailureDomain;
  unsigned Slots = 1;
  bool Draining = false;
  /// Start of the process in Unix milliseconds; detects a restart under the
  /// same id.
  uint64_t StartedAtMs = 0;
  /// Loaded weight version by model.
  std::map<std::string, uint64_t, std::less<>> Versions;
  /// Revision of the entry in the store; 0 = unknown.
  uint64_t Revision = 0;
};

struct replica_directory_options {
  /// Backoff after a failed call; doubles with each further failure.
  milliseconds MinBackoff{250};
  milliseconds MaxBackoff{4000};
  /// Consecutive failed calls before the backoff starts.
  unsigned FailureThreshold = 1;
  /// A process that has said that it is leaving is remembered for this long
  /// after it was last listed.
  milliseconds DepartureRetention{600000};
  /// Its Log is set by the directory.
  replica_pace_options Pace;
  /// Replicas that are listed within this time of the first list are not new:
  /// their entries may only have been late.
  milliseconds StartupGrace{10000};
  std::function<void(std::string_view Event, const replica &Replica,
                     const std::string &Detail)>
      Log;
};

class replica_directory {
public:
  explicit replica_directory(replica_directory_options Options);
  replica_directory(const replica_directory &) = delete;
  replica_directory &operator=(const replica_directory &) = delete;

  /// Replaces the whole list. GraceUntil is set after a store outage: replicas
  /// that are alive but not listed may register again until then, and stay
  /// usable.
  void replaceAll(std::span<const replica> Replicas,
                  std::optional<time_point> GraceUntil, time_point Now);
  void update(const replica &Replica, time_point Now);
  void remove(std::string_view Id, std::optional<time_point> GraceUntil,
              time_point Now);
  /// Drops the replicas whose grace period after an outage has ended.
  void expire(time_point Now);

  /// Returns null when the replica is not known.
  [[nodiscard]] const replica *find(std::string_view Id) const;
  /// Replicas of a service that accept new work. Those in backoff are excluded
  /// as long as others remain.
  [[nodiscard]] std::vector<const replica *> usable(std::string_view Service,
                                                    time_point Now) const;
  /// All known replicas of a service, including draining ones.
  [[nodiscard]] std::vector<const replica *>
  listed(std::string_view Service) const;

  /// Whether the process of that replica, identified by its start, accepts new
  /// work.
  [[nodiscard]] bool acceptsWork(std::string_view Id,
                                 uint64_t StartedAtMs) const;

  /// Records what the head of a response says of the replica to which the
  /// request with RequestId was sent: its load, and whether it is leaving. A
  /// response to another request or by another replica says nothing.
  ///
  /// A replica that has said that it is leaving gets no new work, whatever a
  /// list says that is older or repeats older entries. That ends only with the
  /// process.
  void onResponseHead(std::string_view Id, uint64_t StartedAtMs,
                      std::string_view RequestId, const upstream_head &Head,
                      time_point Now);
  void onCallFailed(std::string_view Id, time_point Now);
  void onCallSucceeded(std::string_view Id);
  /// Records a call that the replica refused because it is full.
  void onCallRefused(std::string_view Id) { Pace.onRefusal(Id); }
  void onDispatched(std::string_view Id, time_point Now) {
    Pace.onDispatch(Id, Now);
  }
  /// Records the duration of a call, or the time between two events, of the
  /// process that started at StartedAtMs.
  void onAnswerTime(std::string_view Id, uint64_t StartedAtMs,
                    pace_measure Measure,
                    std::chrono::duration<double, std::milli> Time);
  /// Limits of replicas that are new or have recovered. Replicas of the first
  /// list are not new.
  [[nodiscard]] const replica_pace &pace() const { return Pace; }
  /// Whether the replica is in backoff after failed calls.
  [[nodiscard]] bool inBackoff(std::string_view Id, time_point Now) const;

  struct load_sample {
    load_report Report;
    time_point At;
  };
  [[nodiscard]] std::optional<load_sample> load(std::string_view Id) const;
  /// Records a weight version observed in a call or report.
  void setVersion(std::string_view Id, std::string_view Model,
                  uint64_t Version);
  [[nodiscard]] size_t size() const { return Entries.size(); }

private:
  struct entry {
    replica Replica;
    /// End of the grace period of a replica that was not listed after an
    /// outage.
    std::optional<time_point> GraceUntil;
    unsigned Failures = 0;
    time_point BackoffUntil{};
    std::optional<load_sample> Load;
    bool LoadUnreadableReported = false;
  };

  /// Process that has said that it is leaving.
  struct departure {
    uint64_t StartedAtMs = 0;
    std::string Address;
    time_point At;
  };

  void onLeaving(entry &Entry, time_point Now);
  [[nodiscard]] bool isLeaving(const replica &Replica) const;
  void log(std::string_view Event, const replica &Replica,
           const std::string &Detail) const;

  void add(const replica &Replica, time_point Now);

  replica_directory_options Options;
  replica_pace Pace;
  std::optional<time_point> FirstListAt;
  std::map<std::string, entry, std::less<>> Entries;
  /// By id. Kept after the entry is removed, because an older list may contain
  /// it again.
  std::map<std::string, departure, std::less<>> Departures;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_REPLICA_DIRECTORY_H
