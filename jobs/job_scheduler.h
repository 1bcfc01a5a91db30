/// \file
/// Runs the batch jobs of one pool of replicas: places items, follows their
/// streams, has them scored, and lists their results.
///
/// Use:
///   job_scheduler Scheduler({...});
///   Scheduler.addJob(Job, /*HasResults=*/false);
///   Scheduler.read(Call, [](bool Known, std::string Page) { ... });
///   Scheduler.endJob(Id);
///
/// Results are listed once the store has acknowledged them, so that they
/// survive this process. Two schedulers of one pool, as after a partition,
/// waste work but cannot list an item twice (result_log). Runs on the loop's
/// thread.

#ifndef CARDAMOM_JOBS_JOB_SCHEDULER_H
#define CARDAMOM_JOBS_JOB_SCHEDULER_H

#include "gateway/protocols.h"
#include "policy/item_placement.h"

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
  unary_client &UnaryClient;
  async_store_client &Store;
  const gateway_protocols &Protocols;
  std::function<const route *(std::string_view Host, std::string_view Path)>
      FindRoute;
  /// Service of the pool; null while the configuration does not have it.
  std::function<const service *()> FindService;
  /// Service whose replicas the pool consists of.
  std::string Pool;
  std::string FailureDomain;
  /// Kind of the objects that hold results.
  std::string ResultKind;
  /// Unix milliseconds.
  std::function<uint64_t()> UnixNow;
  /// Unique text for each call.
  std::function<std::string()> NewId;
  /// Whether the replica is changing the weights of the model.
  std::function<bool(std::string_view Replica, std::string_view Model)>
      IsChangingWeights;
  /// Another scheduler has written: calls Go once the store has confirmed that
  /// this process still holds the pool's lease, and never otherwise.
  std::function<void(std::function<void()> Go)> ConfirmLease;
  /// Results that nobody waits for may wait this long for others before they
  /// are written; see listing_pace.
  milliseconds MaxBatchDelay{250};
  /// A run without an event for this long is taken for dead.
  milliseconds StallTimeout{2000};
  /// Pause of a replica that refused an item.
  milliseconds RefusalBackoff{60};
  /// Ended jobs are dropped from memory after this time; the store has them.
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
  /// Answers at once, or when a result is listed or Call.Wait is over. Known
  /// is false for a job that this scheduler does not have.
  void readResults(const job_call &Call,
                   std::function<void(bool Known, std::string Page)> Done);
  /// Nothing for an item that is not of a job of this scheduler.
  [[nodiscard]] std::optional<std::string>
  itemBody(std::string_view JobId, std::string_view ItemId) const;
  /// Runs what can run now; to be called when replicas have changed.
  void scheduleSoon();
  /// Items that run on the replica.
  [[nodiscard]] unsigned runningItemCount(std::string_view Replica) const;
  [[nodiscard]] size_t openJobCount() const;
  /// Texts and results that are not listed yet, for a successor.
  /// MinAge: only of items that have run for longer, which cost most to begin
  /// anew.
  [[nodiscard]] nlohmann::json
  exportProgress(milliseconds MinAge = milliseconds(0)) const;
  /// Progress of a predecessor, for jobs that are added later. Throws
  /// std::invalid_argument for a document of another form.
  void importProgress(const nlohmann::json &Progress);

private:
  struct item_state;
  struct job_state;
  struct pending_read;

  std::unique_ptr<result_writer>
  makeWriter(const std::shared_ptr<job_state> &Job);
  [[nodiscard]] result_batch_delay makeBatchDelay(const job_state &Job) const;
  void onLoaded(job_state &Job);
  void applyImportedProgress(item_state &Item);
  [[nodiscard]] static bool hasProgress(const item_state &Item);
  [[nodiscard]] static nlohmann::json encodeProgress(const item_state &Item);
  void saveForLaterJob(const item_state &Item);
  void markSpareGroups(job_state &Job);
  void schedule();
  void moveSlowItems(time_point Now);
  std::vector<replica_capacity>
  capacity(std::span<const replica *const> Replicas, time_point Now) const;
  void stopRun(item_state &Item);
  void startItem(item_state &Item, const replica &Replica);
  void onRunEnd(item_state &Item, const item_run_end &End);
  void retryLater(item_state &Item, milliseconds Delay);
  void startScoring(item_state &Item);
  void onScored(item_state &Item, const unary_result &Answer);
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
  void restartIfVersionGone(item_state &Item);
  [[nodiscard]] double tokensPerEvent() const;
  std::function<void(const std::function<void()> &)> makeAliveGuard();
  /// Timer whose task does not run after this object is destroyed.
  [[nodiscard]] std::shared_ptr<timer_state>
  runLater(milliseconds Delay, std::function<void()> Task);

  job_scheduler_options Options;
  item_placement Placement;
  std::map<std::string, std::shared_ptr<job_state>, std::less<>> Jobs;
  /// Groups of earlier jobs, to tell those that return.
  std::set<std::string, std::less<>> SeenGroups;
  std::map<std::string, unsigned, std::less<>> RunningByReplica;
  std::map<std::string, time_point, std::less<>> RefusedUntil;
  double MeanOutputTokens;
  /// Items of a predecessor or of ended jobs, by id, until jobs with them are
  /// added.
  std::map<std::string, nlohmann::json, std::less<>> ImportedProgress;
  /// Items of ended jobs in Imported, oldest first.
  std::deque<std::string> SavedItemIds;
  bool SchedulePending = false;
  std::shared_ptr<timer_state> TickTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_JOB_SCHEDULER_H
