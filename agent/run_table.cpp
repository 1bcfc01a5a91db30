#include "agent/run_table.h"

#include "base/invariant.h"

#include <algorithm>
#include <xxhash.h>

namespace cardamom {

static uint64_t hashRunId(std::string_view Id) {
  return XXH3_64bits(Id.data(), Id.size());
}

/// Entries acknowledge complete responses, and partial ones that another run
/// resumes.
static bool needsAcknowledgement(const wire::run_end &End) {
  return End.code() == wire::COMPLETED || End.code() == wire::PREEMPTED;
}

run_table::run_table(run_table_options Options) : Options(std::move(Options)) {}

run_table::record *run_table::find(std::string_view Id) {
  const auto It = Records.find(std::string(Id));
  return It == Records.end() ? nullptr : &It->second;
}

const run_table::record *run_table::find(std::string_view Id) const {
  const auto It = Records.find(std::string(Id));
  return It == Records.end() ? nullptr : &It->second;
}

void run_table::notifyChanged(std::string_view Id) const {
  if (Options.OnChange)
    Options.OnChange(Id);
}

void run_table::advanceState(record &Record, wire::run_state State) {
  CARDAMOM_INVARIANT(State > Record.State, "the state of a run only advances");
  Record.State = State;
}

insert_result run_table::insert(const run_spec &Spec, time_point Now) {
  std::lock_guard Lock(Mutex);
  const auto It = Records.find(Spec.RequestId);
  if (It != Records.end()) {
    const record &Existing = It->second;
    if (!Existing.End || Existing.End->code() != wire::REFUSED ||
        Spec.Attempt <= Existing.Spec.Attempt)
      return insert_result::Known;
    // The refused run never started, so the new attempt replaces it.
    std::erase(RefusedIds, Spec.RequestId);
    removeRecord(It, Now);
  } else if (TombstoneHashes.contains(hashRunId(Spec.RequestId))) {
    return insert_result::Known;
  }
  if (Records.size() >= Options.MaxRecords)
    return insert_result::TableFull;
  record &Record = Records[Spec.RequestId];
  Record.Spec = Spec;
  Record.DetachedAt = Now;
  if (!Spec.Sample.empty())
    Samples.emplace(Spec.Sample, Spec.RequestId);
  Unfinished.insert(Spec.RequestId);
  return insert_result::Inserted;
}

bool run_table::start(std::string_view Id) {
  std::lock_guard Lock(Mutex);
  record *Record = find(Id);
  if (Record == nullptr || Record->State != wire::QUEUED)
    return false;
  CARDAMOM_INVARIANT(!Record->Started, "a request id is started at most once");
  Record->Started = true;
  advanceState(*Record, wire::RUNNING);
  return true;
}

void run_table::setHead(std::string_view Id, wire::response_head Head) {
  {
    std::lock_guard Lock(Mutex);
    record *Record = find(Id);
    if (Record == nullptr || Record->State != wire::RUNNING || Record->Head)
      return;
    Record->Head = std::move(Head);
  }
  notifyChanged(Id);
}

void run_table::dropReadBytes(record &Record) {
  const uint64_t Read = Record.ReadOffset - Record.BaseOffset;
  if (Record.ReaderId == 0 || Read == 0)
    return;
  Record.ResponseBody.erase(0, Read);
  Record.BaseOffset += Read;
  TotalBytes -= Read;
}

bool run_table::dropOldestResponse() {
  // Responses of requests with an idempotency key are dropped last: without
  // them a repeated request, such as a deposit or a booking, would get an
  // error.
  std::deque<std::string> &Ids =
      IdsWithResponse.empty() ? IdsWithKeyedResponse : IdsWithResponse;
  if (Ids.empty())
    return false;
  if (record *Oldest = find(Ids.front()))
    dropResponse(*Oldest);
  Ids.pop_front();
  return true;
}

bool run_table::reserveBytes(record &Record, size_t Bytes) {
  const auto Fits = [&] {
    return Record.ResponseBody.size() + Bytes <= Options.MaxResponseBytes &&
           TotalBytes + Bytes <= Options.MaxTotalResponseBytes;
  };
  while (TotalBytes + Bytes > Options.MaxTotalResponseBytes &&
         dropOldestResponse()) {
  }
  if (!Fits())
    dropReadBytes(Record);
  return Fits();
}

void run_table::addTokenToSpans(record &Record, uint64_t Version) {
  if (Record.Spans.empty() || Record.Spans.back().version() != Version)
    Record.Spans.emplace_back().set_version(Version);
  Record.Spans.back().set_tokens(Record.Spans.back().tokens() + 1);
}

append_result run_table::append(std::string_view Id, std::string_view Bytes,
                                uint64_t Version) {
  {
    std::lock_guard Lock(Mutex);
    record *Record = find(Id);
    if (Record == nullptr || Record->State != wire::RUNNING)
      return append_result::Ended;
    if (!reserveBytes(*Record, Bytes.size()))
      return append_result::Full;
    Record->ResponseBody += Bytes;
    TotalBytes += Bytes.size();
    if (Version != 0)
      addTokenToSpans(*Record, Version);
  }
  notifyChanged(Id);
  return append_result::Ok;
}

bool run_table::finish(std::string_view Id, wire::run_end End, time_point Now) {
  {
    std::lock_guard Lock(Mutex);
    record *Record = find(Id);
    if (Record == nullptr || Record->End)
      return false;
    const bool Refused = End.code() == wire::REFUSED;
    CARDAMOM_INVARIANT(!Refused ||
                           (Record->ResponseBody.empty() && !Record->Head),
                       "a run with a response never ends as REFUSED");
    // The run may have been started and then refused because the upstream was
    // unreachable.
    if (Refused)
      Record->Started = false;
    End.clear_spans();
    for (const wire::version_span &Span : Record->Spans)
      *End.add_spans() = Span;
    End.set_answer_bytes(Record->BaseOffset + Record->ResponseBody.size());
    Record->End = std::move(End);
    Record->EndedAt = Now;
    advanceState(*Record, wire::FINISHED);
    Unfinished.erase(std::string(Id));
    (Refused ? RefusedIds : EndedIds).emplace_back(Id);
    if (!Refused)
      (Record->Spec.HasIdempotencyKey ? IdsWithKeyedResponse : IdsWithResponse)
          .emplace_back(Id);
  }
  notifyChanged(Id);
  return true;
}

std::optional<uint64_t> run_table::attach(std::string_view Id, time_point Now) {
  std::lock_guard Lock(Mutex);
  record *Record = find(Id);
  if (Record == nullptr)
    return std::nullopt;
  Record->ReaderId = ++LastReaderId;
  Record->ReadOffset = Record->BaseOffset;
  return Record->ReaderId;
}

void run_table::detach(std::string_view Id, uint64_t ReaderId, time_point Now) {
  std::lock_guard Lock(Mutex);
  record *Record = find(Id);
  if (Record == nullptr || Record->ReaderId != ReaderId)
    return;
  Record->ReaderId = 0;
  Record->DetachedAt = Now;
}

void run_table::addNewSpans(const record &Record, run_cursor &Cursor,
                            run_chunk &Chunk) {
  uint64_t Before = 0;
  for (const wire::version_span &Span : Record.Spans) {
    const uint64_t After = Before + Span.tokens();
    if (After > Cursor.TokenCount) {
      wire::version_span New;
      New.set_version(Span.version());
      New.set_tokens(uint32_t(After - std::max(Before, Cursor.TokenCount)));
      Chunk.Spans.push_back(New);
    }
    Before = After;
  }
  Cursor.TokenCount = Before;
}

run_chunk run_table::read(std::string_view Id, uint64_t ReaderId,
                          run_cursor &Cursor, size_t MaxBytes) {
  std::lock_guard Lock(Mutex);
  run_chunk Chunk;
  record *Record = find(Id);
  if (Record == nullptr || Record->ReaderId != ReaderId)
    return Chunk;
  if (Record->State == wire::FINISHED_ANSWER_GONE ||
      Cursor.Offset < Record->BaseOffset) {
    Chunk.State = run_chunk::state::Ended;
    Chunk.End.emplace().set_code(wire::ANSWER_GONE);
    Chunk.End->set_reason("answer_gone");
    return Chunk;
  }
  Chunk.State = run_chunk::state::Open;
  if (!std::exchange(Cursor.TokenCountInitialized, true) && Cursor.Offset > 0)
    Cursor.TokenCount = Record->ReadTokenCount;
  if (!Cursor.HeadDelivered && Record->Head) {
    Chunk.Head = Record->Head;
    Cursor.HeadDelivered = true;
  }
  const uint64_t Length = Record->BaseOffset + Record->ResponseBody.size();
  Cursor.Offset = std::min(Cursor.Offset, Length);
  Chunk.Offset = Cursor.Offset;
  Chunk.Bytes =
      Record->ResponseBody.substr(Cursor.Offset - Record->BaseOffset, MaxBytes);
  Cursor.Offset += Chunk.Bytes.size();
  Record->ReadOffset = Cursor.Offset;
  addNewSpans(*Record, Cursor, Chunk);
  Record->ReadTokenCount = Cursor.TokenCount;
  if (Record->End && Cursor.Offset == Length) {
    Chunk.State = run_chunk::state::Ended;
    Chunk.End = Record->End;
  }
  return Chunk;
}

void run_table::dropResponse(record &Record) {
  if (Record.State != wire::FINISHED || Record.End->code() == wire::REFUSED)
    return;
  TotalBytes -= Record.ResponseBody.size();
  // Assigning an empty string would keep the capacity.
  std::string().swap(Record.ResponseBody);
  advanceState(Record, wire::FINISHED_ANSWER_GONE);
}

void run_table::acknowledge(std::string_view Id, time_point Now) {
  std::lock_guard Lock(Mutex);
  record *Record = find(Id);
  if (Record == nullptr || !Record->End)
    return;
  Record->Acknowledged = true;
  if (!Record->Spec.HasIdempotencyKey)
    dropResponse(*Record);
}

wire::run_state run_table::query(std::string_view Id) const {
  std::lock_guard Lock(Mutex);
  if (const record *Record = find(Id))
    return Record->State;
  return TombstoneHashes.contains(hashRunId(Id)) ? wire::FINISHED_ANSWER_GONE
                                                 : wire::NEVER_SEEN;
}

std::optional<wire::run_end> run_table::findEnd(std::string_view Id) const {
  std::lock_guard Lock(Mutex);
  const record *Record = find(Id);
  return Record == nullptr ? std::nullopt : Record->End;
}

std::vector<std::pair<std::string, std::string>>
run_table::listBySample(std::string_view SamplePrefix) const {
  std::lock_guard Lock(Mutex);
  std::vector<std::pair<std::string, std::string>> Found;
  for (auto It = Samples.lower_bound({std::string(SamplePrefix), {}});
       It != Samples.end() && It->first.starts_with(SamplePrefix); ++It) {
    const record *Record = find(It->second);
    const bool Refused = Record->End && Record->End->code() == wire::REFUSED;
    if (Record->State != wire::FINISHED_ANSWER_GONE && !Refused)
      Found.emplace_back(It->second, It->first);
  }
  return Found;
}

std::vector<std::string> run_table::orphans(time_point Now) const {
  std::lock_guard Lock(Mutex);
  std::vector<std::string> Found;
  for (const std::string &Id : Unfinished) {
    const record &Record = *find(Id);
    if (Record.Spec.Idempotent && Record.ReaderId == 0 &&
        Now - Record.DetachedAt >= Options.OrphanTimeout)
      Found.push_back(Id);
  }
  return Found;
}

void run_table::removeRecord(record_map::iterator It, time_point Now) {
  record &Record = It->second;
  CARDAMOM_INVARIANT(Record.End, "only records of finished runs are removed");
  dropResponse(Record);
  if (!Record.Spec.Sample.empty())
    Samples.erase({Record.Spec.Sample, It->first});
  if (Record.End->code() != wire::REFUSED) {
    const uint64_t Hash = hashRunId(It->first);
    Tombstones.push_back({Hash, Now});
    ++TombstoneHashes[Hash];
  }
  Records.erase(It);
}

void run_table::dropExpiredResponses(std::deque<std::string> &Ids,
                                     milliseconds Retention, time_point Now) {
  while (!Ids.empty()) {
    record *Record = find(Ids.front());
    if (Record != nullptr && Record->State == wire::FINISHED) {
      if (Now - Record->EndedAt < Retention)
        return;
      dropResponse(*Record);
    }
    Ids.pop_front();
  }
}

void run_table::dropExpiredRecords(std::deque<std::string> &Ids,
                                   milliseconds Retention, time_point Now) {
  while (!Ids.empty()) {
    const auto It = Records.find(Ids.front());
    CARDAMOM_INVARIANT(It != Records.end() && It->second.End,
                       "each finished run is listed exactly once");
    if (Now - It->second.EndedAt < Retention)
      return;
    removeRecord(It, Now);
    Ids.pop_front();
  }
}

void run_table::dropExpiredTombstones(time_point Now) {
  while (!Tombstones.empty() &&
         (Tombstones.size() > Options.MaxTombstones ||
          Now - Tombstones.front().CreatedAt >= Options.TombstoneRetention)) {
    const auto It = TombstoneHashes.find(Tombstones.front().Hash);
    if (--It->second == 0)
      TombstoneHashes.erase(It);
    Tombstones.pop_front();
  }
}

void run_table::tick(time_point Now) {
  std::lock_guard Lock(Mutex);
  dropExpiredResponses(IdsWithResponse, Options.ResponseRetention, Now);
  dropExpiredResponses(IdsWithKeyedResponse, Options.KeyedResponseRetention,
                       Now);
  dropExpiredRecords(EndedIds, Options.RecordRetention, Now);
  dropExpiredRecords(RefusedIds, Options.RefusedRetention, Now);
  dropExpiredTombstones(Now);
}

size_t run_table::recordCount() const {
  std::lock_guard Lock(Mutex);
  return Records.size();
}

size_t run_table::unfinishedCount() const {
  std::lock_guard Lock(Mutex);
  return Unfinished.size();
}

size_t
run_table::countUnacknowledged(const std::deque<std::string> &Ids) const {
  const auto IsNeeded = [this](const std::string &Id) {
    const record *Record = find(Id);
    if (Record == nullptr || Record->State != wire::FINISHED ||
        Record->Acknowledged || !needsAcknowledgement(*Record->End))
      return false;
    const uint64_t Length = Record->BaseOffset + Record->ResponseBody.size();
    return Record->Spec.Sample.empty() || Record->ReadOffset < Length;
  };
  return size_t(std::count_if(Ids.begin(), Ids.end(), IsNeeded));
}

size_t run_table::unacknowledgedCount() const {
  std::lock_guard Lock(Mutex);
  return countUnacknowledged(IdsWithResponse) +
         countUnacknowledged(IdsWithKeyedResponse);
}

size_t run_table::responseBytes() const {
  std::lock_guard Lock(Mutex);
  return TotalBytes;
}

} // namespace cardamom
