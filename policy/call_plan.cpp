#include "policy/call_plan.h"

#include <algorithm>

namespace cardamom {

bool call_plan::attemptAllowed() const {
  if (SentAttempts >= Options.MaxAttempts)
    return false;
  return Options.Idempotent || !MayHaveRun;
}

time_point call_plan::hedgeAt() const {
  const auto HedgeDelay = std::chrono::duration_cast<milliseconds>(
      Options.TargetLatency * Options.HedgeFraction);
  return LastSentAt + HedgeDelay;
}

call_step call_plan::nextStep(time_point Now) const {
  if (Now >= Options.Deadline)
    return call_step::GiveUp;
  if (RunningAttempts == 0)
    return attemptAllowed() ? call_step::Send : call_step::GiveUp;
  if (RunningAttempts == 1 && Options.Idempotent && attemptAllowed() &&
      Options.TargetLatency.count() > 0 && Now >= hedgeAt())
    return call_step::Send;
  return call_step::Wait;
}

time_point call_plan::nextCheckAt() const {
  if (RunningAttempts == 1 && Options.Idempotent && attemptAllowed() &&
      Options.TargetLatency.count() > 0)
    return std::min(hedgeAt(), Options.Deadline);
  return Options.Deadline;
}

void call_plan::onSent(time_point Now) {
  ++SentAttempts;
  ++RunningAttempts;
  LastSentAt = Now;
}

void call_plan::onFailed(attempt_failure Failure) {
  --RunningAttempts;
  MayHaveRun |= Failure == attempt_failure::MayHaveRun;
}

void call_plan::onWithheld() {
  --SentAttempts;
  --RunningAttempts;
}

run_certainty call_plan::certainty() const {
  return RunningAttempts > 0 || MayHaveRun ? run_certainty::MayHaveRun
                                           : run_certainty::NotRun;
}

} // namespace cardamom
