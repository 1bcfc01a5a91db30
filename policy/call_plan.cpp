#include "policy/call_plan.h"

#include <algorithm>

namespace cardamom {

bool call_plan::maySendAgain() const {
  if (Sent >= Options.MaxAttempts)
    return false;
  return Options.Idempotent || !MayHaveRun;
}

time_point call_plan::hedgeAt() const {
  const auto Overdue = std::chrono::duration_cast<milliseconds>(
      Options.Target * Options.HedgeFraction);
  return LastSentAt + Overdue;
}

call_step call_plan::next(time_point Now) const {
  if (Now >= Options.Deadline)
    return call_step::GiveUp;
  if (Running == 0)
    return maySendAgain() ? call_step::Send : call_step::GiveUp;
  if (Running == 1 && Options.Idempotent && maySendAgain() &&
      Options.Target.count() > 0 && Now >= hedgeAt())
    return call_step::Send;
  return call_step::Wait;
}

time_point call_plan::wakeAt() const {
  if (Running == 1 && Options.Idempotent && maySendAgain() &&
      Options.Target.count() > 0)
    return std::min(hedgeAt(), Options.Deadline);
  return Options.Deadline;
}

void call_plan::onSent(time_point Now) {
  ++Sent;
  ++Running;
  LastSentAt = Now;
}

void call_plan::onFailed(attempt_failure Failure) {
  --Running;
  MayHaveRun |= Failure == attempt_failure::MayHaveRun;
}

run_certainty call_plan::certainty() const {
  return Running > 0 || MayHaveRun ? run_certainty::MayHaveRun
                                   : run_certainty::NotRun;
}

} // namespace cardamom
