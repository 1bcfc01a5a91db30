#include "agent/key_ledger.h"

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

/// Route and key, separated by a byte that neither can contain.
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

/// Ids of given-up claims that are remembered (about 100 bytes each).
static constexpr size_t MaxAbandonedRequests = 100000;

static std::string objectName(size_t Slot) {
  return "ledger/" + std::to_string(Slot);
}

key_ledger::key_ledger(key_ledger_options Options)
    : Options(std::move(Options)) {}

size_t key_ledger::shardOf(const claim_request &Request) {
  const std::string Text = hashInput(Request);
  return XXH3_64bits(Text.data(), Text.size()) % ShardCount;
}

std::string key_ledger::hashOf(const claim_request &Request) {
  // 128 bits: two keys with one hash would share an answer.
  const std::string Text = hashInput(Request);
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return toHex(Hash.high64) + toHex(Hash.low64);
}

claim_holder key_ledger::makeHolder(std::string_view RequestId) const {
  return {Options.Agent, Options.Incarnation, std::string(RequestId)};
}

claim_result key_ledger::claim(const claim_request &Request) {
  pending_operation Work(hashOf(Request), Request.RequestId, false);
  submit(shardOf(Request), Work);
  return Work.Result;
}

void key_ledger::release(const claim_request &Request) {
  pending_operation Work(hashOf(Request), Request.RequestId, true);
  // Before the write, whose outcome may stay unknown.
  markAbandoned(Request.RequestId);
  submit(shardOf(Request), Work);
}

void key_ledger::submit(size_t Index, pending_operation &Work) {
  shard &Slot = Shards[Index];
  std::unique_lock Lock(Slot.Mutex);
  Slot.PendingOperations.push_back(&Work);
  Slot.Changed.wait(Lock, [&] { return Work.Done || !Slot.CommitInProgress; });
  if (Work.Done)
    return;
  Slot.CommitInProgress = true;
  // A lone claim is written at once; claims in quick succession share writes.
  if (steady_clock::now() - Slot.LastCommit < Options.GroupCommitDelay)
    Slot.Changed.wait_for(Lock, Options.GroupCommitDelay, [] { return false; });
  std::vector<pending_operation *> Batch;
  Batch.swap(Slot.PendingOperations);
  Lock.unlock();
  commitBatch(Index, Batch);
  Lock.lock();
  for (pending_operation *Each : Batch)
    Each->Done = true;
  Slot.CommitInProgress = false;
  Slot.LastCommit = steady_clock::now();
  Lock.unlock();
  Slot.Changed.notify_all();
}

bool key_ledger::loadShard(size_t Index) {
  shard &Slot = Shards[Index];
  const store_result Result = Options.Get(objectName(Index));
  Slot.Cached = false;
  if (Result.Status != store_status::Ok &&
      Result.Status != store_status::NotFound)
    return false;
  try {
    Slot.Claims = Result.Status == store_status::Ok ? fromJson(Result.Value)
                                                    : claim_map();
  } catch (const std::exception &Error) {
    // Running without the record could run a request twice.
    logError("ledger_unreadable",
             {{"object", objectName(Index)}, {"error", Error.what()}});
    return false;
  }
  // A deleted object keeps its version, but is created with version 0.
  Slot.Version = Result.Status == store_status::Ok ? Result.Version : 0;
  Slot.Cached = true;
  return true;
}

