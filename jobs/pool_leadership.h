/// \file
/// Elects the gateway that schedules the jobs of a pool and sends orders to its
/// replicas, and runs the scheduler while this process is elected.
///
/// Usage:
///   pool_leadership Leadership({...});
///   Leadership.start();
///   if (job_scheduler *S = Leadership.scheduler()) ...
///   Leadership.releaseLease();   // on shutdown

#ifndef CARDAMOM_JOBS_POOL_LEADERSHIP_H
#define CARDAMOM_JOBS_POOL_LEADERSHIP_H

#include "gateway/leader_election.h"
#include "jobs/ended_job_compactor.h"
#include "jobs/job_scheduler.h"
#include "jobs/weight_updater.h"
#include "store/object_watcher.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamom {

class client_call_state;
struct call_completion;

struct pool_leadership_options {
  /// Options of the scheduler; IsChangingWeights and ConfirmLease are set by
  /// this class.
  job_scheduler_options Scheduler;
  /// Options of the election; OnElected, OnStoppedLeading and CanServe are set
  /// by this class.
  leader_election_options Election;
  std::string JobKind;
  /// Whether samples of the pool must come from one version of the weights.
  std::function<bool()> SingleVersion;
  /// Timeout of the hand-over request and of each checkpoint request. A new
  /// scheduler starts without its predecessor's progress if none of them
  /// succeeds.
  milliseconds HandoverTimeout{500};
  /// Interval at which the progress of long-running items is sent to a stand-by
  /// and a checkpoint server, and how long ago an item must have been started
  /// to be included.
  milliseconds CheckpointInterval{500};
  milliseconds CheckpointMinAge{1000};
  /// The progress of a stopped scheduler is kept for this long.
  milliseconds ProgressRetention{3000};
  /// A new scheduler counts as serving for this long even before it has read
  /// its jobs.
  milliseconds StartGrace{3000};
};

/// What a scheduler passes on to its successor.
struct scheduler_handover {
  /// Of its items, by id.
  nlohmann::json Progress;
  /// For how long orders of this scheduler, and of those before it, may still
  /// arrive; nullopt = unknown.
  std::optional<milliseconds> SettleTime;
};

class pool_leadership {
public:
  explicit pool_leadership(pool_leadership_options Options);
  ~pool_leadership();
  pool_leadership(const pool_leadership &) = delete;
  pool_leadership &operator=(const pool_leadership &) = delete;

  void start() { Election.start(); }
  [[nodiscard]] leader_election &election() { return Election; }
  /// Returns null unless this process is the scheduler.
  [[nodiscard]] job_scheduler *scheduler() { return Scheduler.get(); }
  /// Inner address of the scheduler; empty if there is none or it is this
  /// process.
  [[nodiscard]] std::string schedulerAddress() const {
    return Election.holderAddress();
  }
  [[nodiscard]] bool holdsLease() const { return Election.holdsLease(); }
  /// Releases the lease and does not acquire it again. The scheduler continues
  /// until a successor requests the hand-over or this process sees the
  /// successor's lease.
  void releaseLease() { Election.release(); }
  /// Handles a successor's hand-over request: stops the scheduler.
  /// SuccessorLease is the lease as encoded by the successor. Throws
  /// std::invalid_argument if it is malformed or outdated.
  scheduler_handover handOver(const nlohmann::json &SuccessorLease);
  /// Stores the progress that another gateway's scheduler has sent.
  void setCheckpoint(std::string Progress) { Checkpoint = std::move(Progress); }
  [[nodiscard]] const std::string &checkpoint() const { return Checkpoint; }
  /// A gateway has accepted a job. The store's watch shows it too, but later,
  /// and not at all while this process cannot reach the store.
  void onJobAccepted(const stored_object &Job);
  void onReplicasChanged();
  [[nodiscard]] const std::string &pool() const {
    return Options.Scheduler.Pool;
  }

private:
  leader_election_options makeElectionOptions();
  /// Whether the scheduler has read the pool's jobs, or may still do so.
  [[nodiscard]] bool hasJobs(time_point Now) const;
  void startScheduler(const std::string &PredecessorAddress);
  void requestHandover(const std::string &Address);
  [[nodiscard]] std::vector<std::string> checkpointStandbys() const;
  void requestCheckpoint(std::vector<std::string> Addresses);
  void findCheckpointServers();
  /// Returns the number of imported items.
  size_t importProgress(std::string_view Document, std::string_view Source);
  void sendCheckpoint();
  std::shared_ptr<client_call_state>
  sendCheckpointTo(const std::string &Address, const std::string &Document,
                   size_t &Index);
  void completeStart();
  void stopScheduler(std::string_view Reason);
  void dropFinalProgress();
  void onJob(const stored_object &Object, bool Listed);
  void compactEnded(const stored_object &Object);

  pool_leadership_options Options;
  leader_election Election;
  uint64_t AcquiredAtRevision = 0;
  std::unique_ptr<job_scheduler> Scheduler;
  std::unique_ptr<weight_updater> WeightUpdater;
  std::unique_ptr<ended_job_compactor> Compactor;
  std::unique_ptr<object_watcher> JobWatcher;
  std::unique_ptr<object_watcher> WeightWatcher;
  std::shared_ptr<client_call_state> HandoverCall;
  std::shared_ptr<client_call_state> CheckpointCall;
  std::shared_ptr<client_call_state> CheckpointServerCall;
  std::shared_ptr<timer_state> CheckpointTimer;
  /// Progress when this process's scheduler stopped, kept until a successor has
  /// requested it or ProgressRetention has passed.
  nlohmann::json FinalProgress = nlohmann::json::object();
  std::shared_ptr<timer_state> FinalProgressTimer;
  std::string Checkpoint;
  /// Inner addresses of the checkpoint servers that this scheduler uses.
  std::vector<std::string> CheckpointServers;
  bool CheckpointServersListed = false;
  /// Which stand-by and which checkpoint server get the checkpoints;
  /// incremented when a call fails.
  size_t StandbyIndex = 0;
  size_t CheckpointServerIndex = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_POOL_LEADERSHIP_H
