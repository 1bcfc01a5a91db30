#include "jobs/result_writer.h"

#include "base/log.h"
#include "http/event_loop.h"
#include "store/async_store_client.h"

#include <algorithm>
#include <chrono>

namespace cardamom {

/// Delay before a write that the store has not acknowledged is retried.
static constexpr milliseconds WriteRetryDelay{50};

result_writer::result_writer(result_writer_options Options, std::string JobId)
    : Options(std::move(Options)), JobId(JobId), Log(std::move(JobId)) {}

result_writer::~result_writer() = default;

void result_writer::start(bool HasBatches) {
  if (HasBatches) {
    loadBatches();
    return;
  }
  Ready = true;
  writeNext();
}

/// Reads the existing batches by trying to create the next one as an empty
/// batch: each conflict returns an existing batch. Once the empty batch has
/// been created, a predecessor that does not know yet that it has lost the
/// lease cannot list results unknown to this writer.
void result_writer::loadBatches() {
  Options.Store.call(
      {.Op = object_op::Create,
       .Kind = Options.ResultKind,
       .Name = result_log::batchName(JobId, Log.batchCount()),
       .Value = result_log::encodeBatch({}, Options.NewId())},
      [this, Weak = std::weak_ptr<bool>(Alive)](const object_reply &Reply) {
        if (Weak.expired())
          return;
        if (Reply.Outcome == object_outcome::Done) {
          Log.append({});
        } else if (Reply.Outcome == object_outcome::Conflict &&
                   !Reply.Objects.empty()) {
          appendStoredBatch(Reply.Objects.front().Spec);
          if (Weak.expired())
            return;
          if (!Log.closed()) {
            loadBatches();
            return;
          }
        } else {
          retryLater([this] { loadBatches(); });
          return;
        }
        Ready = true;
        Options.OnReady();
        if (!Weak.expired())
          writeNext();
      });
}

void result_writer::queue(item_result Result, milliseconds MaxDelay) {
  if (Closing || Log.closed())
    return;
  Log.queue(std::move(Result));
  const time_point Deadline = event_loop::now() + MaxDelay;
  if (FlushBy && *FlushBy <= Deadline)
    return;
  FlushBy = Deadline;
  scheduleFlush();
}

void result_writer::scheduleFlush() {
  if (Writing || !Ready || !FlushBy)
    return;
  const auto Delay =
      std::chrono::ceil<milliseconds>(*FlushBy - event_loop::now());
  FlushTimer = Options.Loop.after(std::max(Delay, milliseconds(0)), [this] {
    FlushTimer.reset();
    flush();
  });
}

/// Starts the next write or its timer; called when no write is in flight.
void result_writer::writeNext() {
  if (Log.closed())
    return;
  if (!Closing) {
    scheduleFlush();
    return;
  }
  const std::string WriteId = Options.NewId();
  write(std::make_shared<batch>(
      batch{.Spec = result_log::encodeClosingBatch(WriteId),
            .WriteId = WriteId,
            .Results = {},
            .Closes = true}));
}

void result_writer::flush() {
  if (Writing || Closing || !Ready || Log.closed())
    return;
  std::vector<item_result> Results = Log.nextBatch(Options.MaxBatchBytes);
  // If results remain, FlushBy keeps its value, which has passed, so that they
  // are written right after this batch.
  if (Results.size() == Log.queuedCount())
    FlushBy.reset();
  if (Results.empty())
    return;
  const std::string WriteId = Options.NewId();
  nlohmann::json Spec = result_log::encodeBatch(Results, WriteId);
  write(std::make_shared<batch>(batch{.Spec = std::move(Spec),
                                      .WriteId = WriteId,
                                      .Results = std::move(Results)}));
}

void result_writer::close() {
  if (Closing || Log.closed())
    return;
  Closing = true;
  FlushTimer.reset();
  if (!Writing && Ready)
    writeNext();
}

void result_writer::write(const batch_ptr &Batch) {
  Writing = true;
  Options.Store.call({.Op = object_op::Create,
                      .Kind = Options.ResultKind,
                      .Name = result_log::batchName(JobId, Log.batchCount()),
                      .Value = Batch->Spec},
                     [this, Weak = std::weak_ptr<bool>(Alive),
                      Batch](const object_reply &Reply) {
                       if (Weak.expired())
                         return;
                       if (Reply.Outcome == object_outcome::Done) {
                         onBatchWritten(Batch);
                         return;
                       }
                       if (Reply.Outcome == object_outcome::Conflict &&
                           !Reply.Objects.empty()) {
                         onConflict(Batch, Reply.Objects.front().Spec);
                         return;
                       }
                       logInfo(
                           "results_write_failed",
                           {{"job", JobId},
                            {"outcome", std::string(toString(Reply.Outcome))},
                            {"detail", Reply.Detail}});
                       retryLater([this, Batch] { write(Batch); });
                     });
}

/// Either an earlier attempt of this write succeeded and its response was lost,
/// or another process has written a batch of this number.
void result_writer::onConflict(const batch_ptr &Batch,
                               const nlohmann::json &StoredSpec) {
  if (result_log::decodeWriteId(StoredSpec) == Batch->WriteId) {
    onBatchWritten(Batch);
    return;
  }
  logInfo("results_of_other_writer", {{"job", JobId}});
  const std::weak_ptr<bool> Weak = Alive;
  appendStoredBatch(StoredSpec);
  if (Weak.expired())
    return;
  if (Log.closed() || Batch->Closes) {
    Writing = false;
    writeNext();
    return;
  }
  Options.ConfirmLease([this, Weak] {
    if (Weak.expired())
      return;
    Writing = false;
    writeNext();
  });
}

void result_writer::onBatchWritten(const batch_ptr &Batch) {
  Writing = false;
  if (Batch->Closes) {
    Log.close();
    return;
  }
  const std::weak_ptr<bool> Weak = Alive;
  const size_t Count = Batch->Results.size();
  Log.append(std::move(Batch->Results));
  Options.OnListed(Count);
  if (!Weak.expired())
    writeNext();
}

void result_writer::appendStoredBatch(const nlohmann::json &Spec) {
  if (result_log::isClosing(Spec)) {
    Log.close();
    if (!Closing)
      Options.OnClosedByOther();
    return;
  }
  std::vector<item_result> Results = result_log::readStoredBatch(JobId, Spec);
  const size_t Count = Results.size();
  Log.append(std::move(Results));
  Options.OnListed(Count);
}

void result_writer::retryLater(std::function<void()> Task) {
  RetryTimer =
      Options.Loop.after(WriteRetryDelay, [this, Task = std::move(Task)] {
        Options.Store.whenReachable([Weak = std::weak_ptr<bool>(Alive), Task] {
          if (!Weak.expired())
            Task();
        });
      });
}

} // namespace cardamom
