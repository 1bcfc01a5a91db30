/// \file
/// Knows on which hosts batch jobs with and without an owner have been
/// accepted. A job outlives its route, so that calls on it must be told from
/// requests to other services of its host that use the same paths.
///
/// Usage:
///   job_host_registry Hosts({.Store = Store, .Kind = "job-hosts"});
///   const job_host Host("h.example", job_ownership::Owned);
///   Hosts.add(Host);             // the configuration has such a route
///   if (auto Write = Hosts.missingRecord(Host)) ... // before a job
///   Hosts.find(Host, Now, [](job_host_status Status) { ... });
///
/// The store has one object for each host and ownership. It is created before
/// the first such job of the host is accepted and never removed. A host without
/// jobs costs at most one read per MissMaxAge, and only while such calls
/// arrive. During an outage of the store, what was known before remains valid.
/// Runs on the event loop's thread.

#ifndef CARDAMOM_JOBS_JOB_HOST_REGISTRY_H
#define CARDAMOM_JOBS_JOB_HOST_REGISTRY_H

#include "base/time.h"
#include "jobs/job_host.h"
#include "store/async_store_client.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamom {

enum class job_host_status {
  /// Jobs may have been accepted on the host.
  HasJobs,
  NoJobs,
  /// The store cannot be asked, and nothing is known from before.
  Unavailable,
};

struct job_host_registry_options {
  async_store_client &Store;
  /// Kind of the objects in the store.
  std::string Kind;
  /// How long a host that had no jobs counts as such. Another process may
  /// accept the first job meanwhile, which must be found a second later.
  milliseconds MissMaxAge{800};
  /// Maximum number of hosts without jobs that are remembered. Callers choose
  /// the names of hosts.
  size_t MaxMisses = 1024;
};

class job_host_registry {
public:
  using find_callback = std::function<void(job_host_status)>;

  explicit job_host_registry(job_host_registry_options Options);

  /// Records that jobs can be accepted on the host.
  void add(const job_host &Host);
  /// Whether jobs may have been accepted on the host, as far as this process
  /// knows without a read.
  [[nodiscard]] bool known(const job_host &Host) const;
  /// Returns the write that must succeed, or conflict with an existing object,
  /// before a job of the host is stored; nullopt = none is needed.
  [[nodiscard]] std::optional<object_request>
  missingRecord(const job_host &Host) const;
  /// Records that the write succeeded.
  void onRecorded(const job_host &Host);
  /// Calls Done at once if the answer is known.
  void find(const job_host &Host, time_point Now, find_callback Done);
  /// Reads the host's record unless something is known of it, so that find()
  /// has an answer during an outage of the store.
  void prefetch(const job_host &Host, time_point Now);

private:
  void onRead(const job_host &Host, time_point SentAt,
              const object_reply &Reply);

  job_host_registry_options Options;
  std::set<job_host> HostsWithJobs;
  std::set<job_host> RecordedHosts;
  /// When the store was last found to have no record.
  std::map<job_host, time_point> Misses;
  /// Calls that wait for a read in flight.
  std::map<job_host, std::vector<find_callback>> Waiting;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_JOB_HOST_REGISTRY_H
