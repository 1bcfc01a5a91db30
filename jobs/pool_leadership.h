/// \file
/// Decides which gateway schedules the jobs of a pool and gives orders to its
/// replicas, and does so while it is this one.
///
/// Use:
///   pool_role Role({...});
///   Role.start();
///   if (job_scheduler *S = Role.scheduler()) ...
///   Role.release();              // on shutdown
///
/// One gateway holds the pool's lease. The others ask it regularly whether it
/// is alive and has the store; when it is not, the best of them takes the lease
/// over by a conditional write, and tells the others. A holder with little CPU
/// steps back for a larger gateway. Only the holder watches the lease, to learn
/// at once of a successor whose questions it did not get; the others read it
/// when there is reason to.

#ifndef CARDAMOM_JOBS_POOL_LEADERSHIP_H
#define CARDAMOM_JOBS_POOL_LEADERSHIP_H

#include "jobs/job_scheduler.h"
#include "jobs/weight_updater.h"
#include "policy/lease.h"
#include "store/object_watcher.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cardamom {

class client_call_state;
struct call_end;

struct pool_leadership_options {
  /// Scheduler's options; ChangingWeights and ConfirmLease are set by the
  /// role.
  job_scheduler_options Scheduler;
  std::string Self;
  std::string Incarnation;
  std::string InnerAddress;
  milliseconds LeaseLength{3000};
  std::string LeaseKind;
  std::string JobKind;
  /// Whether samples of the pool must come from one version of the weights.
  std::function<bool()> SingleVersion;
  /// Inner addresses of other gateways, best first, the same order for all.
  std::function<std::vector<std::string>(const std::string &Pool)> Standbys;
  /// Place of this process among the gateways; 0 = best.
  std::function<size_t()> Rank = [] { return size_t(0); };
  /// Whether the gateway has clearly more CPU than this process.
  std::function<bool(std::string_view Name)> HasHigherCpuClass =
      [](std::string_view /*Name*/) { return false; };
  /// Uniform random number in [0, 1).
  std::function<double()> Random;
  /// Pause between two questions to the holder: of those likely to take the
  /// lease over, and of the others.
  milliseconds ProbeInterval{300};
  milliseconds SlowProbeInterval{1200};
  size_t LikelySuccessors = 4;
  milliseconds ProbeTimeout{400};
  /// Questions in a row without an answer before the holder is taken for
  /// down.
  unsigned MaxProbeFailures = 2;
  /// A holder that has lost the store for this long says that it cannot
  /// serve.
  milliseconds MaxStoreOutage{400};
  /// A new scheduler starts without the progress of its predecessor when that
  /// does not answer in time.
  milliseconds HandoverTimeout{500};
  /// How often the progress of long items is sent to a stand-by, and how long
  /// an item must have run for that.
  milliseconds CheckpointInterval{500};
  milliseconds CheckpointMinAge{1000};
  /// After an outage a holder gets this long to say that it serves again.
  milliseconds OutageGrace{1200};
  /// A scheduler that has stopped keeps its progress for this long.
  milliseconds ProgressRetention{3000};
  /// Time within which a new scheduler has read its jobs.
  milliseconds StartGrace{3000};
  /// A process that finds its timers this late was paused, and reads its
  /// lease before it goes on.
  milliseconds PauseThreshold{1000};
  /// Extra delay where the lease has never been held: the gateways have just
  /// started and do not know of one another yet.
  milliseconds FirstAcquireDelay{2500};
  /// A holder steps back for this long, and at most once in the interval.
  milliseconds YieldDuration{1500};
  milliseconds MinYieldInterval{10000};
};

class pool_leadership {
public:
  explicit pool_leadership(pool_leadership_options Options);
  ~pool_leadership();
  pool_leadership(const pool_leadership &) = delete;
  pool_leadership &operator=(const pool_leadership &) = delete;

