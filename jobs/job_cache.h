/// \file
/// Jobs as the store has them, for gateways that do not schedule them.
///
/// Use:
///   job_archive Archive({...});
///   Archive.read(Call, [](archive_reply Reply) { ... });
///
/// Batches of results never change, so each is fetched once. Keeps the jobs
/// read last, up to a number of bytes.

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

enum class job_cache_status { Found, NotFound, Unavailable };

struct job_cache_reply {
  job_cache_status Status = job_cache_status::Unavailable;
  /// Page of results, or body of the item.
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

  /// A page from Call.After on, without waiting for further results.
  void readResults(const job_call &Call,
                   std::function<void(job_cache_reply)> Done);
  void readItemBody(const job_call &Call,
                    std::function<void(job_cache_reply)> Done);
  /// The item's body if its job is in memory.
  [[nodiscard]] std::optional<std::string>
  cachedItemBody(const job_call &Call) const;

private:
  struct entry {
    job Job;
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
  /// Ids, the one used last at the end.
  std::list<std::string> LruOrder;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_JOB_CACHE_H
