/// \file
/// The listed results of one job, as a sequence of batches in the store.
///
/// Use:
///   result_log Log(JobId);
///   Log.append(Batch);          // as read from, or acknowledged by, the store
///   Log.queue(std::move(Result));
///   if (auto Batch = Log.nextBatch(...)) write object batchName(...)
///
/// A batch is created under a name that holds its place in the sequence, and
/// never changed. Of two writers that know of the same batches only one can
/// create the next, so positions are the same for all readers, whoever writes.
/// An ended job gets a closing batch, after which none may be created, so that
/// whoever has read it knows all results. Pure; queue() and append() cost O(log
/// results) a result.

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

  /// Name of the object that holds batch Number.
  static std::string batchName(std::string_view JobId, size_t Number);
  /// WriteId tells the writer's own batch from another's after a lost answer.
  static nlohmann::json encodeBatch(std::span<const item_result> Batch,
                                    std::string_view WriteId);
  /// The batch that closes the sequence.
  static nlohmann::json encodeClosingBatch(std::string_view WriteId);
  static bool isClosing(const nlohmann::json &Spec);
  /// Throws std::invalid_argument for an object of another form.
  static std::vector<item_result> decodeBatch(const nlohmann::json &Spec);
  static std::string decodeWriteId(const nlohmann::json &Spec);

  /// Lists the next batch. Results that wait in the queue for the same items
  /// are dropped.
  void append(std::vector<item_result> Batch);
  /// The closing batch exists; nothing can be appended from now on.
  void close();
  [[nodiscard]] bool closed() const { return Closed; }
  /// Adds a result to be listed; ignored when its item is listed or queued.
  void queue(item_result Result);
  /// Results for the next batch, at most about MaxBytes (at least one).
  [[nodiscard]] std::vector<item_result> nextBatch(size_t MaxBytes) const;

  [[nodiscard]] size_t batchCount() const { return Batches; }
  [[nodiscard]] size_t queuedCount() const { return Queue.size(); }
  [[nodiscard]] const std::vector<item_result> &listed() const {
    return Listed;
  }
  /// Results that wait to be listed.
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
