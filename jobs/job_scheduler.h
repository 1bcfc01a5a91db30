/// \file
/// Runs the batch jobs of one pool of replicas: places items on replicas, reads
/// their event streams, sends scoring calls, and lists the results.
///
/// Usage:
///   job_scheduler Scheduler({...});
///   Scheduler.addJob(Job, /*HasResults=*/false);
///   Scheduler.readResults(Call, [](bool Found, std::string Page) { ... });
///   Scheduler.endJob(Id);
///
/// Results are listed, that is, returned to readers, once the store has
/// acknowledged them, so that they survive this process. If a pool has two
/// schedulers, for example after a network partition, they duplicate work but
/// cannot list an item twice (result_log). Runs on the event loop's thread.

#ifndef CARDAMOM_JOBS_JOB_SCHEDULER_H
#define CARDAMOM_JOBS_JOB_SCHEDULER_H

#include "gateway/protocols.h"
#include "policy/buffer_budget.h"
#include "policy/item_placement.h"
#include "policy/momentary_speed.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace cardamom {

class dispatch_gate;
class event_loop;
class http_client;
class result_batch_delay;
class async_store_client;
class unary_client;
class result_writer;
class timer_state;
struct item_run_end;
struct unary_result;

struct job_scheduler_options {
  event_loop &Loop;
  http_client &Client;
  replica_directory &Directory;
  dispatch_gate &Gate;
  unary_client &UnaryClient;
  async_store_client &Store;
  const gateway_protocols &Protocols;
  std::function<const route *(std::string_view Host, std::string_view Path)>
      FindRoute;
  /// Returns the pool's service, or null if the configuration does not have it.
  std::function<const service *()> FindService;
  /// Name of the service whose replicas form the pool.
  std::string Pool;
  std::string FailureDomain;
  /// Bounds what is held of replicas' responses; shared with other clients.
  std::shared_ptr<buffer_budget> Buffers =
      std::make_shared<buffer_budget>(buffer_budget_options{});
  /// Kind of the objects that hold results.
  std::string ResultKind;
  /// Returns the current time in Unix milliseconds.
  std::function<uint64_t()> UnixNow;
  /// Returns a unique id for each call.
  std::function<std::string()> NewId;
  /// Whether the replica is changing the weights of the model.
  std::function<bool(std::string_view Replica, std::string_view Model)>
      IsChangingWeights;
  /// Whether the process knows which jobs have ended up to a short time ago.
  /// Otherwise it starts a renewal of that knowledge, after which it calls
  /// scheduleSoon(). Null = always.
  std::function<bool(time_point Now)> JobsAreCurrent;
  /// Called when another scheduler has written results. Calls OnConfirmed once
  /// the store has confirmed that this process still holds the pool's lease,
  /// otherwise never.
  std::function<void(std::function<void()> OnConfirmed)> ConfirmLease;
  /// Results may be delayed this long so that several are written at once. The
  /// result that completes the last group that the trainer waits for is not
  /// delayed; see result_batch_delay.
  milliseconds MaxBatchDelay{250};
  /// Imported progress is passed on to a successor for this long, even if no
  /// job with its items has been added yet.
  milliseconds ImportedProgressLifetime{10000};
  /// A run without an event for this long is considered broken.
  milliseconds StallTimeout{2000};
  /// Time for which a replica that refused an item gets no new items.
  milliseconds RefusalBackoff{60};
  /// Ended jobs are removed from memory after this time; the store still has
  /// them.
  milliseconds EndedRetention{180000};
  size_t MaxBatchBytes = size_t(600) << 10;
  size_t MaxPageBytes = size_t(900) << 10;
};

class job_scheduler {
public:
  explicit job_scheduler(job_scheduler_options Options);
  ~job_scheduler();
  job_scheduler(const job_scheduler &) = delete;
  job_scheduler &operator=(const job_scheduler &) = delete;

  /// HasResults: batches of results may exist already and are read first.
  void addJob(job Job, bool HasResults);
  void endJob(std::string_view Id);
  [[nodiscard]] bool hasJob(std::string_view Id) const;
  /// Whether the job has ended and nothing more is written for it. True for a
  /// job that this scheduler does not have.
  [[nodiscard]] bool isClosed(std::string_view Id) const;
  /// Calls Done at once if there are results to return, otherwise when a result
  /// is listed or Call.Wait has passed. Found is false if this scheduler cannot
  /// answer for the job.
  void readResults(const job_call &Call,
                   std::function<void(bool Found, std::string Page)> Done);
  /// Returns nothing if no job of this scheduler has the item.
  [[nodiscard]] std::optional<std::string>
  itemBody(std::string_view JobId, std::string_view ItemId) const;
  /// Starts the items that can run now; to be called when replicas have
  /// changed.
  void scheduleSoon();
  /// Number of items that run on the replica.
  [[nodiscard]] unsigned runningItemCount(std::string_view Replica) const;
  [[nodiscard]] size_t openJobCount() const;
  /// Whether items of the model wait for a replica, and weights older than
  /// Version would do for them.
  [[nodiscard]] bool hasWaitingItems(std::string_view Model,
                                     uint64_t Version) const;
  /// Output tokens that a job asks of each model, as a moving average.
  [[nodiscard]] const std::map<std::string, double, std::less<>> &
  modelDemand() const {
    return ModelDemand;
  }
  /// Whether an open job needs each sample from one version of the weights.
  [[nodiscard]] bool needsSingleVersions() const;
  /// Exports generated texts and results that are not listed yet, for a
  /// successor, and imported progress whose jobs have not been added yet.
  /// MinAge: exports only the texts of items that were started at
  /// least this long ago, which are the most expensive to generate again.
  [[nodiscard]] nlohmann::json
  exportProgress(milliseconds MinAge = milliseconds(0)) const;
  /// Imports the progress of a predecessor, for present jobs and those added
  /// later. Throws std::invalid_argument if the document is not an object.
  void importProgress(const nlohmann::json &Progress);

private:
  struct item_state;
  struct job_state;
  struct pending_read;

