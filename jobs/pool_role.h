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

#ifndef CARDAMOM_JOBS_POOL_ROLE_H
#define CARDAMOM_JOBS_POOL_ROLE_H

#include "jobs/job_scheduler.h"
#include "jobs/weight_driver.h"
#include "policy/lease.h"
#include "store/object_watcher.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cardamom {

class client_call_state;
struct call_end;

struct pool_role_options {
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
  std::function<std::vector<std::string>(const std::string &Pool)> StandBys;
  /// Place of this process among the gateways; 0 = best.
  std::function<size_t()> Rank = [] { return size_t(0); };
  /// Whether the gateway has clearly more CPU than this process.
  std::function<bool(std::string_view Name)> IsLarger =
      [](std::string_view /*Name*/) { return false; };
  /// Uniform random number in [0, 1).
  std::function<double()> Random;
  /// Pause between two questions to the holder: of those likely to take the
  /// lease over, and of the others.
  milliseconds AskInterval{300};
  milliseconds SlowAskInterval{1200};
  size_t LikelySuccessors = 4;
  milliseconds AskTimeout{400};
  /// Questions in a row without an answer before the holder is taken for
  /// down.
  unsigned AskFailures = 2;
  /// A holder that has lost the store for this long says that it cannot
  /// serve.
  milliseconds MaxStoreSilence{400};
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
  milliseconds KeepProgress{3000};
  /// Time within which a new scheduler has read its jobs.
  milliseconds StartGrace{3000};
  /// A process that finds its timers this late was paused, and reads its
  /// lease before it goes on.
  milliseconds PauseLimit{1000};
  /// Extra delay where the lease has never been held: the gateways have just
  /// started and do not know of one another yet.
  milliseconds FirstAcquireDelay{2500};
  /// A holder steps back for this long, and at most once in the interval.
  milliseconds StepBackTime{1500};
  milliseconds StepBackInterval{10000};
};

class pool_role {
public:
  explicit pool_role(pool_role_options Options);
  ~pool_role();
  pool_role(const pool_role &) = delete;
  pool_role &operator=(const pool_role &) = delete;

  void start();
  /// The store is back after an outage.
  void onStoreBack() { reread(); }
  /// Null while another process is the scheduler.
  [[nodiscard]] job_scheduler *scheduler() { return Scheduler.get(); }
  /// Inner address of the scheduler, empty when there is none or it is this
  /// process.
  [[nodiscard]] std::string schedulerAddress() const;
  /// Whether this process can serve the pool: it is the scheduler, knows the
  /// pool's jobs, and the store answers.
  [[nodiscard]] bool serving(time_point Now) const;
  [[nodiscard]] bool holds() const { return Lease.holds(); }
  /// Gives the lease up and takes it no more; goes on with its jobs until a
  /// successor asks for them.
  void release();
  /// The successor's question: stops, and returns the progress. Lease is the
  /// successor's, as encoded by it. Throws std::invalid_argument.
  nlohmann::json handOver(const nlohmann::json &SuccessorLease);
  /// Progress that another gateway's scheduler keeps here.
  void keepCheckpoint(std::string Progress) {
    Checkpoint = std::move(Progress);
  }
  [[nodiscard]] const std::string &checkpoint() const { return Checkpoint; }
  /// A gateway that has the store has asked whether this one serves.
  void onCandidate(std::string_view Name);
  /// Another gateway has told of its lease. Throws std::invalid_argument.
  void learnLease(const nlohmann::json &Told);
  void replicasChanged();
  [[nodiscard]] const std::string &pool() const {
    return Options.Scheduler.Pool;
  }

private:
  void observe(const stored_object &Object);
  void tick();
  void checkOwnLease(time_point Now);
  void ask(const std::string &Address);
  void onAsked(const call_end &End, unsigned Status);
  void acquireSoon();
  void acquire();
  void renew();
  void write(const pool_lease_record &Record, bool Renewal);
  void reread();
  void confirmLease(std::function<void()> Go);
  void watchLease();
  [[nodiscard]] bool isLikelySuccessor() const;
  void tellOthers();
  void becomeScheduler(const std::string &PredecessorAddress);
  void askForHandover(const std::string &Address);
  [[nodiscard]] std::vector<std::string> standBysWithCheckpoint() const;
  void askForCheckpoint(std::vector<std::string> Addresses);
  void findKeepers();
  /// Number of items taken.
  size_t takeProgress(std::string_view Document, std::string_view Source);
  void sendCheckpoint();
  std::shared_ptr<client_call_state>
  sendCheckpointTo(const std::string &Address, const std::string &Document,
                   size_t &Index);
  void startWatching();
  void stepDown(std::string_view Reason);
  void dropLastProgress();
  void onJob(const stored_object &Object, bool Listed);

  pool_role_options Options;
  lease Lease;
  bool HolderDown = false;
  bool Asking = false;
  bool Rereading = false;
  time_point TickedAt{};
  time_point StartedAt{};
  time_point AskedAt{};
  time_point SteppedBackAt{};
  /// Nobody has held the lease yet.
  bool LeaseAbsent = false;
  bool Writing = false;
  bool Released = false;
  unsigned AskFailed = 0;
  uint64_t AcquiredAtRevision = 0;
  std::unique_ptr<job_scheduler> Scheduler;
  std::unique_ptr<weight_driver> Weights;
  std::unique_ptr<object_watcher> JobWatcher;
  std::unique_ptr<object_watcher> WeightWatcher;
  std::unique_ptr<object_watcher> LeaseWatcher;
  std::shared_ptr<client_call_state> AskCall;
  std::shared_ptr<client_call_state> HandoverCall;
  std::vector<std::shared_ptr<client_call_state>> Notices;
  std::shared_ptr<client_call_state> CheckpointCall;
  std::shared_ptr<client_call_state> KeeperCall;
  std::shared_ptr<timer_state> CheckpointTimer;
  /// Progress at the end of this process's scheduler, until a successor has
  /// asked for it.
  nlohmann::json LastProgress = nlohmann::json::object();
  std::shared_ptr<timer_state> LastProgressTimer;
  std::string Checkpoint;
  /// Inner addresses of checkpoint_keepers that this scheduler uses.
  std::vector<std::string> Keepers;
  bool KeepersAsked = false;
  /// Which stand-by and which keeper get the checkpoints.
  size_t StandBy = 0;
  size_t Keeper = 0;
  std::shared_ptr<timer_state> AskTimer;
  std::shared_ptr<timer_state> AcquireTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_POOL_ROLE_H
