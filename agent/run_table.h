/// \file
/// Authoritative state of the runs of one agent.
///
/// Use:
///   run_table Table({.OnChange = notifyReader});
///   Table.insert({.RequestId = Id, .Idempotent = true}, Now);
///   Table.start(Id);                    // just before calling the upstream
///   Table.setHead(Id, Head);
///   Table.append(Id, Bytes, Version);   // Full: wait for the reader
///   Table.finish(Id, End, Now);
/// and for readers
///   uint64_t ReaderId = *Table.attach(Id, Now);
///   Table.read(Id, ReaderId, Cursor, 64 * 1024);
///
/// The state of a request id only advances: queued, running, finished, response
/// dropped, record removed. An id is started at most once. The only exception
/// is a request that was refused and therefore never ran: a higher attempt may
/// insert it again.
///
/// Limits: records are kept for RecordRetention after the end of the run, and
/// there are at most MaxRecords of them. After that the hash of the id of a run
/// that was not refused is kept for TombstoneRetention, so that late queries
/// still learn that the run existed. Thread-safe with one lock. Every operation
/// costs O(log n) except append(), which copies the bytes, and tick(),
/// orphans(), listBySample() and unacknowledgedCount().

#ifndef CARDAMOM_AGENT_RUN_TABLE_H
#define CARDAMOM_AGENT_RUN_TABLE_H

#include "base/time.h"
#include "inner/gen/messages.pb.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamom {

struct run_spec {
  std::string RequestId;
  uint32_t Attempt = 0;
  bool Idempotent = false;
  /// "trainer/step/group/index"; empty for live requests.
  std::string Sample;
  /// The caller may repeat the request with its idempotency key and expects the
  /// same response, which is therefore kept after the acknowledgement.
  bool HasIdempotencyKey = false;
};

enum class insert_result {
  Inserted,
  /// The id has a record or a tombstone. Nothing was changed.
  Known,
  /// The table holds MaxRecords. Nothing was inserted.
  TableFull,
};

enum class append_result {
  Ok,
  /// A size limit is reached until a reader catches up. Nothing was appended.
  Full,
  /// The run is not in state running.
  Ended,
};

/// Position of a reader in a response.
struct run_cursor {
  uint64_t Offset = 0;
  bool HeadDelivered = false;
  /// Number of tokens whose spans the reader has received. A reader that
  /// resumes at an offset starts from the count of the previous reader. Spans
  /// sent before the end only report progress; the spans in the end are
  /// complete.
  uint64_t TokenCount = 0;
  bool TokenCountInitialized = false;
};

/// New data for a reader.
struct run_chunk {
  enum class state {
    /// More data may follow.
    Open,
    /// End is set and no data follows.
    Ended,
    /// Another reader has attached, or the record was removed.
    Detached,
  };
  state State = state::Detached;
  std::optional<wire::response_head> Head;
  uint64_t Offset = 0;
  std::string Bytes;
  std::vector<wire::version_span> Spans;
  std::optional<wire::run_end> End;
};

struct run_table_options {
  size_t MaxRecords = 100000;
  size_t MaxTombstones = 200000;
  size_t MaxResponseBytes = size_t(8) << 20;
  size_t MaxTotalResponseBytes = size_t(64) << 20;
  milliseconds ResponseRetention{120000};
  /// For responses of requests with an idempotency key.
  milliseconds KeyedResponseRetention{600000};
  milliseconds RecordRetention{600000};
  /// A refused request never ran, so removing its record early is safe: a query
  /// then returns never_seen.
  milliseconds RefusedRetention{30000};
  milliseconds TombstoneRetention{3600000};
  milliseconds OrphanTimeout{30000};
  /// Called without the lock after each change that a reader can observe.
  std::function<void(std::string_view RequestId)> OnChange;
};

class run_table {
public:
  explicit run_table(run_table_options Options);

  insert_result insert(const run_spec &Spec, time_point Now);
  /// Moves a queued run to running. Returns false if the run is not queued
  /// (unknown, already started, cancelled or refused); it must not run then.
  bool start(std::string_view Id);
  void setHead(std::string_view Id, wire::response_head Head);
  /// Appends bytes to the response and, if Version is not 0, one token of that
  /// weight version. Both become visible together, so that text and spans are
  /// consistent wherever the run ends.
  append_result append(std::string_view Id, std::string_view Bytes,
                       uint64_t Version = 0);
  /// Finishes the run; the spans and the length of the response are filled in.
  /// Returns false if the run is unknown or has already ended. REFUSED is
  /// allowed only for a run that did not reach the upstream.
  bool finish(std::string_view Id, wire::run_end End, time_point Now);

