#include "policy/lease.h"

namespace cardamom {

void lease::observe(const pool_lease_record &Observed, time_point Now) {
  if (RecordKnown && Observed.Revision < Record.Revision)
    return;
  const bool WasHolder = holds();
  // A former holder may act until its lease expires, which is at most Duration
  // from now. A holder that released the lease, or that was an earlier start of
  // this process, does not act any more.
  const bool OtherHolderMayAct =
      RecordKnown && !Record.Holder.empty() && Record.Holder != Options.Self;
  RecordKnown = true;
  Record = Observed;
  if (!holds())
    ValidUntil = {};
  else if (!WasHolder)
    MayActFrom = OtherHolderMayAct ? Now + Options.Duration : Now;
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
  if (!RecordKnown || holds())
    return false;
  // An earlier start of this process is no longer running.
  return Record.Holder.empty() || Record.Holder == Options.Self || HolderDown;
}

pool_lease_record lease::proposedRecord() const {
  return {.Holder = Options.Self,
          .Incarnation = Options.Incarnation,
          .Address = Options.Address,
          .FencingToken =
              holds() ? Record.FencingToken : Record.FencingToken + 1,
          .Revision = Record.Revision};
}

void lease::onWritten(const pool_lease_record &Written, time_point SentAt,
                      time_point Now) {
  observe(Written, Now);
  ValidUntil = SentAt + Options.Duration - Options.SafetyMargin;
}

bool lease::mayAct(time_point Now) const {
  return holds() && Now >= MayActFrom && Now < ValidUntil;
}

bool lease::shouldRenew(time_point Now) const {
  return holds() && Now + Options.Duration / 2 >= ValidUntil;
}

} // namespace cardamom
