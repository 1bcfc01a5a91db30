/// \file
/// Authoritative state of the runs of one agent.
///
/// Use:
///   run_table Table({.OnChange = wakeReader});
///   Table.insert({.RequestId = Id, .Idempotent = true}, Now);
///   Table.start(Id);                    // just before the upstream sees it
///   Table.setHead(Id, Head);
///   Table.append(Id, Bytes, Version);   // Full = wait for the reader
///   Table.finish(Id, End, Now);
/// and for readers
///   uint64_t Token = *Table.attach(Id, Now);
///   Table.read(Id, Token, Cursor, 64 * 1024);
///
/// State of a request id only moves forward: queued, running, finished, answer
/// gone, forgotten. An id is started at most once. The single way back in is
/// that of a request that was refused, that is, never started: a higher
/// attempt may insert it again.
///
/// Limits: records are kept for RecordRetention after their end, and no more
/// than MaxRecords of them. Then the hash of the id of a run that was not
/// refused stays for TombstoneRetention, so that a late query still learns that
/// it ran. Thread-safe with one lock; every operation costs O(log n) except
/// append(), which copies the bytes, and tick(), orphans() and list().

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
  /// A caller may repeat the request with its idempotency key and expects the
  /// same answer, which is therefore kept after the acknowledgement.
  bool HasIdempotencyKey = false;
};

enum class insert_result {
  Inserted,
  /// The id has a record or a tombstone; nothing was changed.
  Known,
  /// MaxRecords are held; nothing was inserted.
  TableFull,
};

enum class append_result {
  Ok,
  /// No room until a reader catches up. Nothing was appended.
  Full,
  /// The run is not running.
  Ended,
};

/// Position of one reader in one answer.
struct run_cursor {
  uint64_t Offset = 0;
  bool HeadRead = false;
  /// Tokens whose spans the reader has. A reader that goes on from an offset
  /// takes over the count of the one before: spans on the way are progress
  /// reports, and only those of the end are complete.
  uint64_t TokenCount = 0;
  bool TokenCountInitialized = false;
};

/// What is new for a reader.
struct run_chunk {
  enum class state {
    /// More may follow.
    Open,
    /// End is set and nothing follows.
    Ended,
    /// Another reader has attached since, or the record is gone.
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
  /// Answers of keyed requests.
  milliseconds KeyedResponseRetention{600000};
  milliseconds RecordRetention{600000};
  /// A refused request never ran, so that forgetting it early is harmless: a
  /// query then answers never_seen.
  milliseconds RefusedRetention{30000};
  milliseconds TombstoneRetention{3600000};
  milliseconds OrphanTimeout{30000};
  /// Called without the lock after each change that a reader can see.
  std::function<void(std::string_view RequestId)> OnChange;
};

class run_table {
public:
  explicit run_table(run_table_options Options);

  insert_result insert(const run_spec &Spec, time_point Now);
  /// Moves a queued run to running. Returns false when it does not wait
  /// (refused or cancelled, started before, unknown): it must not be run then.
  bool start(std::string_view Id);
  void setHead(std::string_view Id, wire::response_head Head);
  /// Adds bytes of the answer and, when Version is not 0, one token of that
  /// weight version. Both become visible at once, so that text and labels
  /// agree wherever the run ends.
  append_result append(std::string_view Id, std::string_view Bytes,
                       uint64_t Version = 0);
  /// Ends the run; spans and length are filled in. Returns false when it has
  /// ended before. REFUSED needs a run that did not reach the upstream.
  bool finish(std::string_view Id, wire::run_end End, time_point Now);

  /// Makes the caller the only reader. Returns nothing when there is no
  /// record.
  std::optional<uint64_t> attach(std::string_view Id, time_point Now);
  /// Does nothing when another reader has attached since.
  void detach(std::string_view Id, uint64_t Token, time_point Now);
  /// Reads up to MaxBytes from the cursor, which moves on.
  run_chunk read(std::string_view Id, uint64_t Token, run_cursor &Cursor,
                 size_t MaxBytes);
  void acknowledge(std::string_view Id, time_point Now);

  [[nodiscard]] wire::run_state query(std::string_view Id) const;
  /// End of a finished run.
  [[nodiscard]] std::optional<wire::run_end> findEnd(std::string_view Id) const;
  /// Runs with a record and an answer, whose sample starts with Prefix.
  [[nodiscard]] std::vector<std::pair<std::string, std::string>>
  listBySample(std::string_view SamplePrefix) const;

  /// Idempotent runs without a reader for OrphanTimeout that have not ended.
  [[nodiscard]] std::vector<std::string> orphans(time_point Now) const;
  /// Drops answers, records and tombstones whose retention has passed.
  void tick(time_point Now);

  [[nodiscard]] size_t recordCount() const;
  [[nodiscard]] size_t unfinishedCount() const;
  /// Ended runs whose answer a peer may still need: held, not acknowledged,
  /// and, for samples, not read to the end. The owner of a step acknowledges a
  /// sample only with the trainer's next draw, and generates it again if need
  /// be. Costs O(n) in the number of held answers.
  [[nodiscard]] size_t unacknowledgedCount() const;
  [[nodiscard]] size_t responseBytes() const;

private:
  struct record {
    run_spec Spec;
    wire::run_state State = wire::QUEUED;
    /// Whether the upstream may have seen it.
    bool Started = false;
    std::optional<wire::response_head> Head;
    /// Answer from BaseOffset on.
    std::string Body;
    uint64_t BaseOffset = 0;
    /// What the present reader has taken.
    uint64_t ReadOffset = 0;
    /// Tokens whose spans the last reader has taken.
    uint64_t ReadTokenCount = 0;
    std::vector<wire::version_span> Spans;
    std::optional<wire::run_end> End;
    time_point EndedAt;
    bool Acknowledged = false;
    /// 0 = no reader.
    uint64_t ReaderId = 0;
    time_point DetachedAt;
  };
  using record_map = std::unordered_map<std::string, record>;
  struct tombstone {
    uint64_t Hash;
    time_point CreatedAt;
  };

  static void addToken(record &Record, uint64_t Version);
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
  void dropExpiredRecords(std::deque<std::string> &Ended,
                          milliseconds Retention, time_point Now);
  void dropExpiredTombstones(time_point Now);
  static void addNewSpans(const record &Record, run_cursor &Cursor,
                          run_chunk &Chunk);

  run_table_options Options;
  mutable std::mutex Mutex;
  record_map Records;
  /// (sample, request id) of records with a sample.
  std::set<std::pair<std::string, std::string>> Samples;
  /// Ids in the order of their ends.
  std::deque<std::string> Ended;
  std::deque<std::string> EndedRefused;
  /// Ids whose answer may be held, in the order of their ends.
  std::deque<std::string> WithResponse;
  std::deque<std::string> WithKeyedResponse;
  std::deque<tombstone> Tombstones;
  std::unordered_map<uint64_t, unsigned> TombstoneHashes;
  size_t TotalBytes = 0;
  std::set<std::string> Unfinished;
  uint64_t LastReaderId = 0;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_RUN_TABLE_H
