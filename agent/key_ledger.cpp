#include "agent/key_ledger.h"

#include "base/bounded_json.h"
#include "base/log.h"
#include "base/metrics.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <xxhash.h>

namespace cardamom {

using json = nlohmann::json;

/// Route and key, separated by a NUL byte, which neither can contain.
static std::string hashInput(const claim_request &Request) {
  return Request.Route + '\0' + Request.Key;
}

static std::string toHex(uint64_t Value) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Value));
  return Text;
}

static uint64_t fromHex(const std::string &Text) {
  uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Value, 16);
  if (Error != std::errc() || Rest != End)
    throw std::invalid_argument("incarnation \"" + Text + "\" is not hex");
  return Value;
}

/// Maximum number of ids of abandoned claims kept in memory (about 100 bytes
/// each).
static constexpr size_t MaxAbandonedRequests = 100000;

static std::string objectName(size_t Shard) {
  return "ledger/" + std::to_string(Shard);
}

key_ledger::key_ledger(key_ledger_options Options)
    : Options(std::move(Options)) {}

size_t key_ledger::shardOf(const claim_request &Request) {
  const std::string Text = hashInput(Request);
  return XXH3_64bits(Text.data(), Text.size()) % ShardCount;
}

std::string key_ledger::hashOf(const claim_request &Request) {
  // 128 bits, because requests whose keys collide would share a response.
  const std::string Text = hashInput(Request);
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return toHex(Hash.high64) + toHex(Hash.low64);
}

claim_holder key_ledger::makeHolder(std::string_view RequestId) const {
  return {Options.Agent, Options.Incarnation, std::string(RequestId)};
}

claim_result key_ledger::claim(const claim_request &Request) {
  pending_operation Operation(hashOf(Request), Request.RequestId, false);
  submit(shardOf(Request), Operation);
  return Operation.Result;
}

void key_ledger::release(const claim_request &Request) {
  pending_operation Operation(hashOf(Request), Request.RequestId, true);
  // Marked before the write, because the result of the write may remain
  // unknown.
  markAbandoned(Request.RequestId);
  submit(shardOf(Request), Operation);
}

void key_ledger::submit(size_t Index, pending_operation &Operation) {
  shard &Shard = Shards[Index];
  std::unique_lock Lock(Shard.Mutex);
  Shard.PendingOperations.push_back(&Operation);
  Shard.Changed.wait(Lock,
                     [&] { return Operation.Done || !Shard.CommitInProgress; });
  if (Operation.Done)
    return;
  Shard.CommitInProgress = true;
  // A single claim is written immediately. Claims in quick succession share a
  // write.
  if (steady_clock::now() - Shard.LastCommit < Options.GroupCommitDelay)
    Shard.Changed.wait_for(Lock, Options.GroupCommitDelay,
                           [] { return false; });
  std::vector<pending_operation *> Batch;
  Batch.swap(Shard.PendingOperations);
  Lock.unlock();
  commitBatch(Index, Batch);
  Lock.lock();
  for (pending_operation *Finished : Batch)
    Finished->Done = true;
  Shard.CommitInProgress = false;
  Shard.LastCommit = steady_clock::now();
  Lock.unlock();
  Shard.Changed.notify_all();
}

bool key_ledger::loadShard(size_t Index) {
  shard &Shard = Shards[Index];
  const store_result Result = Options.Get(objectName(Index));
  Shard.Cached = false;
  if (Result.Status != store_status::Ok &&
      Result.Status != store_status::NotFound)
    return false;
  try {
    Shard.Claims = Result.Status == store_status::Ok ? fromJson(Result.Value)
                                                     : claim_map();
  } catch (const std::exception &Error) {
    // Fails, because ignoring an unreadable record could run a request twice.
    logError("ledger_unreadable",
             {{"object", objectName(Index)}, {"error", Error.what()}});
    return false;
  }
  // The store reports a version for a deleted object too, but creating the
  // object again takes version 0.
  Shard.Version = Result.Status == store_status::Ok ? Result.Version : 0;
  Shard.Cached = true;
  return true;
}

void key_ledger::commitBatch(size_t Index,
                             const std::vector<pending_operation *> &Batch) {
  shard &Shard = Shards[Index];
  bool MayBeWritten = false;
  for (unsigned Attempt = 0; Attempt < Options.MaxAttempts; ++Attempt) {
    if (!Shard.Cached && !loadShard(Index))
      break;
    claim_map Changed = Shard.Claims;
    if (!applyBatch(Changed, Batch))
      return;
    const std::string Value = toJson(Changed);
    if (Value.size() > Options.MaxValueBytes)
      return failBatch(Batch, claim_status::LedgerFull, MayBeWritten);
    const store_result Result =
        Options.Put(objectName(Index), Value, Shard.Version);
    if (Result.Status == store_status::Ok) {
      Shard.Version = Result.Version;
      Shard.Claims = std::move(Changed);
      return;
    }
    // On a conflict, another agent has written the object. On an unknown
    // result, the next attempt reads the object and finds this request as the
    // holder if the write took effect.
    Shard.Cached = false;
    const bool Unknown = Result.Status == store_status::Unknown;
    MayBeWritten |= Unknown;
    if (!Unknown && Result.Status != store_status::Conflict)
      break;
    metrics::get()
        .counter("ledger_rounds_total", "cause",
                 Unknown ? "unknown" : "conflict")
        .add();
  }
  failBatch(Batch, claim_status::StoreUnavailable, MayBeWritten);
}

