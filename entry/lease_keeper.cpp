#include "entry/lease_keeper.h"

#include "base/invariant.h"
#include "base/log.h"
#include "base/metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace cardamom {

// Pause after a failed call of the store.
static constexpr milliseconds StorePause{300};

std::string formatLease(const lease_record &Record) {
  // 64-bit numbers beyond 2^53 are not safe in JSON of other languages.
  return nlohmann::json{{"owner", Record.Owner},
                        {"address", Record.Address},
                        {"incarnation", std::to_string(Record.Incarnation)},
                        {"epoch", Record.Epoch},
                        {"step", Record.Step}}
      .dump();
}

lease_record parseLease(std::string_view Json) {
  const nlohmann::json Object = nlohmann::json::parse(Json);
  lease_record Record;
  Record.Owner = Object.at("owner").get<std::string>();
  Record.Address = Object.at("address").get<std::string>();
  Record.Incarnation = std::stoull(Object.at("incarnation").get<std::string>());
  Record.Epoch = Object.at("epoch").get<uint64_t>();
  Record.Step = Object.at("step").get<uint64_t>();
  return Record;
}

lease_keeper::lease_keeper(lease_keeper_options Options)
    : Options(std::move(Options)) {}

milliseconds lease_keeper::readAgain() const { return Options.Lease / 10; }

bool lease_keeper::ensure(time_point Now) {
  WantedUntil = Now + Options.Lease * 3 / 2;
  if (State == lease_state::Mine)
    return true;
  const milliseconds Fresh =
      State == lease_state::Unavailable ? StorePause : readAgain();
  if (!Busy && State != lease_state::Unknown && Now - ReadAt < Fresh)
    return true;
  if (!Busy)
    read(Now);
  return false;
}

void lease_keeper::settle(lease_state Next, time_point Now) {
  if (State != Next)
    logState("trainer_lease", {{"key", Options.Key},
                               {"mine", Next == lease_state::Mine ? "1" : "0"},
                               {"owner", Record.Owner},
                               {"epoch", std::to_string(Record.Epoch)}});
  State = Next;
  Busy = false;
  Options.OnSettled(Now);
}

void lease_keeper::read(time_point Now) {
  Busy = true;
  Options.Get(Options.Key, [this](const store_result &Result, time_point At) {
    onRead(Result, At);
  });
}

void lease_keeper::onRead(const store_result &Result, time_point Now) {
  ReadAt = Now;
  if (Result.Status == store_status::Ok) {
    onFound(Result, Now);
    return;
  }
  if (Result.Status == store_status::NotFound) {
    if (State == lease_state::Mine) {
      // Somebody has removed the object; take it again with a higher epoch.
      take(Record.Epoch + 1, Record.Step, 0, Now);
      return;
    }
    take(1, 0, 0, Now);
    return;
  }
  metrics::get().counter("lease_store_failures_total").add();
  if (State == lease_state::Mine) {
    Busy = false;
    NextRenew = Now + StorePause;
    return;
  }
  settle(State == lease_state::Other ? State : lease_state::Unavailable, Now);
}

static lease_record parseOrFree(const store_result &Result,
                                const std::string &Key) {
  try {
    return parseLease(Result.Value);
  } catch (const std::exception &Error) {
    // A damaged record has no owner. Versions of the object rise with every
    // write, so this epoch is above all earlier ones.
    logFault("lease_malformed", {{"key", Key}, {"error", Error.what()}});
    lease_record Record;
    Record.Epoch = Result.Version;
    return Record;
  }
}

