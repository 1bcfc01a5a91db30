/// \file
/// At-most-once execution: a request with an idempotency key runs only after it
/// has claimed the key in the store.
///
/// Use:
///   key_ledger Ledger({.Agent = Name, .Incarnation = I, .Get = ..., .Put =
///   ..., .WallSeconds = ...});
///   claim_result R = Ledger.claim({.Route = "/book", .Key = Key,
///                                  .RequestId = Id});
///   if (R.Status == claim_status::Granted) run();
///
/// Keys are partitioned into shards; each shard is one object of the store.
/// claim() blocks its thread for one or more store calls. Concurrent claims in
/// one shard share a write (group commit): a thread that finds no write in
/// progress waits GroupCommitDelay for further claims if the shard was written
/// recently, then writes for all of them.
///
/// Correctness depends only on the store's conditional update. An object
/// "ledger/<shard>" holds JSON
///   {"holders": [[agent, incarnation in hex], ...],
///    "keys": {key hash: [index of the holder, request id, Unix seconds]}}
///
/// Limits: MaxRecords per shard and MaxValueBytes per object; each write sends
/// the whole object.

#ifndef CARDAMOM_AGENT_KEY_LEDGER_H
#define CARDAMOM_AGENT_KEY_LEDGER_H

#include "base/time.h"
#include "store/store_client.h"

#include <array>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

enum class claim_status {
  /// The request holds the key and may run.
  Granted,
  /// Another request, named by Holder, holds the key.
  Claimed,
  /// The key was not claimed; the request must not run.
  StoreUnavailable,
  LedgerFull,
};

struct claim_holder {
  std::string Agent;
  uint64_t Incarnation = 0;
  std::string RequestId;
  bool operator==(const claim_holder &) const = default;
};

struct claim_result {
  claim_status Status = claim_status::StoreUnavailable;
  claim_holder Holder;
  milliseconds RetryAfter{0};
};

struct claim_request {
  std::string Route;
  std::string Key;
  std::string RequestId;
};

struct key_ledger_options {
  std::string Agent;
  uint64_t Incarnation = 0;
  std::function<store_result(std::string_view Key)> Get;
  std::function<store_result(std::string_view Key, std::string_view Value,
                             uint64_t IfVersion)>
      Put;
  /// Wall clock in Unix seconds. A steady clock would not do, because records
  /// outlive processes.
  std::function<int64_t()> WallSeconds;
  milliseconds GroupCommitDelay{20};
  int64_t RetentionSeconds = int64_t(24) * 3600;
  size_t MaxRecords = 8000;
  /// Below the store's limit of 1 MB per object.
  size_t MaxValueBytes = 900000;
  /// Attempts to write, including those that end with a conflict or an unknown
  /// result, before the store counts as unavailable.
  unsigned MaxAttempts = 8;
  milliseconds RetryAfter{1000};
};

class key_ledger {
public:
  static constexpr size_t ShardCount = 16;

  explicit key_ledger(key_ledger_options Options);

  /// Claims the key for the request. Does not throw if the store fails.
  claim_result claim(const claim_request &Request);
  /// Releases a granted claim; the request must not have run and must never
  /// run. If the write fails, the record remains, and only this incarnation can
  /// take it over. Other agents then report that the request may have run.
  void release(const claim_request &Request);

  /// Shard and 128-bit hash (32 hex digits) of a key.
  static size_t shardOf(const claim_request &Request);
  static std::string hashOf(const claim_request &Request);

private:
  struct claim_record {
    claim_holder Holder;
    int64_t ClaimedAt = 0;
  };
  using claim_map = std::map<std::string, claim_record, std::less<>>;
  struct pending_operation {
    pending_operation(std::string Hash, std::string RequestId, bool Release)
        : Hash(std::move(Hash)), RequestId(std::move(RequestId)),
          IsRelease(Release) {}
    std::string Hash;
    std::string RequestId;
    /// True for a release, false for a claim.
    bool IsRelease = false;
    claim_result Result;
    bool Done = false;
  };
  struct shard {
    std::mutex Mutex;
    std::condition_variable Changed;
    std::vector<pending_operation *> PendingOperations;
    bool CommitInProgress = false;
    /// Steady-clock time of the last commit. A commit within GroupCommitDelay
    /// of it first waits for further claims.
    time_point LastCommit;
    // The members below are used only by the thread that set CommitInProgress.
    bool Cached = false;
    uint64_t Version = 0;
    claim_map Claims;
  };

  void submit(size_t Index, pending_operation &Operation);
  void commitBatch(size_t Index, const std::vector<pending_operation *> &Batch);
  bool loadShard(size_t Index);
  /// Returns whether Claims was changed.
  bool applyBatch(claim_map &Claims,
                  const std::vector<pending_operation *> &Batch);
  bool applyClaim(claim_map &Claims, pending_operation &Operation);
  bool applyRelease(claim_map &Claims, const pending_operation &Operation);
  [[nodiscard]] bool isAbandoned(const claim_holder &Holder);
  void failBatch(const std::vector<pending_operation *> &Batch,
                 claim_status Status, bool MayBeWritten);
  void markAbandoned(const std::string &RequestId);
  void clearAbandoned(const std::string &RequestId);
  [[nodiscard]] claim_holder makeHolder(std::string_view RequestId) const;
  [[nodiscard]] std::string toJson(const claim_map &Claims) const;
  static claim_map fromJson(std::string_view Json);

  key_ledger_options Options;
  std::array<shard, ShardCount> Shards;
  std::mutex AbandonedMutex;
  /// Requests of this incarnation that will never run, although the store may
  /// hold a record of their claim.
  std::set<std::string> AbandonedRequests;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_KEY_LEDGER_H
