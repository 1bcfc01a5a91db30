#include "policy/lease.h"

namespace cardamom {

void lease::observe(const pool_lease_record &Seen, time_point Now) {
  if (Known && Seen.Revision < Record.Revision)
    return;
  const bool Held = holds();
  // A former holder may act until its lease runs out, which is at most a
  // whole length from now. One that released it, or was an earlier start of
  // this process, cannot.
  const bool Predecessor =
      Known && !Record.Holder.empty() && Record.Holder != Options.Self;
  Known = true;
  Record = Seen;
  if (!holds())
    ValidUntil = {};
  else if (!Held)
    ActFrom = Predecessor ? Now + Options.Length : Now;
}

void lease::observeAbsent() {
  Known = true;
  Record = {.Token = Record.Token};
  ValidUntil = {};
}

bool lease::holds() const {
  return Known && Record.Holder == Options.Self &&
         Record.Incarnation == Options.Incarnation;
}

bool lease::mayAcquire(bool HolderDown) const {
  if (!Known || holds())
    return false;
  // An earlier start of this process has ended.
  return Record.Holder.empty() || Record.Holder == Options.Self || HolderDown;
}

pool_lease_record lease::proposal() const {
  return {.Holder = Options.Self,
          .Incarnation = Options.Incarnation,
          .Address = Options.Address,
          .Token = holds() ? Record.Token : Record.Token + 1,
          .Revision = Record.Revision};
}

void lease::onWritten(const pool_lease_record &Written, time_point SentAt,
                      time_point Now) {
  observe(Written, Now);
  ValidUntil = SentAt + Options.Length - Options.Margin;
}

bool lease::mayAct(time_point Now) const {
  return holds() && Now >= ActFrom && Now < ValidUntil;
}

bool lease::shouldRenew(time_point Now) const {
  return holds() && Now + Options.Length / 2 >= ValidUntil;
}

} // namespace cardamom