void lease_keeper::onFound(const store_result &Result, time_point Now) {
  const lease_record Found = parseOrFree(Result, Options.Key);
  // After an outage of the store the holder needs time to renew as well, so
  // only an unbroken observation counts.
  if (Result.Version != SeenVersion || Now - FoundAt > Options.Lease / 2) {
    SeenVersion = Result.Version;
    SeenAt = Now;
  }
  FoundAt = Now;
  Version = Result.Version;
  const bool Own = Found.Incarnation == Options.Self.Incarnation &&
                   Found.Owner == Options.Self.Owner;
  if (Own) {
    // A write whose answer was lost has taken effect.
    if (State != lease_state::Mine)
      InheritedStep = Found.Step;
    CARDAMOM_INVARIANT(State != lease_state::Mine ||
                           Found.Epoch == Record.Epoch,
                       "an owner keeps the epoch of its lease");
    const uint64_t Step = std::max(Record.Step, Found.Step);
    Record = Found;
    Record.Step = State == lease_state::Mine ? Step : Found.Step;
    NextRenew = Now + Options.Renew;
    settle(lease_state::Mine, Now);
    return;
  }
  Record = Found;
  if (State == lease_state::Mine) {
    metrics::get().counter("leases_lost_total").add();
    settle(lease_state::Other, Now);
    return;
  }
  // A holder of this name is an earlier process in the place of this one.
  const bool Free = Found.Owner.empty() || Found.Owner == Options.Self.Owner ||
                    Now - SeenAt >= Options.Lease;
  if (Free && !Releasing)
    take(Found.Epoch + 1, Found.Step, Result.Version, Now);
  else
    settle(lease_state::Other, Now);
}

void lease_keeper::take(uint64_t Epoch, uint64_t Step, uint64_t IfVersion,
                        time_point Now) {
  Busy = true;
  lease_record Wanted = Options.Self;
  Wanted.Epoch = Epoch;
  Wanted.Step = Step;
  Options.Put(Options.Key, formatLease(Wanted), IfVersion,
              [this, Wanted](const store_result &Result, time_point At) {
                onTaken(Result, Wanted, At);
              });
}

void lease_keeper::onTaken(const store_result &Result,
                           const lease_record &Wanted, time_point Now) {
  switch (Result.Status) {
  case store_status::Ok:
    metrics::get().counter("leases_taken_total").add();
    Record = Wanted;
    InheritedStep = Wanted.Step;
    Version = SeenVersion = Result.Version;
    SeenAt = Now;
    NextRenew = Now + Options.Renew;
    // Also tells the owner of steps under an earlier epoch about the new one.
    settle(lease_state::Mine, Now);
    return;
  case store_status::Unavailable:
    ReadAt = Now;
    settle(Record.Owner.empty() ? lease_state::Unavailable : lease_state::Other,
           Now);
    return;
  default:
    // Lost the race, or the answer was lost: the object tells.
    read(Now);
  }
}

void lease_keeper::tick(time_point Now) {
  if (Busy)
    return;
  if (State == lease_state::Mine && Now >= NextRenew)
    write(Now);
  // Between the trainer's calls the observation must not break off.
  if (State == lease_state::Other && !Releasing && Now < WantedUntil &&
      Now - ReadAt >= readAgain())
    read(Now);
}

void lease_keeper::setStep(uint64_t Step, time_point Now) {
  if (State != lease_state::Mine || Step <= Record.Step)
    return;
  Record.Step = Step;
  NextRenew = Now;
  tick(Now);
}

void lease_keeper::release(time_point Now) {
  Releasing = true;
  if (State != lease_state::Mine || Busy)
    return;
  write(Now);
}

void lease_keeper::refuteEpoch(uint64_t SeenEpoch, time_point Now) {
  if (State != lease_state::Mine || Busy || SeenEpoch <= Record.Epoch)
    return;
  read(Now);
}

void lease_keeper::write(time_point Now) {
  Busy = true;
  lease_record Wanted = Record;
  if (Releasing)
    Wanted.Owner.clear();
  Options.Put(Options.Key, formatLease(Wanted), Version,
              [this, Wanted](const store_result &Result, time_point At) {
                onWritten(Result, Wanted, At);
              });
}

void lease_keeper::onWritten(const store_result &Result,
                             const lease_record &Wanted, time_point Now) {
  switch (Result.Status) {
  case store_status::Ok:
    Version = SeenVersion = Result.Version;
    Busy = false;
    // A newer step, or the release, came up during the write.
    NextRenew =
        Releasing || Record.Step > Wanted.Step ? Now : Now + Options.Renew;
    if (!Wanted.Owner.empty())
      return;
    Record.Owner.clear();
    settle(lease_state::Other, Now);
    return;
  case store_status::Unavailable:
    Busy = false;
    NextRenew = Now + StorePause;
    return;
  default:
    read(Now);
  }
}

} // namespace cardamom
