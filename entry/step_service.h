/// \file
/// Runs the step owners of all trainers on one thread and connects them to the
/// dispatcher, the store and the other entries.
///
/// Use:
///   step_service Steps({.Dispatcher = &Dispatcher, .Store = &Store, ...});
///   Steps.start();
///   http_reply Reply = Steps.call(Call);    // on an HTTP thread; blocks
///   Steps.handleForwarded(Call, [](http_reply) {...});  // does not block
///   Steps.release(); ... Steps.waitingFor(); ... Steps.stop();
///
/// The task queue is bounded. Trainer calls are refused when it is half full;
/// the other half is reserved for results of runs, whose number is bounded by
/// the runs in flight.

#ifndef CARDAMOM_ENTRY_STEP_SERVICE_H
#define CARDAMOM_ENTRY_STEP_SERVICE_H

#include "base/bounded_ring.h"
#include "entry/step_owner.h"
#include "inner/inner_client.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace cardamom {

class dispatcher;
class store_client;
class upstream_directory;

struct step_service_options {
  dispatcher *Dispatcher = nullptr;
  store_client *Store = nullptr;
  upstream_directory *Directory = nullptr;
  inner_client *Client = nullptr;
  std::string Name;
  /// Inner address at which other entries reach this one.
  std::string Address;
  uint64_t Incarnation = 0;
  milliseconds Lease{10000};
  /// Value of straggler_options::MaxMoves.
  unsigned StragglerMoves = 2;
  /// Installs document "weights/{trainer}"; returns false when the version is
  /// not higher than the installed one.
  std::function<bool(const std::string &Trainer, uint64_t Version,
                     std::string Body)>
      InstallWeights;
  /// Whether exactly this document is installed.
  std::function<bool(const std::string &Trainer, uint64_t Version,
                     const std::string &Body)>
      HoldsWeights;
  /// Version of the installed document "weights/{trainer}"; 0 = none.
  std::function<uint64_t(const std::string &Trainer)> WeightsVersion;
};

class step_service {
public:
  explicit step_service(step_service_options Options);
  ~step_service();
  step_service(const step_service &) = delete;
  step_service &operator=(const step_service &) = delete;

  void start();
  /// Stops the threads. Calls that still wait get status 503.
  void stop();
  /// Releases all leases.
  void release();
  /// What release() still waits for; empty when it has finished.
  [[nodiscard]] std::string waitingFor() const;

  /// Serves or forwards a trainer's call; blocks for at most the wait time of
  /// the call.
  http_reply call(const trainer_call &Call);
  /// Serves a call that another entry has forwarded. Does not block.
  void handleForwarded(trainer_call Call,
                       std::function<void(http_reply)> Answer);
  /// JSON array of the trainers' states for "/status".
  [[nodiscard]] nlohmann::json status() const;

private:
  using task = std::function<void(time_point Now)>;

  void runLoop();
  void tick(time_point Now);
  /// Makes the store calls, which block, on a separate thread.
  void runStoreCalls();
  bool post(task Task);
  step_owner &ownerOf(const std::string &Trainer);
  step_owner_options ownerOptions(const std::string &Trainer);
  trainer_lease_options leaseOptions(const std::string &Trainer);
  http_reply publishWeights(const trainer_call &Call);
  step_answer callLocally(const trainer_call &Call);
  dispatch_id dispatch(dispatch_call Call,
                       const std::shared_ptr<run_progress> &Progress,
                       step_owner_options::run_callback OnEnd);
  void findRuns(const std::string &Pool, const std::string &Prefix,
                step_owner_options::find_callback OnFound);
  void publishStatus();

  step_service_options Options;
  bounded_ring<task> TaskQueue;
  bounded_ring<std::function<void()>> StoreQueue;
  std::thread LoopThread;
  std::thread StoreThread;
  std::atomic<bool> Stopping{false};
  // Accessed only by LoopThread.
  std::map<std::string, std::unique_ptr<step_owner>> Owners;
  bool Releasing = false;

  mutable std::mutex StatusMutex;
  std::string StatusJson = "[]";
  std::string ReleaseWaitsFor;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_STEP_SERVICE_H
