/// \file
/// Writes the results of one job to the store in batches.
///
/// Usage:
///   result_writer Writer({...}, JobId);
///   Writer.start(/*HasBatches=*/false);
///   Writer.queue(Result, milliseconds(300)); // written within that time
///   Writer.close();                          // the job has ended
///
/// A result is listed once the store has acknowledged its batch. At most one
/// write is in flight; it is retried under the same name until its outcome is
/// known, so that a lost response cannot list a result twice. Runs on the event
/// loop's thread.

#ifndef CARDAMOM_JOBS_RESULT_WRITER_H
#define CARDAMOM_JOBS_RESULT_WRITER_H

#include "base/time.h"
#include "jobs/result_log.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamom {

class event_loop;
class async_store_client;
class timer_state;

struct result_writer_options {
  event_loop &Loop;
  async_store_client &Store;
  /// Kind of the objects that hold results.
  std::string ResultKind;
  /// Returns a unique id for each write.
  std::function<std::string()> NewId;
  /// Called when another process has written a batch. Calls OnConfirmed once
  /// the store has confirmed that this process still holds the lease, otherwise
  /// never.
  std::function<void(std::function<void()> OnConfirmed)> ConfirmLease;
  size_t MaxBatchBytes = size_t(600) << 10;
  /// The existing batches have been read.
  std::function<void()> OnReady;
  /// Count further results have been listed.
  std::function<void(size_t Count)> OnListed;
  /// Another process has written the closing batch: the job has ended.
  std::function<void()> OnClosedByOther;
};

class result_writer {
public:
  result_writer(result_writer_options Options, std::string JobId);
  ~result_writer();
  result_writer(const result_writer &) = delete;
  result_writer &operator=(const result_writer &) = delete;

  /// HasBatches: batches may exist already and are read first.
  void start(bool HasBatches);
  /// Writes the result, together with others, after at most MaxDelay.
  void queue(item_result Result, milliseconds MaxDelay);
  /// Drops the queued results and writes the closing batch.
  void close();

  [[nodiscard]] const result_log &log() const { return Log; }
  /// Whether the batches that existed at the start have been read.
  [[nodiscard]] bool ready() const { return Ready; }
  /// Whether a write is in flight or the closing batch is still to be written.
  [[nodiscard]] bool busy() const {
    return Writing || (Closing && !Log.closed());
  }

private:
  /// A batch that is being written.
  struct batch {
    nlohmann::json Spec;
    std::string WriteId;
    std::vector<item_result> Results;
    bool Closes = false;
  };
  using batch_ptr = std::shared_ptr<batch>;

  void loadBatches();
  void scheduleFlush();
  void flush();
  void writeNext();
  void write(const batch_ptr &Batch);
  void onConflict(const batch_ptr &Batch, const nlohmann::json &StoredSpec);
  void onBatchWritten(const batch_ptr &Batch);
  void appendStoredBatch(const nlohmann::json &Spec);
  void retryLater(std::function<void()> Task);

  result_writer_options Options;
  std::string JobId;
  result_log Log;
  bool Ready = false;
  bool Writing = false;
  bool Closing = false;
  /// When the queued results have to be written.
  std::optional<time_point> FlushBy;
  std::shared_ptr<timer_state> FlushTimer;
  std::shared_ptr<timer_state> RetryTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_RESULT_WRITER_H
