#include "policy/lease.h"

namespace cardamom {

void lease::observe(const pool_lease_record &Seen, time_point Now) {
  if (RecordKnown && Seen.Revision < Record.Revision)
    return;
  const bool Held = holds();
  // A former holder may act until its lease runs out, which is at most a
  // whole length from now. One that released it, or was an earlier start of
  // this process, cannot.
  const bool Predecessor =
      RecordKnown && !Record.Holder.empty() && Record.Holder != Options.Self;
  RecordKnown = true;
  Record = Seen;
  if (!holds())
    ValidUntil = {};
  else if (!Held)
    MayActFrom = Predecessor ? Now + Options.Duration : Now;
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
  // An earlier start of this process has ended.
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
