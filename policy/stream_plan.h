/// \file
/// Retry policy of one event stream: decides how to continue when an attempt at
/// one replica ends.
///
/// Usage:
///   stream_plan Plan({.Resumable = true, .MaxAttempts = 3, ...});
///   Plan.onSent();
///   Plan.onEvent(Number, Now);
///   switch (Plan.onEnded(stream_attempt_end::Broken, Now)) ...
///
/// Replicas may break off a stream. A resumable stream continues at another
/// replica after the last complete event. Any other request is sent again only
/// if it has certainly not been executed. Reads no clock and does no I/O; all
/// operations take constant time.

#ifndef CARDAMOM_POLICY_STREAM_PLAN_H
#define CARDAMOM_POLICY_STREAM_PLAN_H

#include "base/time.h"
#include "base/verdict.h"

#include <cstdint>
#include <optional>

namespace cardamom {

struct stream_plan_options {
  bool Resumable = false;
  unsigned MaxAttempts = 1;
  /// Time until which the first event is awaited.
  time_point FirstEventDeadline;
  /// Maximum time between two events.
  milliseconds MaxEventGap{2000};
  /// Last event that the caller already has.
  std::optional<uint64_t> ResumeAfterEvent;
};

/// Returns the time without an event after which a stream has stalled, the time
/// after which its caller gives it up: two seconds or four times the target
/// latency. A resumable stream goes on elsewhere after two seconds in any case.
milliseconds maxEventGap(bool Resumable, milliseconds TargetLatency);

/// How an attempt to stream from one replica ended.
enum class stream_attempt_end {
  /// The replica reported that the stream is complete.
  Complete,
  /// The replica has not executed the request.
  NotRun,
  /// The replica responded with an error.
  Failed,
  /// The stream was interrupted.
  Broken,
};

enum class stream_step {
  Send,
  Wait,
  /// Close the response as complete.
  Finish,
  /// No byte has been sent to the caller: respond with an error according to
  /// certainty().
  GiveUp,
  /// Part of the response has been sent: terminate it so that the caller can
  /// tell that it is incomplete.
  Abort,
};

class stream_plan {
public:
  explicit stream_plan(const stream_plan_options &Options)
      : Options(Options), LastEvent(Options.ResumeAfterEvent) {}

  void onSent() { ++SentAttempts; }
  /// The attempt ended before its request was sent; it does not count.
  void onWithheld() { --SentAttempts; }
  /// Records an event. Returns false if it does not follow the previous one.
  bool onEvent(std::optional<uint64_t> Number, time_point Now);
  stream_step onEnded(stream_attempt_end End, time_point Now);
  /// Whether the replica has sent no event for too long.
  [[nodiscard]] bool isOverdue(time_point Now) const;
  [[nodiscard]] time_point overdueAt() const;

  [[nodiscard]] std::optional<uint64_t> lastEvent() const { return LastEvent; }
  [[nodiscard]] run_certainty certainty() const {
    return MayHaveRun ? run_certainty::MayHaveRun : run_certainty::NotRun;
  }
  [[nodiscard]] unsigned sentAttempts() const { return SentAttempts; }

private:
  stream_plan_options Options;
  unsigned SentAttempts = 0;
  bool MayHaveRun = false;
  bool FirstEventReceived = false;
  std::optional<uint64_t> LastEvent;
  time_point LastEventAt{};
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_STREAM_PLAN_H