  std::unique_ptr<result_writer>
  makeWriter(const std::shared_ptr<job_state> &Job);
  [[nodiscard]] result_batch_delay makeBatchDelay(const job_state &Job) const;
  void onResultsLoaded(job_state &Job);
  void applyImportedProgress(item_state &Item);
  [[nodiscard]] static bool hasProgress(const item_state &Item);
  [[nodiscard]] static nlohmann::json encodeProgress(const item_state &Item);
  void saveForLaterJob(const item_state &Item);
  void markSpareGroups(job_state &Job);
  void updateModelDemand(const job_state &Job);
  void schedule();
  void moveSlowItems(time_point Now);
  void movePacingItems(time_point Now);
  void addPacingItems(const job_state &Job, time_point Now,
                      std::vector<item_state *> &Pacing) const;
  [[nodiscard]] std::vector<std::optional<double>>
  slowdowns(std::span<const replica *const> Replicas, time_point Now) const;
  void move(item_state &Item, const replica &Target, std::string_view Reason,
            time_point Now);
  void onLoadReport(const std::string &Replica, double Slowdown);
  void phaseTick();
  std::vector<replica_capacity>
  capacity(std::span<const replica *const> Replicas, time_point Now) const;
  void stopRun(item_state &Item);
  void startItem(item_state &Item, const replica &Replica);
  void onRunEnd(item_state &Item, const item_run_end &End);
  void retryLater(item_state &Item, milliseconds Delay);
  void startScoring(item_state &Item);
  void onScored(item_state &Item, const unary_result &Result);
  void giveUp(item_state &Item, std::string_view Reason);
  void complete(item_state &Item, std::string Signature);
  void queueResult(item_state &Item, item_result Result);
  void onListed(job_state &Job, size_t Count);
  void finishListedItems(job_state &Job);
  void answerReads(job_state &Job);
  std::string encodePage(const job_state &Job, uint64_t After) const;
  void tick();
  void checkRuns(time_point Now);
  void expireItems();
  void dropEndedJobs(time_point Now);
  void observeSpeed(item_state &Item);
  [[nodiscard]] double expectedTokens(const item_state &Item) const;
  [[nodiscard]] double remainingTokens(const item_state &Item) const;
  [[nodiscard]] static uint64_t exactVersion(const item_state &Item);
  [[nodiscard]] waiting_item describeWaiting(const item_state &Item,
                                             size_t Index) const;
  void restartItemsOfLostVersions(std::span<item_state *const> Items,
                                  std::span<waiting_item> Waiting,
                                  time_point Now);
  [[nodiscard]] double tokensPerEvent() const;
  std::function<void(const std::function<void()> &)> makeAliveGuard();
  /// Returns a timer whose task does not run after this object is destroyed.
  [[nodiscard]] std::shared_ptr<timer_state>
  runLater(milliseconds Delay, std::function<void()> Task);

  job_scheduler_options Options;
  item_placement Placement;
  momentary_speed Speed;
  /// Whether replicas report a slowdown, as those do that share their VMs.
  bool SharedVms = false;
  std::shared_ptr<timer_state> PhaseTimer;
  std::map<std::string, std::shared_ptr<job_state>, std::less<>> Jobs;
  /// Groups of earlier jobs, to recognize those that return.
  std::set<std::string, std::less<>> SeenGroups;
  std::map<std::string, unsigned, std::less<>> RunningByReplica;
  std::map<std::string, time_point, std::less<>> RefusedUntil;
  double MeanOutputTokens;
  std::map<std::string, double, std::less<>> ModelDemand;
  /// Progress of a predecessor or of ended jobs, by item id, until a job with
  /// the item is added.
  std::map<std::string, nlohmann::json, std::less<>> ImportedProgress;
  /// Until then, ImportedProgress is passed on to a successor.
  time_point ImportedUntil{};
  /// Ids of the items of ended jobs in ImportedProgress, oldest first.
  std::deque<std::string> SavedItemIds;
  bool SchedulePending = false;
  std::shared_ptr<timer_state> TickTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_JOB_SCHEDULER_H
