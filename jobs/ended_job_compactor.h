/// \file
/// Replaces the stored objects of ended jobs by small stubs, so that the size
/// of the list of jobs does not grow with their submissions.
///
/// Usage:
///   ended_job_compactor Compactor({...});
///   Compactor.add(Object, ItemCount);
///
/// Writes are conditional on the revision of the object, one at a time and at a
/// bounded rate. They pause while the store is slow or unreachable. Runs on the
/// event loop's thread.

#ifndef CARDAMOM_JOBS_ENDED_JOB_COMPACTOR_H
#define CARDAMOM_JOBS_ENDED_JOB_COMPACTOR_H

#include "base/time.h"
#include "store/async_store_client.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace cardamom {

class event_loop;
class timer_state;

struct ended_job_compactor_options {
  event_loop &Loop;
  async_store_client &Store;
  std::string JobKind;
  /// Whether the job's results are final. Asked again later if not.
  std::function<bool(std::string_view JobId)> IsClosed;
  /// Minimum time from the response to a write to the next write. The store's
  /// limit of 400 writes a second is shared by all processes.
  milliseconds Interval{20};
  /// After a response that took longer than SlowResponse, the next write waits
  /// for SlowStoreDelay.
  milliseconds SlowResponse{100};
  milliseconds SlowStoreDelay{1000};
  /// Further jobs are left to the next scheduler, which lists them.
  size_t MaxQueued = 10000;
};

class ended_job_compactor {
public:
  explicit ended_job_compactor(ended_job_compactor_options Options);
  ~ended_job_compactor();
  ended_job_compactor(const ended_job_compactor &) = delete;
  ended_job_compactor &operator=(const ended_job_compactor &) = delete;

  /// Queues an ended job. Throws std::invalid_argument if the object is
  /// malformed.
  void add(const stored_object &Object, size_t ItemCount);

private:
  struct entry {
    std::string Name;
    uint64_t Revision = 0;
    nlohmann::json Stub;
  };

  void scheduleNext(milliseconds Delay);
  void writeNext();
  void onWritten(entry Entry, const object_reply &Reply, time_point SentAt);

  ended_job_compactor_options Options;
  std::deque<entry> Queue;
  bool Writing = false;
  std::shared_ptr<timer_state> Timer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_ENDED_JOB_COMPACTOR_H