void key_ledger::failBatch(const std::vector<pending_operation *> &Batch,
                           claim_status Status, bool MayBeWritten) {
  for (pending_operation *Operation : Batch) {
    Operation->Result = {};
    Operation->Result.Status = Status;
    Operation->Result.RetryAfter = Options.RetryAfter;
    if (MayBeWritten)
      markAbandoned(Operation->RequestId);
  }
}

bool key_ledger::applyBatch(claim_map &Claims,
                            const std::vector<pending_operation *> &Batch) {
  const int64_t OldestKept = Options.WallSeconds() - Options.RetentionSeconds;
  std::erase_if(
      Claims, [&](auto &Entry) { return Entry.second.ClaimedAt < OldestKept; });
  bool Changed = false;
  for (pending_operation *Operation : Batch)
    Changed |= Operation->IsRelease ? applyRelease(Claims, *Operation)
                                    : applyClaim(Claims, *Operation);
  return Changed;
}

bool key_ledger::applyClaim(claim_map &Claims, pending_operation &Operation) {
  const auto It = Claims.find(Operation.Hash);
  const bool Held = It != Claims.end() && !isAbandoned(It->second.Holder);
  if (Held) {
    const claim_holder &Holder = It->second.Holder;
    const bool HeldByRequest = Holder == makeHolder(Operation.RequestId);
    Operation.Result.Status =
        HeldByRequest ? claim_status::Granted : claim_status::Claimed;
    Operation.Result.Holder = Holder;
    return false;
  }
  Operation.Result = {};
  if (It == Claims.end() && Claims.size() >= Options.MaxRecords) {
    Operation.Result.Status = claim_status::LedgerFull;
    Operation.Result.RetryAfter = Options.RetryAfter;
    return false;
  }
  // An earlier attempt of the same request may have released its claim.
  clearAbandoned(Operation.RequestId);
  Operation.Result.Status = claim_status::Granted;
  Operation.Result.Holder = makeHolder(Operation.RequestId);
  Claims[Operation.Hash] = {makeHolder(Operation.RequestId),
                            Options.WallSeconds()};
  return true;
}

bool key_ledger::applyRelease(claim_map &Claims,
                              const pending_operation &Operation) {
  const auto It = Claims.find(Operation.Hash);
  if (It == Claims.end() ||
      It->second.Holder != makeHolder(Operation.RequestId))
    return false;
  Claims.erase(It);
  return true;
}

bool key_ledger::isAbandoned(const claim_holder &Holder) {
  if (Holder.Agent != Options.Agent ||
      Holder.Incarnation != Options.Incarnation)
    return false;
  std::lock_guard Lock(AbandonedMutex);
  return AbandonedRequests.contains(Holder.RequestId);
}

void key_ledger::markAbandoned(const std::string &RequestId) {
  std::lock_guard Lock(AbandonedMutex);
  // Beyond the limit keys stay claimed, and callers are told that the request
  // may have run.
  if (AbandonedRequests.size() < MaxAbandonedRequests)
    AbandonedRequests.insert(RequestId);
}

void key_ledger::clearAbandoned(const std::string &RequestId) {
  std::lock_guard Lock(AbandonedMutex);
  AbandonedRequests.erase(RequestId);
}

std::string key_ledger::toJson(const claim_map &Claims) const {
  json Holders = json::array();
  json Keys = json::object();
  std::map<std::pair<std::string, uint64_t>, size_t> Indexes;
  for (const auto &[Hash, Claim] : Claims) {
    const claim_holder &Holder = Claim.Holder;
    const auto [It, Added] =
        Indexes.try_emplace({Holder.Agent, Holder.Incarnation}, Holders.size());
    if (Added)
      Holders.push_back({Holder.Agent, toHex(Holder.Incarnation)});
    Keys[Hash] = {It->second, Holder.RequestId, Claim.ClaimedAt};
  }
  return json{{"holders", std::move(Holders)}, {"keys", std::move(Keys)}}
      .dump();
}

key_ledger::claim_map key_ledger::fromJson(std::string_view Text) {
  const json Object = parseBoundedJson(Text);
  claim_map Claims;
  for (const auto &[Hash, Value] : Object.at("keys").items()) {
    const json &Holder = Object.at("holders").at(Value.at(0).get<size_t>());
    Claims[Hash] = {{Holder.at(0).get<std::string>(),
                     fromHex(Holder.at(1).get<std::string>()),
                     Value.at(1).get<std::string>()},
                    Value.at(2).get<int64_t>()};
  }
  return Claims;
}

} // namespace cardamom
