/// \file
/// Decides what becomes of a stream of events to a caller when a replica's
/// part of it ends.
///
/// Use:
///   stream_plan Plan({.Resumable = true, .MaxAttempts = 3, ...});
///   Plan.onSent();
///   Plan.onEvent(Number);
///   switch (Plan.onEnded(stream_attempt_end::Broken, Now)) ...
///
/// Answers the load of replicas that break off: a stream that may be resumed
/// goes on at another replica after the last whole event; any other is sent
/// again only while it has surely not run. Pure; constant time.

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
  /// Until when the first event is waited for.
  time_point FirstEventDeadline;
  /// Longest time between two events.
  milliseconds MaxEventGap{2000};
};

/// How a replica's part ended.
enum class stream_attempt_end {
  /// The replica has said that the stream is complete.
  Complete,
  /// The replica has not run the request.
  NotRun,
  /// The replica answered with a failure of its own.
  Failed,
  /// The part broke off.
  Broken,
};

enum class stream_step {
  Send,
  Wait,
  /// Close the answer as complete.
  Finish,
  /// No byte has been sent to the caller: answer by certainty().
  GiveUp,
  /// Part of the answer has been sent: end it so that it looks incomplete.
  Abort,
};

class stream_plan {
public:
  explicit stream_plan(const stream_plan_options &Options) : Options(Options) {}

  void onSent() { ++SentAttempts; }
  /// False when the event does not follow the one before it.
  bool onEvent(std::optional<uint64_t> Number, time_point Now);
  stream_step onEnded(stream_attempt_end End, time_point Now);
  /// Whether the running part is taken for dead.
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