  /// Makes the caller the only reader and returns its reader id, or nothing if
  /// the run has no record.
  std::optional<uint64_t> attach(std::string_view Id, time_point Now);
  /// Has no effect if another reader has attached.
  void detach(std::string_view Id, uint64_t ReaderId, time_point Now);
  /// Reads up to MaxBytes at the cursor and advances it.
  run_chunk read(std::string_view Id, uint64_t ReaderId, run_cursor &Cursor,
                 size_t MaxBytes);
  void acknowledge(std::string_view Id, time_point Now);

  [[nodiscard]] wire::run_state query(std::string_view Id) const;
  /// The end of a finished run.
  [[nodiscard]] std::optional<wire::run_end> findEnd(std::string_view Id) const;
  /// Runs whose sample starts with SamplePrefix, as (request id, sample). Runs
  /// that were refused or whose response was dropped are left out.
  [[nodiscard]] std::vector<std::pair<std::string, std::string>>
  listBySample(std::string_view SamplePrefix) const;

  /// Unfinished idempotent runs that have had no reader for OrphanTimeout.
  [[nodiscard]] std::vector<std::string> orphans(time_point Now) const;
  /// Drops responses, records and tombstones whose retention has expired.
  void tick(time_point Now);

  [[nodiscard]] size_t recordCount() const;
  [[nodiscard]] size_t unfinishedCount() const;
  /// Number of finished runs whose response a peer may still need: it is held,
  /// not acknowledged, and, for samples, not read to the end. The owner of a
  /// step acknowledges a sample only with the trainer's next draw, and
  /// generates it again if necessary, so a sample that was read is not counted.
  /// Costs O(n) in the number of held responses.
  [[nodiscard]] size_t unacknowledgedCount() const;
  [[nodiscard]] size_t responseBytes() const;

private:
  struct record {
    run_spec Spec;
    wire::run_state State = wire::QUEUED;
    /// Whether the upstream may have received the call.
    bool Started = false;
    std::optional<wire::response_head> Head;
    /// The response from BaseOffset on.
    std::string ResponseBody;
    uint64_t BaseOffset = 0;
    /// Offset up to which the current reader has read.
    uint64_t ReadOffset = 0;
    /// Number of tokens whose spans the last reader has received.
    uint64_t ReadTokenCount = 0;
    std::vector<wire::version_span> Spans;
    std::optional<wire::run_end> End;
    time_point EndedAt;
    bool Acknowledged = false;
    /// 0 if there is no reader.
    uint64_t ReaderId = 0;
    time_point DetachedAt;
  };
  using record_map = std::unordered_map<std::string, record>;
  struct tombstone {
    uint64_t Hash;
    time_point CreatedAt;
  };

  static void addTokenToSpans(record &Record, uint64_t Version);
  record *find(std::string_view Id);
  [[nodiscard]] const record *find(std::string_view Id) const;
  void notifyChanged(std::string_view Id) const;
  void advanceState(record &Record, wire::run_state State);
  bool reserveBytes(record &Record, size_t Bytes);
  void dropReadBytes(record &Record);
  void dropResponse(record &Record);
  void dropExpiredResponses(std::deque<std::string> &Ids,
                            milliseconds Retention, time_point Now);
  bool dropOldestResponse();
  [[nodiscard]] size_t
  countUnacknowledged(const std::deque<std::string> &Ids) const;
  void removeRecord(record_map::iterator It, time_point Now);
  void dropExpiredRecords(std::deque<std::string> &Ids, milliseconds Retention,
                          time_point Now);
  void dropExpiredTombstones(time_point Now);
  static void addNewSpans(const record &Record, run_cursor &Cursor,
                          run_chunk &Chunk);

  run_table_options Options;
  mutable std::mutex Mutex;
  record_map Records;
  /// (sample, request id) of records with a sample.
  std::set<std::pair<std::string, std::string>> Samples;
  /// Ids of finished runs that were not refused, ordered by the time of their
  /// end.
  std::deque<std::string> EndedIds;
  /// Ids of refused runs, ordered by the time of their end.
  std::deque<std::string> RefusedIds;
  /// Ids of runs whose response may be held, ordered by the time of their end.
  std::deque<std::string> IdsWithResponse;
  std::deque<std::string> IdsWithKeyedResponse;
  std::deque<tombstone> Tombstones;
  std::unordered_map<uint64_t, unsigned> TombstoneHashes;
  size_t TotalBytes = 0;
  std::set<std::string> Unfinished;
  uint64_t LastReaderId = 0;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_RUN_TABLE_H
