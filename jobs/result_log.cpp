#include "jobs/result_log.h"

#include "base/invariant.h"
#include "base/log.h"

#include <cstdio>
#include <stdexcept>

namespace cardamom {

using nlohmann::json;

std::string result_log::batchName(std::string_view JobId, size_t Number) {
  // The fixed width makes the order of names the order of batches.
  char Suffix[16];
  std::snprintf(Suffix, sizeof Suffix, ".%05zu", Number);
  return std::string(JobId) + Suffix;
}

json result_log::encodeBatch(std::span<const item_result> Batch,
                             std::string_view WriteId) {
  json Results = json::array();
  for (const item_result &Result : Batch)
    Results.push_back({{"item", Result.ItemId},
                       {"completed", Result.Completed},
                       {"text", Result.Text},
                       {"versions", Result.Versions},
                       {"score", Result.Score}});
  return {{"write_id", WriteId}, {"results", std::move(Results)}};
}

json result_log::encodeClosingBatch(std::string_view WriteId) {
  json Batch = encodeBatch({}, WriteId);
  Batch["closing"] = true;
  return Batch;
}

bool result_log::isClosing(const json &Spec) {
  return Spec.is_object() && Spec.contains("closing");
}

std::vector<item_result> result_log::decodeBatch(const json &Spec) {
  std::vector<item_result> Batch;
  try {
    for (const json &Entry : Spec.at("results"))
      Batch.push_back({.ItemId = Entry.at("item"),
                       .Completed = Entry.at("completed"),
                       .Text = Entry.at("text"),
                       .Versions = Entry.at("versions"),
                       .Score = Entry.at("score")});
  } catch (const json::exception &Error) {
    throw std::invalid_argument(std::string("malformed batch of results: ") +
                                Error.what());
  }
  return Batch;
}

std::vector<item_result> result_log::readStoredBatch(std::string_view JobId,
                                                     const json &Spec) {
  try {
    return decodeBatch(Spec);
  } catch (const std::invalid_argument &Error) {
    logError("results_unreadable",
             {{"job", std::string(JobId)}, {"reason", Error.what()}});
    return {};
  }
}

std::string result_log::decodeWriteId(const json &Spec) {
  if (!Spec.is_object())
    return {};
  const auto It = Spec.find("write_id");
  return It == Spec.end() || !It->is_string() ? std::string()
                                              : It->get<std::string>();
}

void result_log::close() {
  Closed = true;
  Queue.clear();
  QueuedIds.clear();
}

void result_log::append(std::vector<item_result> Batch) {
  CARDAMOM_INVARIANT(!Closed, "no batch follows the closing batch");
  ++Batches;
  for (item_result &Result : Batch) {
    const bool New = ListedIds.insert(Result.ItemId).second;
    CARDAMOM_INVARIANT(New, "an item is listed at most once");
    if (QueuedIds.erase(Result.ItemId) > 0)
      std::erase_if(Queue, [&](const item_result &Queued) {
        return Queued.ItemId == Result.ItemId;
      });
    Listed.push_back(std::move(Result));
  }
}

void result_log::queue(item_result Result) {
  if (ListedIds.contains(Result.ItemId) ||
      !QueuedIds.insert(Result.ItemId).second)
    return;
  Queue.push_back(std::move(Result));
}

std::vector<item_result> result_log::nextBatch(size_t MaxBytes) const {
  std::vector<item_result> Batch;
  size_t Bytes = 0;
  for (const item_result &Result : Queue) {
    Bytes += Result.Text.size();
    if (!Batch.empty() && Bytes > MaxBytes)
      break;
    Batch.push_back(Result);
  }
  return Batch;
}

bool result_log::isListed(std::string_view ItemId) const {
  return ListedIds.contains(ItemId);
}

} // namespace cardamom
