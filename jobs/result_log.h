/// \file
/// The results of one job that readers can see (the listed results), stored as
/// a sequence of immutable batches.
///
/// Usage:
///   result_log Log(JobId);
///   Log.append(Batch);           // read from or acknowledged by the store
///   Log.queue(std::move(Result));
///   auto Batch = Log.nextBatch(MaxBytes);
///   if (!Batch.empty())
///     // create object result_log::batchName(JobId, Log.batchCount())
///
/// A batch is created under a name that contains its sequence number, and is
/// never changed. If two writers have read the same batches, only one of them
/// can create the next one, so all readers see the same positions. An ended job
/// gets a closing batch, after which no batch may be created, so that a reader
/// that has seen it knows all results. No I/O; queue() and append() cost
/// O(log results) per result, and append() scans the queue for each result that
/// it finds there.

#ifndef CARDAMOM_JOBS_RESULT_LOG_H
#define CARDAMOM_JOBS_RESULT_LOG_H

#include "jobs/job.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

class result_log {
public:
  explicit result_log(std::string JobId) : JobId(std::move(JobId)) {}

  /// Name of the store object that holds batch Number.
  static std::string batchName(std::string_view JobId, size_t Number);
  /// WriteId lets a writer whose write got no response recognize its own batch.
  static nlohmann::json encodeBatch(std::span<const item_result> Batch,
                                    std::string_view WriteId);
  /// Encodes the closing batch.
  static nlohmann::json encodeClosingBatch(std::string_view WriteId);
  static bool isClosing(const nlohmann::json &Spec);
  /// Throws std::invalid_argument if the object is malformed.
  static std::vector<item_result> decodeBatch(const nlohmann::json &Spec);
  /// Like decodeBatch(), but a batch that another writer has stored in an
  /// invalid form counts as empty, for all readers alike.
  static std::vector<item_result> readStoredBatch(std::string_view JobId,
                                                  const nlohmann::json &Spec);
  static std::string decodeWriteId(const nlohmann::json &Spec);

  /// Appends the next batch of the sequence. Queued results of the same items
  /// are dropped.
  void append(std::vector<item_result> Batch);
  /// The closing batch exists; no batch may be appended afterwards.
  void close();
  [[nodiscard]] bool closed() const { return Closed; }
  /// Queues a result; ignored if its item is already listed or queued.
  void queue(item_result Result);
  /// Returns the oldest queued results whose texts have at most MaxBytes in
  /// total. Returns at least one unless the queue is empty.
  [[nodiscard]] std::vector<item_result> nextBatch(size_t MaxBytes) const;

  [[nodiscard]] size_t batchCount() const { return Batches; }
  [[nodiscard]] size_t queuedCount() const { return Queue.size(); }
  [[nodiscard]] const std::vector<item_result> &listed() const {
    return Listed;
  }
  /// Results that have not been listed yet.
  [[nodiscard]] std::vector<item_result> queuedResults() const {
    return {Queue.begin(), Queue.end()};
  }
  [[nodiscard]] bool isListed(std::string_view ItemId) const;

private:
  std::string JobId;
  size_t Batches = 0;
  bool Closed = false;
  std::vector<item_result> Listed;
  std::deque<item_result> Queue;
  std::set<std::string, std::less<>> ListedIds;
  std::set<std::string, std::less<>> QueuedIds;
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_RESULT_LOG_H
