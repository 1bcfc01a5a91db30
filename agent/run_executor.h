/// \file
/// Takes inserted runs through admission, claim and upstream to their end.
///
/// Use:
///   run_executor Executor({.Table = &Table, .Driver = &Driver, ...});
///   Executor.start();
///   Executor.submit(Request, Now); // the run is in the table already
///   Executor.tick(Now);            // several times a second
///   Executor.stop();               // after the runs have ended
///
/// Each active run holds a worker thread; there are never more workers than
/// slots. submit(), cancel() and tick() do not block on the upstream or the
/// store. Thread-safe.

#ifndef CARDAMOM_AGENT_RUN_EXECUTOR_H
#define CARDAMOM_AGENT_RUN_EXECUTOR_H

#include "agent/key_ledger.h"
#include "agent/run_table.h"
#include "agent/upstream_client.h"
#include "agent/weight_reconciler.h"
#include "base/bounded_ring.h"
#include "base/time.h"
#include "policy/admission_queue.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace cardamom {

struct run_executor_options {
  run_table *Table = nullptr;
  upstream_client *Client = nullptr;
  key_ledger *Ledger = nullptr;
  admission_options Admission;
  /// State of the engine; unset for plain services.
  std::function<observed_engine()> GetEngine;
  /// An engine failed a call: its state is unknown.
  std::function<void()> OnEngineFailure;
  /// Called without locks after each start and end of a run.
  std::function<void()> OnLoadChange;
  /// Workers are threads; slots above this are not used.
  unsigned MaxWorkers = 512;
  /// How long a run waits for its reader when no more answer can be kept.
  milliseconds AppendTimeout{30000};
};

class run_executor {
public:
  explicit run_executor(run_executor_options Options);
  /// Stops the threads.
  ~run_executor();
  run_executor(const run_executor &) = delete;
  run_executor &operator=(const run_executor &) = delete;

  void start();
  /// Cancels what still runs and joins all threads.
  void stop();

  void setSlots(unsigned Slots);
  /// Queues a run of the table, or ends it as REFUSED.
  void submit(wire::run_request Request, time_point Now);
  /// Ends waiting runs, and running ones that are idempotent. A call that is
  /// not idempotent goes on: its effect could not be taken back.
  void cancel(std::string_view Id, std::string_view Reason, time_point Now);
  /// Ends waiting runs whose deadline has passed; repeats cancellations.
  void tick(time_point Now);

  /// Fills in the figures of admission.
  void fillLoadReport(wire::load_report &Load) const;
  [[nodiscard]] std::vector<std::string> activeRunIds() const;

private:
  struct job {
    wire::run_request Request;
    time_point SubmittedAt;
    time_point Deadline;
    bool Active = false;
    bool Preempted = false;
    /// Reason; empty = not cancelled.
    std::string CancelReason;
  };

  [[nodiscard]] wire::run_end
  makeRefusalWithDelay(std::string_view Reason, std::string_view Message) const;
  /// Starts what admission allows. Needs Mutex.
  void startReadyJobs(time_point Now);
  void workerLoop();
  void executeJob(const std::string &Id);
  wire::run_end claimAndCall(const std::string &Id, const wire::run_request &R);
  wire::run_end startAndCall(const std::string &Id, const wire::run_request &R);
  /// Returns whether the run may not start, and sets End.
  bool mustNotStart(const std::string &Id, const wire::run_request &Request,
                    wire::run_end &End);
  [[nodiscard]] bool engineRefuses(const wire::run_request &Request,
                                   wire::run_end &End) const;
  wire::run_end callUpstream(const std::string &Id,
                             const wire::run_request &Request);
  bool appendWithRetry(const std::string &Id, std::string_view Bytes,
                       uint64_t Version);
  void finishJob(const std::string &Id, wire::run_end End);
  void cancelLoop();

  run_executor_options Options;
  mutable std::mutex Mutex;
  admission_queue Admission;
  std::map<std::string, job, std::less<>> Jobs;
  std::vector<std::thread> Workers;
  std::thread CancelThread;
  /// Ids whose slot is theirs.
  bounded_ring<std::string> ReadyIds;
  bounded_ring<std::string> CancelIds;
  std::atomic<bool> Stopping{false};
  std::atomic<uint64_t> TokenCount{0};
  uint64_t LastTokenCount = 0;
  time_point LastRateUpdate;
  double TokensPerSecond = 0;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_RUN_EXECUTOR_H
