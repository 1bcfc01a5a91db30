/// \file
/// Decides when a call with a short answer is sent, sent again, or given up.
///
/// Use:
///   call_plan Plan({.Idempotent = true, .MaxAttempts = 2, ...});
///   switch (Plan.next(Now)) {
///   case call_step::Send: Plan.onSent(Now); ...
///   case call_step::Wait: wake at Plan.wakeAt(Now) ...
///   case call_step::GiveUp: answer by Plan.certainty() ...
///   }
///
/// Answers the load of replicas that crash, hang, turn slow or lose answers:
/// an idempotent call whose answer is overdue is sent to a second replica
/// while there is still time to meet its target latency. Pure; constant time.

#ifndef CARDAMOM_POLICY_CALL_PLAN_H
#define CARDAMOM_POLICY_CALL_PLAN_H

#include "base/time.h"
#include "base/verdict.h"

namespace cardamom {

struct call_plan_options {
  bool Idempotent = false;
  /// Replicas to which the call may be sent.
  unsigned MaxAttempts = 1;
  /// Time from ReceivedAt within which an answer is worth most.
  milliseconds TargetLatency{0};
  time_point ReceivedAt;
  /// Nothing is sent, and no answer is waited for, from then on.
  time_point Deadline;
  /// Fraction of the target after which an idempotent call without an answer
  /// is sent to a second replica: half leaves the second as much time as the
  /// first had.
  double HedgeFraction = 0.5;
};

enum class call_step { Send, Wait, GiveUp };

/// How one attempt ended without an answer for the caller.
enum class attempt_failure {
  /// No byte was sent, or the replica says that it has not run the call.
  NotRun,
  /// The replica may have run the call.
  MayHaveRun,
};

class call_plan {
public:
  explicit call_plan(const call_plan_options &Options) : Options(Options) {}

  [[nodiscard]] call_step nextStep(time_point Now) const;
  /// When next() may change without another event.
  [[nodiscard]] time_point nextCheckAt() const;
  void onSent(time_point Now);
  void onFailed(attempt_failure Failure);

  [[nodiscard]] unsigned sentAttempts() const { return SentAttempts; }
  [[nodiscard]] unsigned runningAttempts() const { return RunningAttempts; }
  /// Whether an attempt that is given up now may have run.
  [[nodiscard]] run_certainty certainty() const;

private:
  [[nodiscard]] bool attemptAllowed() const;
  [[nodiscard]] time_point hedgeAt() const;

  call_plan_options Options;
  unsigned SentAttempts = 0;
  unsigned RunningAttempts = 0;
  bool MayHaveRun = false;
  time_point LastSentAt{};
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_CALL_PLAN_H
