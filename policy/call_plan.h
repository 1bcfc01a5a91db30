/// \file
/// Retry and hedging policy of one plain call, which has a single response
/// rather than an event stream: decides when the call is sent, sent to another
/// replica, or given up.
///
/// Usage:
///   call_plan Plan({.Idempotent = true, .MaxAttempts = 2, ...});
///   switch (Plan.nextStep(Now)) {
///   case call_step::Send: Plan.onSent(Now); ...
///   case call_step::Wait: check again at Plan.nextCheckAt() ...
///   case call_step::GiveUp: report Plan.certainty() to the caller ...
///   }
///
/// Replicas may crash, hang, become slow or lose responses. An idempotent call
/// whose response is overdue is therefore sent to a second replica while there
/// is still time to meet the target latency. Reads no clock and does no I/O;
/// all operations take constant time.

#ifndef CARDAMOM_POLICY_CALL_PLAN_H
#define CARDAMOM_POLICY_CALL_PLAN_H

#include "base/time.h"
#include "base/verdict.h"

namespace cardamom {

struct call_plan_options {
  bool Idempotent = false;
  /// Maximum number of replicas to which the call is sent.
  unsigned MaxAttempts = 1;
  /// Target latency, counted from ReceivedAt.
  milliseconds TargetLatency{0};
  time_point ReceivedAt;
  /// From this time on nothing is sent and no response is awaited.
  time_point Deadline;
  /// Fraction of TargetLatency after which an idempotent call without a
  /// response is sent to a second replica. One half gives the second replica as
  /// much time as the first had.
  double HedgeFraction = 0.5;
};

enum class call_step { Send, Wait, GiveUp };

/// How an attempt ended without a response for the caller.
enum class attempt_failure {
  /// No byte was sent, or the replica reports that it has not executed the
  /// call.
  NotRun,
  /// The replica may have executed the call.
  MayHaveRun,
};

class call_plan {
public:
  explicit call_plan(const call_plan_options &Options) : Options(Options) {}

  [[nodiscard]] call_step nextStep(time_point Now) const;
  /// Time at which the result of nextStep() may change without another event.
  [[nodiscard]] time_point nextCheckAt() const;
  void onSent(time_point Now);
  void onFailed(attempt_failure Failure);
  /// The attempt ended before its request was sent; it does not count.
  void onWithheld();

  [[nodiscard]] unsigned sentAttempts() const { return SentAttempts; }
  [[nodiscard]] unsigned runningAttempts() const { return RunningAttempts; }
  /// Whether the call may have been executed if it is given up now.
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
