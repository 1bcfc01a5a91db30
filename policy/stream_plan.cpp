#include "policy/stream_plan.h"

#include <algorithm>

namespace cardamom {

milliseconds maxEventGap(bool Resumable, milliseconds TargetLatency) {
  static constexpr milliseconds MinGap{2000};
  static constexpr int TargetLatencies = 4;
  return Resumable ? MinGap : std::max(MinGap, TargetLatency * TargetLatencies);
}

bool stream_plan::onEvent(std::optional<uint64_t> Number, time_point Now) {
  if (Options.Resumable && !Number)
    return false;
  if (Number && LastEvent && *Number != *LastEvent + 1)
    return false;
  FirstEventReceived = true;
  LastEvent = Number;
  LastEventAt = Now;
  return true;
}

stream_step stream_plan::onEnded(stream_attempt_end End, time_point Now) {
  if (End == stream_attempt_end::Complete)
    return stream_step::Finish;
  MayHaveRun |= End != stream_attempt_end::NotRun;
  const bool MayRetry = Options.Resumable || !MayHaveRun;
  // After the first event, the stream is limited only by MaxEventGap.
  const bool InTime = FirstEventReceived || Now < Options.FirstEventDeadline;
  if (MayRetry && InTime && SentAttempts < Options.MaxAttempts)
    return stream_step::Send;
  return FirstEventReceived ? stream_step::Abort : stream_step::GiveUp;
}

time_point stream_plan::overdueAt() const {
  return FirstEventReceived ? LastEventAt + Options.MaxEventGap
                            : Options.FirstEventDeadline;
}

bool stream_plan::isOverdue(time_point Now) const { return Now >= overdueAt(); }

} // namespace cardamom
