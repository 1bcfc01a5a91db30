/// \file
/// The replicas that may be used, as the store lists them and as calls found
/// them.
///
/// Use:
///   replica_directory Directory({...});
///   Directory.replaceAll(Replicas, MayReturnUntil, Now);
///   for (const replica *R : Directory.usable("service", Now)) ...
///   Directory.onCallFailed(Id, Now);
///
/// Pure but for what it holds: no clock, no I/O. usable() costs O(replicas).

#ifndef CARDAMOM_GATEWAY_REPLICA_DIRECTORY_H
#define CARDAMOM_GATEWAY_REPLICA_DIRECTORY_H

#include "base/time.h"
#include "gateway/upstream_request.h"

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
  /// Start of the process in Unix milliseconds; tells restarts under one id.
  uint64_t StartedAtMs = 0;
  /// Versions of the weights by model.
  std::map<std::string, uint64_t, std::less<>> Versions;
};

struct replica_directory_options {
  /// Pause after a failed call; doubles with each further one.
  milliseconds MinBackoff{250};
  milliseconds MaxBackoff{4000};
  /// Failed calls in a row before a replica is avoided.
  unsigned FailureThreshold = 1;
  std::function<void(std::string_view Event, const replica &Replica,
                     const std::string &Detail)>
      Log;
};

class replica_directory {
public:
  explicit replica_directory(replica_directory_options Options);

  /// Installs a whole list. MayReturnUntil: the store has just come back, and
  /// replicas that are alive but not listed register again until then.
  void replaceAll(std::span<const replica> Replicas,
                  std::optional<time_point> MayReturnUntil, time_point Now);
  void update(const replica &Replica, time_point Now);
  void remove(std::string_view Id, std::optional<time_point> MayReturnUntil,
              time_point Now);
  /// Drops the replicas whose grace after an outage is over.
  void expire(time_point Now);

  /// Null when the replica is not listed.
  [[nodiscard]] const replica *find(std::string_view Id) const;
  /// Replicas of a service that take new work. Those that failed of late are
  /// left out as long as others remain.
  [[nodiscard]] std::vector<const replica *> usable(std::string_view Service,
                                                    time_point Now) const;
  /// All listed replicas of a service.
  [[nodiscard]] std::vector<const replica *>
  listed(std::string_view Service) const;

  void onCallFailed(std::string_view Id, time_point Now);
  void onCallSucceeded(std::string_view Id);
  void onLoad(std::string_view Id, const load_report &Load, time_point Now);
  /// Whether failed calls keep the replica from getting work.
  [[nodiscard]] bool inBackoff(std::string_view Id, time_point Now) const;

  struct load_sample {
    load_report Report;
    time_point At;
  };
  [[nodiscard]] std::optional<load_sample> load(std::string_view Id) const;
  /// A change of the versions that a call or report has shown.
  void setVersion(std::string_view Id, std::string_view Model,
                  uint64_t Version);
  [[nodiscard]] size_t size() const { return Entries.size(); }

private:
  struct entry {
    replica Replica;
    /// Set when the replica was not listed after an outage.
    std::optional<time_point> GraceUntil;
    unsigned Failures = 0;
    time_point BackoffUntil{};
    std::optional<load_sample> Load;
  };

  void log(std::string_view Event, const replica &Replica,
           const std::string &Detail) const;

  replica_directory_options Options;
  std::map<std::string, entry, std::less<>> Entries;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_REPLICA_DIRECTORY_H
