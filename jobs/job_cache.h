/// \file
/// Read-through cache of jobs and their results in the store, for gateways that
/// do not schedule them.
///
/// Usage:
///   job_cache Cache({...});
///   Cache.readResults(Call, [](job_cache_reply Reply) { ... });
///
/// Batches of results are immutable, so each is fetched once. Evicts the least
/// recently used jobs above a total size.

#ifndef CARDAMOM_JOBS_JOB_CACHE_H
#define CARDAMOM_JOBS_JOB_CACHE_H

#include "gateway/protocols.h"
#include "jobs/result_log.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cardamom {

enum class job_cache_status { Found, NoSuchJob, NoSuchItem, Unavailable };

struct job_cache_reply {
  job_cache_status Status = job_cache_status::Unavailable;
  /// Encoded page of results, or body of the item.
  std::string Body;
};

struct job_cache_options {
  event_loop &Loop;
  async_store_client &Store;
  const gateway_protocols &Protocols;
  std::string JobKind;
  std::string ResultKind;
  size_t MaxBytes = size_t(24) << 20;
  size_t MaxPageBytes = size_t(900) << 10;
};

class job_cache {
public:
  explicit job_cache(job_cache_options Options);

  /// Reads a page that starts at position Call.After, without waiting for
  /// further results.
  void readResults(const job_call &Call,
                   std::function<void(job_cache_reply)> Done);
  void readItemBody(const job_call &Call,
                    std::function<void(job_cache_reply)> Done);
  /// Returns the item's body if its job is cached.
  [[nodiscard]] std::optional<std::string>
  cachedItemBody(const job_call &Call) const;

private:
  struct entry {
    job Job;
    /// Number of the job's items, which the stub of an ended job does not have.
    size_t ItemCount = 0;
    result_log Log;
    size_t Bytes = 0;
  };
  using entry_ptr = std::shared_ptr<entry>;

  void findOrFetch(const std::string &JobId,
                   std::function<void(job_cache_status, entry_ptr)> Done);
  void fetchResults(const entry_ptr &Entry, uint64_t After,
                    std::function<void(job_cache_reply)> Done);
  void insert(const entry_ptr &Entry);
  [[nodiscard]] std::string encodePage(const entry &Entry,
                                       uint64_t After) const;

  job_cache_options Options;
  std::map<std::string, entry_ptr, std::less<>> Entries;
  /// Job ids, least recently used first.
  std::list<std::string> LruOrder;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_JOB_CACHE_H
