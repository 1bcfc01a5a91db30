#include "entry/trainer_lease.h"

#include "base/bounded_json.h"
#include "base/invariant.h"
#include "base/log.h"
#include "base/metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace cardamom {

// Delay before a failed store call is repeated.
static constexpr milliseconds StoreRetryDelay{300};

std::string formatLease(const lease_record &Record) {
  // JSON parsers of other languages lose precision above 2^53.
  return nlohmann::json{{"owner", Record.Owner},
                        {"address", Record.Address},
                        {"incarnation", std::to_string(Record.Incarnation)},
                        {"epoch", Record.Epoch},
                        {"step", Record.Step}}
      .dump();
}

lease_record parseLease(std::string_view Json) {
  const nlohmann::json Object = parseBoundedJson(Json);
  lease_record Record;
  Record.Owner = Object.at("owner").get<std::string>();
  Record.Address = Object.at("address").get<std::string>();
  Record.Incarnation = std::stoull(Object.at("incarnation").get<std::string>());
  Record.Epoch = Object.at("epoch").get<uint64_t>();
  Record.Step = Object.at("step").get<uint64_t>();
  return Record;
}

trainer_lease::trainer_lease(trainer_lease_options Options)
    : Options(std::move(Options)) {}

milliseconds trainer_lease::rereadInterval() const {
  return Options.Duration / 10;
}

bool trainer_lease::ensureFresh(time_point Now) {
  ObserveUntil = Now + Options.Duration * 3 / 2;
  if (State == lease_state::Held)
    return true;
  const milliseconds MaxAge =
      State == lease_state::Unavailable ? StoreRetryDelay : rereadInterval();
  if (!RequestPending && State != lease_state::Unknown &&
      Now - LastReadAt < MaxAge)
    return true;
  if (!RequestPending)
    readRecord(Now);
  return false;
}

void trainer_lease::updateState(lease_state NewState, time_point Now) {
  if (State != NewState)
    logInfo("trainer_lease",
            {{"key", Options.Key},
             {"mine", NewState == lease_state::Held ? "1" : "0"},
             {"owner", Record.Owner},
             {"epoch", std::to_string(Record.Epoch)}});
  State = NewState;
  RequestPending = false;
  Options.OnUpdated(Now);
}

void trainer_lease::readRecord(time_point Now) {
  RequestPending = true;
  Options.Get(Options.Key, [this](const store_result &Result, time_point At) {
    onReadResult(Result, At);
  });
}

void trainer_lease::onReadResult(const store_result &Result, time_point Now) {
  LastReadAt = Now;
  if (Result.Status == store_status::Ok) {
    onRecordRead(Result, Now);
    return;
  }
  if (Result.Status == store_status::NotFound) {
    if (State == lease_state::Held) {
      // The object was deleted. Create it again with a higher epoch.
      acquire(Record.Epoch + 1, Record.Step, 0, Now);
      return;
    }
    acquire(1, 0, 0, Now);
    return;
  }
  metrics::get().counter("lease_store_failures_total").add();
  if (State == lease_state::Held) {
    RequestPending = false;
    NextRenew = Now + StoreRetryDelay;
    return;
  }
  updateState(State == lease_state::HeldByOther ? State
                                                : lease_state::Unavailable,
              Now);
}

static lease_record parseStoredLease(const store_result &Result,
                                     const std::string &Key) {
  try {
    return parseLease(Result.Value);
  } catch (const std::exception &Error) {
    // A malformed record has no owner. The object version rises with every
    // write and is therefore above all earlier epochs.
    logError("lease_malformed", {{"key", Key}, {"error", Error.what()}});
    lease_record Record;
    Record.Epoch = Result.Version;
    return Record;
  }
}

