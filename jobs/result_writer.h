/// \file
/// Writes the results of one job to the store, batch by batch.
///
/// Use:
///   result_writer Writer({...}, JobId);
///   Writer.start(/*HasBatches=*/false);
///   Writer.queue(Result, milliseconds(300)); // listed within that time
///   Writer.close();                          // the job has ended
///
/// A result counts as listed once the store has acknowledged its batch. One
/// write is on its way at a time; it is repeated under the same name until the
/// store says what became of it, so that a lost answer lists nothing twice.
/// Runs on the loop's thread.

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
  /// Unique text for each write.
  std::function<std::string()> NewId;
  /// Another process has written: calls Go once the store has confirmed that
  /// this one may go on, and never otherwise.
  std::function<void(std::function<void()> Go)> ConfirmLease;
  size_t MaxBatchBytes = size_t(600) << 10;
  /// The batches there were have been read.
  std::function<void()> OnReady;
  /// Count more results are listed.
  std::function<void(size_t Count)> OnListed;
  /// Another process has closed the sequence: the job has ended.
  std::function<void()> OnClosedByOther;
};

class result_writer {
public:
  result_writer(result_writer_options Options, std::string JobId);
  ~result_writer();
  result_writer(const result_writer &) = delete;
  result_writer &operator=(const result_writer &) = delete;

  /// HasBatches: there may be batches, which are read first.
  void start(bool HasBatches);
  /// The result is written within MayWait, together with others.
  void queue(item_result Result, milliseconds MayWait);
  /// Drops what is queued and writes the closing batch.
  void close();

  [[nodiscard]] const result_log &log() const { return Log; }
  /// Whether the batches that existed at the start are known.
  [[nodiscard]] bool ready() const { return Ready; }
  /// Whether something is still to be written.
  [[nodiscard]] bool busy() const {
    return Writing || (Closing && !Log.closed());
  }

private:
  /// A batch on its way.
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
  void onConflict(const batch_ptr &Batch, const nlohmann::json &Found);
  void onBatchWritten(const batch_ptr &Batch);
  void appendStoredBatch(const nlohmann::json &Spec);
  void retryLater(std::function<void()> Task);

  result_writer_options Options;
  std::string JobId;
  result_log Log;
  bool Ready = false;
  bool Writing = false;
  bool Closing = false;
  /// When what is queued has to be written.
  std::optional<time_point> FlushBy;
  std::shared_ptr<timer_state> FlushTimer;
  std::shared_ptr<timer_state> RetryTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_RESULT_WRITER_H
