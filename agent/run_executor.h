/// \file
/// Executes the runs of a run table: admission, claim of the idempotency key,
/// and the call to the upstream.
///
/// Use:
///   run_executor Executor({.Table = &Table, .Client = &Client, ...});
///   Executor.start();
///   Executor.submit(Request, Now); // the run must be in the table already
///   Executor.tick(Now);            // several times a second
///   Executor.stop();               // after the runs have ended
///
/// Each active run occupies a worker thread; there are never more workers than
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
  /// Returns the state of the engine; unset for plain services.
  std::function<observed_engine()> GetEngine;
  /// Called after a model call has failed, which leaves the engine's state
  /// unknown.
  std::function<void()> OnEngineFailure;
  /// Called after each start and end of a run, with no lock held.
  std::function<void()> OnLoadChange;
  /// Each worker is a thread; slots above this number are not used.
  unsigned MaxWorkers = 512;
  /// How long a run waits for its reader if the response has reached its size
  /// limit.
  milliseconds AppendTimeout{30000};
};

class run_executor {
public:
  explicit run_executor(run_executor_options Options);
  /// Calls stop().
  ~run_executor();
  run_executor(const run_executor &) = delete;
  run_executor &operator=(const run_executor &) = delete;

  void start();
  /// Cancels active runs and joins all threads.
  void stop();

  void setSlots(unsigned Slots);
  /// Queues a run of the table, or finishes it as REFUSED.
  void submit(wire::run_request Request, time_point Now);
  /// Cancels a run that is queued, or active and idempotent. An active call
  /// that is not idempotent continues, because its effect could not be undone.
  void cancel(std::string_view Id, std::string_view Reason, time_point Now);
  /// Finishes queued runs whose deadline has passed, and repeats the
  /// cancellation of active runs until they end.
  void tick(time_point Now);

  /// Sets the fields that admission and the token rate determine.
  void fillLoadReport(wire::load_report &Load) const;
  [[nodiscard]] std::vector<std::string> activeRunIds() const;

private:
  struct submitted_run {
    wire::run_request Request;
    time_point SubmittedAt;
    time_point Deadline;
    bool Active = false;
    bool Preempted = false;
    /// Reason of the cancellation; empty if not cancelled.
    std::string CancelReason;
  };

  [[nodiscard]] wire::run_end
  makeRefusalWithDelay(std::string_view Reason, std::string_view Message) const;
  /// Starts the runs that admission allows. Requires Mutex.
  void startReadyRuns(time_point Now);
  void workerLoop();
  void executeRun(const std::string &Id);
  wire::run_end claimAndCall(const std::string &Id,
                             const wire::run_request &Request);
  wire::run_end startAndCall(const std::string &Id,
                             const wire::run_request &Request);
  /// Returns true and sets End if the run must not start.
  bool mustNotStart(const std::string &Id, const wire::run_request &Request,
                    wire::run_end &End);
  [[nodiscard]] bool engineRefuses(const wire::run_request &Request,
                                   wire::run_end &End) const;
  wire::run_end callUpstream(const std::string &Id,
                             const wire::run_request &Request);
  bool appendWithRetry(const std::string &Id, std::string_view Bytes,
                       uint64_t Version);
  void finishRun(const std::string &Id, wire::run_end End);
  void cancelLoop();

  run_executor_options Options;
  mutable std::mutex Mutex;
  admission_queue Admission;
  std::map<std::string, submitted_run, std::less<>> Runs;
  std::vector<std::thread> Workers;
  std::thread CancelThread;
  /// Ids of runs that have a slot and wait for a worker.
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
