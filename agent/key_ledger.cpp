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
static std::string keyText(const claim_request &Request) {
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
static constexpr size_t MaxAbandoned = 100000;

static std::string objectOf(size_t Slot) {
  return "ledger/" + std::to_string(Slot);
}

key_ledger::key_ledger(key_ledger_options Options)
    : Options(std::move(Options)) {}

size_t key_ledger::slotOf(const claim_request &Request) {
  const std::string Text = keyText(Request);
  return XXH3_64bits(Text.data(), Text.size()) % SlotCount;
}

std::string key_ledger::hashOf(const claim_request &Request) {
  // 128 bits: two keys with one hash would share an answer.
  const std::string Text = keyText(Request);
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return toHex(Hash.high64) + toHex(Hash.low64);
}

claim_holder key_ledger::self(std::string_view RequestId) const {
  return {Options.Agent, Options.Incarnation, std::string(RequestId)};
}

claim_result key_ledger::claim(const claim_request &Request) {
  pending Work(hashOf(Request), Request.RequestId, false);
  submit(slotOf(Request), Work);
  return Work.Result;
}

void key_ledger::release(const claim_request &Request) {
  pending Work(hashOf(Request), Request.RequestId, true);
  // Before the write, whose outcome may stay unknown.
  abandon(Request.RequestId);
  submit(slotOf(Request), Work);
}

void key_ledger::submit(size_t Index, pending &Work) {
  slot &Slot = Slots[Index];
  std::unique_lock Lock(Slot.Mutex);
  Slot.Waiting.push_back(&Work);
  Slot.Changed.wait(Lock, [&] { return Work.Done || !Slot.Committing; });
  if (Work.Done)
    return;
  Slot.Committing = true;
  // A lone claim is written at once; claims in quick succession share writes.
  if (steady_clock::now() - Slot.LastCommit < Options.GroupDelay)
    Slot.Changed.wait_for(Lock, Options.GroupDelay, [] { return false; });
  std::vector<pending *> Batch;
  Batch.swap(Slot.Waiting);
  Lock.unlock();
  commit(Index, Batch);
  Lock.lock();
  for (pending *Each : Batch)
    Each->Done = true;
  Slot.Committing = false;
  Slot.LastCommit = steady_clock::now();
  Lock.unlock();
  Slot.Changed.notify_all();
}

bool key_ledger::load(size_t Index) {
  slot &Slot = Slots[Index];
  const store_result Result = Options.Get(objectOf(Index));
  Slot.Cached = false;
  if (Result.Status != store_status::Ok &&
      Result.Status != store_status::NotFound)
    return false;
  try {
    Slot.Entries =
        Result.Status == store_status::Ok ? fromJson(Result.Value) : entries();
  } catch (const std::exception &Error) {
    // Running without the record could run a request twice.
    logError("ledger_unreadable",
             {{"object", objectOf(Index)}, {"error", Error.what()}});
    return false;
  }
  // A deleted object keeps its version, but is created with version 0.
  Slot.Version = Result.Status == store_status::Ok ? Result.Version : 0;
  Slot.Cached = true;
  return true;
}

void key_ledger::commit(size_t Index, const std::vector<pending *> &Batch) {
  slot &Slot = Slots[Index];
  bool MayBeWritten = false;
  for (unsigned Round = 0; Round < Options.MaxRounds; ++Round) {
    if (!Slot.Cached && !load(Index))
      break;
    entries Changed = Slot.Entries;
    if (!apply(Changed, Batch))
      return;
    const std::string Value = toJson(Changed);
    if (Value.size() > Options.MaxValueBytes)
      return fail(Batch, claim_status::LedgerFull, MayBeWritten);
    const store_result Result =
        Options.Put(objectOf(Index), Value, Slot.Version);
    if (Result.Status == store_status::Ok) {
      Slot.Version = Result.Version;
      Slot.Entries = std::move(Changed);
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
  fail(Batch, claim_status::StoreUnavailable, MayBeWritten);
}

void key_ledger::fail(const std::vector<pending *> &Batch, claim_status Status,
                      bool MayBeWritten) {
  for (pending *Work : Batch) {
    Work->Result = {};
    Work->Result.Status = Status;
    Work->Result.RetryAfter = Options.RetryAfter;
    if (MayBeWritten)
      abandon(Work->RequestId);
  }
}

bool key_ledger::apply(entries &Entries, const std::vector<pending *> &Batch) {
  const int64_t Oldest = Options.WallSeconds() - Options.RetentionSeconds;
  std::erase_if(Entries, [&](auto &Each) { return Each.second.At < Oldest; });
  bool Changed = false;
  for (pending *Work : Batch)
    Changed |= Work->Release ? applyRelease(Entries, *Work)
                             : applyClaim(Entries, *Work);
  return Changed;
}

bool key_ledger::applyClaim(entries &Entries, pending &Work) {
  const auto It = Entries.find(Work.Hash);
  const bool Taken = It != Entries.end() && !isAbandoned(It->second.Holder);
  if (Taken) {
    const claim_holder &Holder = It->second.Holder;
    const bool Mine = Holder == self(Work.RequestId);
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
  restore(Work.RequestId);
  Work.Result.Status = claim_status::Granted;
  Work.Result.Holder = self(Work.RequestId);
  Entries[Work.Hash] = {self(Work.RequestId), Options.WallSeconds()};
  return true;
}

bool key_ledger::applyRelease(entries &Entries, const pending &Work) {
  const auto It = Entries.find(Work.Hash);
  if (It == Entries.end() || It->second.Holder != self(Work.RequestId))
    return false;
  Entries.erase(It);
  return true;
}

bool key_ledger::isAbandoned(const claim_holder &Holder) {
  if (Holder.Agent != Options.Agent ||
      Holder.Incarnation != Options.Incarnation)
    return false;
  std::lock_guard Lock(AbandonedMutex);
  return Abandoned.contains(Holder.RequestId);
}

void key_ledger::abandon(const std::string &RequestId) {
  std::lock_guard Lock(AbandonedMutex);
  // Beyond the limit keys stay claimed, and callers learn may-have-run.
  if (Abandoned.size() < MaxAbandoned)
    Abandoned.insert(RequestId);
}

void key_ledger::restore(const std::string &RequestId) {
  std::lock_guard Lock(AbandonedMutex);
  Abandoned.erase(RequestId);
}

std::string key_ledger::toJson(const entries &Entries) const {
  json Holders = json::array();
  json Keys = json::object();
  std::map<std::pair<std::string, uint64_t>, size_t> Indexes;
  for (const auto &[Hash, Entry] : Entries) {
    const claim_holder &Holder = Entry.Holder;
    const auto [It, New] =
        Indexes.try_emplace({Holder.Agent, Holder.Incarnation}, Holders.size());
    if (New)
      Holders.push_back({Holder.Agent, toHex(Holder.Incarnation)});
    Keys[Hash] = {It->second, Holder.RequestId, Entry.At};
  }
  return json{{"holders", std::move(Holders)}, {"keys", std::move(Keys)}}
      .dump();
}

key_ledger::entries key_ledger::fromJson(std::string_view Text) {
  const json Object = json::parse(Text);
  entries Entries;
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