  void start();
  /// The store is back after an outage.
  void onStoreReconnected() { readLease(); }
  /// Null while another process is the scheduler.
  [[nodiscard]] job_scheduler *scheduler() { return Scheduler.get(); }
  /// Inner address of the scheduler, empty when there is none or it is this
  /// process.
  [[nodiscard]] std::string schedulerAddress() const;
  /// Whether this process can serve the pool: it is the scheduler, knows the
  /// pool's jobs, and the store answers.
  [[nodiscard]] bool isServing(time_point Now) const;
  [[nodiscard]] bool holdsLease() const { return Lease.holds(); }
  /// Gives the lease up and takes it no more; goes on with its jobs until a
  /// successor asks for them.
  void releaseLease();
  /// The successor's question: stops, and returns the progress. Lease is the
  /// successor's, as encoded by it. Throws std::invalid_argument.
  nlohmann::json handOver(const nlohmann::json &SuccessorLease);
  /// Progress that another gateway's scheduler keeps here.
  void setCheckpoint(std::string Progress) { Checkpoint = std::move(Progress); }
  [[nodiscard]] const std::string &checkpoint() const { return Checkpoint; }
  /// A gateway that has the store has asked whether this one serves.
  void onCandidateProbe(std::string_view Name);
  /// Another gateway has told of its lease. Throws std::invalid_argument.
  void onLeaseAnnounced(const nlohmann::json &Told);
  void onReplicasChanged();
  [[nodiscard]] const std::string &pool() const {
    return Options.Scheduler.Pool;
  }

private:
  void observeLease(const stored_object &Object);
  void tick();
  void checkForPause(time_point Now);
  void probeHolder(const std::string &Address);
  void onProbeAnswer(const call_end &End, unsigned Status);
  void scheduleAcquire();
  void acquire();
  void renew();
  void writeLease(const pool_lease_record &Record, bool Renewal);
  void readLease();
  void confirmLease(std::function<void()> Go);
  void watchLease();
  [[nodiscard]] bool isLikelySuccessor() const;
  void announceLease();
  void startScheduler(const std::string &PredecessorAddress);
  void requestHandover(const std::string &Address);
  [[nodiscard]] std::vector<std::string> checkpointStandbys() const;
  void requestCheckpoint(std::vector<std::string> Addresses);
  void findCheckpointServers();
  /// Number of items taken.
  size_t importProgress(std::string_view Document, std::string_view Source);
  void sendCheckpoint();
  std::shared_ptr<client_call_state>
  sendCheckpointTo(const std::string &Address, const std::string &Document,
                   size_t &Index);
  void completeStart();
  void stopScheduler(std::string_view Reason);
  void dropFinalProgress();
  void onJob(const stored_object &Object, bool Listed);

  pool_leadership_options Options;
  lease Lease;
  bool HolderDown = false;
  bool Probing = false;
  bool ReadingLease = false;
  time_point LastTickAt{};
  time_point StartedAt{};
  time_point LastProbeAt{};
  time_point YieldedAt{};
  /// Nobody has held the lease yet.
  bool LeaseAbsent = false;
  bool WritingLease = false;
  bool Released = false;
  unsigned ProbeFailures = 0;
  uint64_t AcquiredAtRevision = 0;
  std::unique_ptr<job_scheduler> Scheduler;
  std::unique_ptr<weight_updater> WeightUpdater;
  std::unique_ptr<object_watcher> JobWatcher;
  std::unique_ptr<object_watcher> WeightWatcher;
  std::unique_ptr<object_watcher> LeaseWatcher;
  std::shared_ptr<client_call_state> ProbeCall;
  std::shared_ptr<client_call_state> HandoverCall;
  std::vector<std::shared_ptr<client_call_state>> AnnouncementCalls;
  std::shared_ptr<client_call_state> CheckpointCall;
  std::shared_ptr<client_call_state> CheckpointServerCall;
  std::shared_ptr<timer_state> CheckpointTimer;
  /// Progress at the end of this process's scheduler, until a successor has
  /// asked for it.
  nlohmann::json FinalProgress = nlohmann::json::object();
  std::shared_ptr<timer_state> FinalProgressTimer;
  std::string Checkpoint;
  /// Inner addresses of checkpoint_keepers that this scheduler uses.
  std::vector<std::string> CheckpointServers;
  bool CheckpointServersListed = false;
  /// Which stand-by and which keeper get the checkpoints.
  size_t StandbyIndex = 0;
  size_t CheckpointServerIndex = 0;
  std::shared_ptr<timer_state> TickTimer;
  std::shared_ptr<timer_state> AcquireTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_POOL_LEADERSHIP_H