void trainer_lease::onRecordRead(const store_result &Result, time_point Now) {
  const lease_record Found = parseStoredLease(Result, Options.Key);
  // A gap between reads restarts the observation: after a store outage the
  // holder also needs time to renew.
  if (Result.Version != ObservedVersion ||
      Now - LastSuccessfulReadAt > Options.Duration / 2) {
    ObservedVersion = Result.Version;
    UnchangedSince = Now;
  }
  LastSuccessfulReadAt = Now;
  Version = Result.Version;
  const bool OwnRecord = Found.Incarnation == Options.Self.Incarnation &&
                         Found.Owner == Options.Self.Owner;
  if (OwnRecord) {
    // A write took effect although its response was lost.
    if (State != lease_state::Held)
      InheritedStep = Found.Step;
    CARDAMOM_INVARIANT(State != lease_state::Held ||
                           Found.Epoch == Record.Epoch,
                       "the epoch does not change while the lease is held");
    const uint64_t Step = std::max(Record.Step, Found.Step);
    Record = Found;
    Record.Step = State == lease_state::Held ? Step : Found.Step;
    NextRenew = Now + Options.RenewInterval;
    updateState(lease_state::Held, Now);
    return;
  }
  Record = Found;
  if (State == lease_state::Held) {
    metrics::get().counter("leases_lost_total").add();
    updateState(lease_state::HeldByOther, Now);
    return;
  }
  // A holder with this process's name is an earlier incarnation of it.
  const bool Available = Found.Owner.empty() ||
                         Found.Owner == Options.Self.Owner ||
                         Now - UnchangedSince >= Options.Duration;
  if (Available && !Releasing)
    acquire(Found.Epoch + 1, Found.Step, Result.Version, Now);
  else
    updateState(lease_state::HeldByOther, Now);
}

void trainer_lease::acquire(uint64_t Epoch, uint64_t Step, uint64_t IfVersion,
                            time_point Now) {
  RequestPending = true;
  lease_record NewRecord = Options.Self;
  NewRecord.Epoch = Epoch;
  NewRecord.Step = Step;
  Options.Put(Options.Key, formatLease(NewRecord), IfVersion,
              [this, NewRecord](const store_result &Result, time_point At) {
                onAcquireResult(Result, NewRecord, At);
              });
}

void trainer_lease::onAcquireResult(const store_result &Result,
                                    const lease_record &NewRecord,
                                    time_point Now) {
  switch (Result.Status) {
  case store_status::Ok:
    metrics::get().counter("leases_taken_total").add();
    Record = NewRecord;
    InheritedStep = NewRecord.Step;
    Version = ObservedVersion = Result.Version;
    UnchangedSince = Now;
    NextRenew = Now + Options.RenewInterval;
    // Called even if the lease was already held: OnUpdated reports the new
    // epoch.
    updateState(lease_state::Held, Now);
    return;
  case store_status::Unavailable:
    LastReadAt = Now;
    updateState(Record.Owner.empty() ? lease_state::Unavailable
                                     : lease_state::HeldByOther,
                Now);
    return;
  default:
    // Another entry wrote the object first, or the result of the write is
    // unknown. Reads the object to find out.
    readRecord(Now);
  }
}

void trainer_lease::tick(time_point Now) {
  if (RequestPending)
    return;
  if (State == lease_state::Held && Now >= NextRenew)
    writeRecord(Now);
  // Keeps observing another owner's lease between the trainer's calls, because
  // a gap would restart the observation.
  if (State == lease_state::HeldByOther && !Releasing && Now < ObserveUntil &&
      Now - LastReadAt >= rereadInterval())
    readRecord(Now);
}

void trainer_lease::setStep(uint64_t Step, time_point Now) {
  if (State != lease_state::Held || Step <= Record.Step)
    return;
  Record.Step = Step;
  NextRenew = Now;
  tick(Now);
}

void trainer_lease::release(time_point Now) {
  Releasing = true;
  if (State != lease_state::Held || RequestPending)
    return;
  writeRecord(Now);
}

void trainer_lease::onHigherEpoch(uint64_t HigherEpoch, time_point Now) {
  if (State != lease_state::Held || RequestPending ||
      HigherEpoch <= Record.Epoch)
    return;
  readRecord(Now);
}

void trainer_lease::writeRecord(time_point Now) {
  RequestPending = true;
  lease_record NewRecord = Record;
  if (Releasing)
    NewRecord.Owner.clear();
  Options.Put(Options.Key, formatLease(NewRecord), Version,
              [this, NewRecord](const store_result &Result, time_point At) {
                onWriteResult(Result, NewRecord, At);
              });
}

void trainer_lease::onWriteResult(const store_result &Result,
                                  const lease_record &NewRecord,
                                  time_point Now) {
  switch (Result.Status) {
  case store_status::Ok:
    Version = ObservedVersion = Result.Version;
    RequestPending = false;
    // Writes again at once if a newer step or a release was requested during
    // this write.
    NextRenew = Releasing || Record.Step > NewRecord.Step
                    ? Now
                    : Now + Options.RenewInterval;
    if (!NewRecord.Owner.empty())
      return;
    Record.Owner.clear();
    updateState(lease_state::HeldByOther, Now);
    return;
  case store_status::Unavailable:
    RequestPending = false;
    NextRenew = Now + StoreRetryDelay;
    return;
  default:
    readRecord(Now);
  }
}

} // namespace cardamom