void key_ledger::commitBatch(size_t Index,
                             const std::vector<pending_operation *> &Batch) {
  shard &Slot = Shards[Index];
  bool MayBeWritten = false;
  for (unsigned Round = 0; Round < Options.MaxAttempts; ++Round) {
    if (!Slot.Cached && !loadShard(Index))
      break;
    claim_map Changed = Slot.Claims;
    if (!applyBatch(Changed, Batch))
      return;
    const std::string Value = toJson(Changed);
    if (Value.size() > Options.MaxValueBytes)
      return failBatch(Batch, claim_status::LedgerFull, MayBeWritten);
    const store_result Result =
        Options.Put(objectName(Index), Value, Slot.Version);
    if (Result.Status == store_status::Ok) {
      Slot.Version = Result.Version;
      Slot.Claims = std::move(Changed);
      return;
    }
    // Conflict: another agent wrote. Unknown: the next round reads back, and
    // finds this request as the holder if the write took effect.
    Slot.Cached = false;
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
  for (pending_operation *Work : Batch) {
    Work->Result = {};
    Work->Result.Status = Status;
    Work->Result.RetryAfter = Options.RetryAfter;
    if (MayBeWritten)
      markAbandoned(Work->RequestId);
  }
}

bool key_ledger::applyBatch(claim_map &Entries,
                            const std::vector<pending_operation *> &Batch) {
  const int64_t Oldest = Options.WallSeconds() - Options.RetentionSeconds;
  std::erase_if(Entries, [&](auto &Each) { return Each.second.ClaimedAt < Oldest; });
  bool Changed = false;
  for (pending_operation *Work : Batch)
    Changed |= Work->IsRelease ? applyRelease(Entries, *Work)
                               : applyClaim(Entries, *Work);
  return Changed;
}

bool key_ledger::applyClaim(claim_map &Entries, pending_operation &Work) {
  const auto It = Entries.find(Work.Hash);
  const bool Taken = It != Entries.end() && !isAbandoned(It->second.Holder);
  if (Taken) {
    const claim_holder &Holder = It->second.Holder;
    const bool Mine = Holder == makeHolder(Work.RequestId);
    Work.Result.Status = Mine ? claim_status::Granted : claim_status::Claimed;
    Work.Result.Holder = Holder;
    return false;
  }
  Work.Result = {};
  if (It == Entries.end() && Entries.size() >= Options.MaxRecords) {
    Work.Result.Status = claim_status::LedgerFull;
    Work.Result.RetryAfter = Options.RetryAfter;
    return false;
  }
  // An earlier attempt of the same request may have given its claim back.
  clearAbandoned(Work.RequestId);
  Work.Result.Status = claim_status::Granted;
  Work.Result.Holder = makeHolder(Work.RequestId);
  Entries[Work.Hash] = {makeHolder(Work.RequestId), Options.WallSeconds()};
  return true;
}

bool key_ledger::applyRelease(claim_map &Entries,
                              const pending_operation &Work) {
  const auto It = Entries.find(Work.Hash);
  if (It == Entries.end() || It->second.Holder != makeHolder(Work.RequestId))
    return false;
  Entries.erase(It);
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
  // Beyond the limit keys stay claimed, and callers learn may-have-run.
  if (AbandonedRequests.size() < MaxAbandonedRequests)
    AbandonedRequests.insert(RequestId);
}

void key_ledger::clearAbandoned(const std::string &RequestId) {
  std::lock_guard Lock(AbandonedMutex);
  AbandonedRequests.erase(RequestId);
}

std::string key_ledger::toJson(const claim_map &Entries) const {
  json Holders = json::array();
  json Keys = json::object();
  std::map<std::pair<std::string, uint64_t>, size_t> Indexes;
  for (const auto &[Hash, Entry] : Entries) {
    const claim_holder &Holder = Entry.Holder;
    const auto [It, New] =
        Indexes.try_emplace({Holder.Agent, Holder.Incarnation}, Holders.size());
    if (New)
      Holders.push_back({Holder.Agent, toHex(Holder.Incarnation)});
    Keys[Hash] = {It->second, Holder.RequestId, Entry.ClaimedAt};
  }
  return json{{"holders", std::move(Holders)}, {"keys", std::move(Keys)}}
      .dump();
}

key_ledger::claim_map key_ledger::fromJson(std::string_view Text) {
  const json Object = json::parse(Text);
  claim_map Entries;
  for (const auto &[Hash, Value] : Object.at("keys").items()) {
    const json &Holder = Object.at("holders").at(Value.at(0).get<size_t>());
    Entries[Hash] = {{Holder.at(0).get<std::string>(),
                      fromHex(Holder.at(1).get<std::string>()),
                      Value.at(1).get<std::string>()},
                     Value.at(2).get<int64_t>()};
  }
  return Entries;
}

} // namespace cardamom
