#include "policy/lease.h"

#include <algorithm>

namespace cardamom {

void lease::observe(const pool_lease_record &Observed, time_point Now) {
  if (RecordKnown && Observed.Revision < Record.Revision)
    return;
  const bool WasHolder = holds();
  const time_point Earliest = earliestAct(Now);
  const time_point Turn = turnStart();
  const milliseconds FormerSettle = Record.SettleTime;
  RecordKnown = true;
  Record = Observed;
  if (!holds()) {
    ValidUntil = {};
  } else if (!WasHolder) {
    MayActFrom = Earliest;
    TurnStart = Turn;
    FormerSettleTime = FormerSettle;
    HeldToken = Record.FencingToken;
  }
}

void lease::observeAbsent() {
  RecordKnown = true;
  Record = {.FencingToken = Record.FencingToken};
  ValidUntil = {};
}

bool lease::holds() const {
  return RecordKnown && Record.Holder == Options.Self &&
         Record.Incarnation == Options.Incarnation;
}

bool lease::mayAcquire(bool HolderDown) const {
  if (!RecordKnown || holds() || Released)
    return false;
  // An earlier start of this process is no longer running.
  return Record.Holder.empty() || Record.Holder == Options.Self || HolderDown;
}

bool lease::otherHeldLast() const {
  if (!RecordKnown || Record.Revision == 0)
    return false;
  // A released lease still has the address of its last holder.
  return Record.Holder.empty() ? Record.Address != Options.Address
                               : Record.Holder != Options.Self;
}

time_point lease::turnStart() const {
  if (!otherHeldLast() || !LastActedAt)
    return {};
  return *LastActedAt + Options.Duration + Options.SafetyMargin;
}

time_point lease::earliestAct(time_point Now) const {
  // A former holder may act until its lease expires, which is at most Duration
  // from now. A holder that released the lease, or that was an earlier start of
  // this process, does not act any more.
  const bool OtherHolderMayAct = otherHeldLast() && !Record.Holder.empty();
  const time_point FormerSettledAt =
      Now + (OtherHolderMayAct ? Options.Duration : Record.SettleTime);
  return std::max({FormerSettledAt, turnStart(), ownCallsArrivedAt()});
}

milliseconds lease::settleTime(time_point Now) const {
  return std::chrono::ceil<milliseconds>(
      std::max({Now, MayActFrom, ownCallsArrivedAt()}) - Now);
}

time_point lease::ownCallsArrivedAt() const {
  return LastActedAt ? *LastActedAt + Options.SafetyMargin : time_point{};
}

std::optional<milliseconds> lease::settleTimeFor(uint64_t SuccessorToken,
                                                 time_point Now) const {
  if (HeldToken == 0 || SuccessorToken != HeldToken + 1)
    return std::nullopt;
  return settleTime(Now);
}

pool_lease_record lease::proposedRecord(time_point Now) const {
  const milliseconds SettleTime =
      holds() ? settleTime(Now)
              : std::chrono::ceil<milliseconds>(earliestAct(Now) - Now);
  return {.Holder = Options.Self,
          .Incarnation = Options.Incarnation,
          .Address = Options.Address,
          .FencingToken =
              holds() ? Record.FencingToken : Record.FencingToken + 1,
          .SettleTime = SettleTime,
          .Revision = Record.Revision};
}

pool_lease_record lease::release(time_point Now) {
  pool_lease_record Free = proposedRecord(Now);
  // The address remains, so that a successor can request a hand-over.
  Free.Holder.clear();
  Free.Incarnation.clear();
  Released = true;
  return Free;
}

void lease::onWritten(const pool_lease_record &Written, time_point SentAt,
                      time_point Now) {
  observe(Written, Now);
  ValidUntil = SentAt + Options.Duration - Options.SafetyMargin;
}

void lease::onPredecessorStopped(std::optional<milliseconds> SettleTime,
                                 time_point Now) {
  const milliseconds Settle = std::min(
      SettleTime.value_or(std::max(FormerSettleTime, Options.SafetyMargin)),
      2 * Options.Duration);
  MayActFrom = std::max(
      {std::min(MayActFrom, Now + Settle), TurnStart, ownCallsArrivedAt()});
}

bool lease::mayAct(time_point Now) const {
  return holds() && !Released && Now >= MayActFrom && Now < ValidUntil;
}

bool lease::shouldRenew(time_point Now) const {
  return holds() && !Released && Now + Options.Duration / 2 >= ValidUntil;
}

milliseconds lease::waitToAct(time_point Now) const {
  return std::chrono::ceil<milliseconds>(std::max(MayActFrom, Now) - Now);
}

} // namespace cardamom
