/// \file
/// Phases of a planned stop: decides which requests a stopping process still
/// accepts, and when it closes, answers and exits.
///
/// Usage:
///   shutdown_plan Plan({.StoppedAt = Now, ...});
///   if (!Plan.accepts(ReceivedAt, TimeLimit)) reject the request at once;
///   if (Plan.refusesConnections(Now)) close the listening socket;
///   if (Plan.answersUnfinished(Now)) respond to what is still in progress;
///   if (Plan.isOver(Now, Idle)) exit;
///
/// After SIGTERM a load balancer may go on sending new connections for a while,
/// without end if it has no other process to choose. The process is killed at
/// the end of its grace period. A request whose time limit lies beyond that is
/// therefore accepted only while the balancer cannot know better; afterwards
/// its caller is better off at another process, since the request has not run.
/// Reads no clock and does no I/O; all operations take constant time.

#ifndef CARDAMOM_POLICY_SHUTDOWN_PLAN_H
#define CARDAMOM_POLICY_SHUTDOWN_PLAN_H

#include "base/time.h"

#include <optional>

namespace cardamom {

struct shutdown_plan_options {
  time_point StoppedAt;
  /// Time after StoppedAt that a load balancer is given to take the process out
  /// of rotation. Connections are drained from then on.
  milliseconds DrainNotice{3000};
  /// Part of DrainNotice at its end in which requests are already accepted by
  /// their time limit only, since the signal may have been handled late.
  milliseconds NoticeMargin{500};
  /// The process exits at this time after StoppedAt at the latest.
  milliseconds StopTimeout{7500};
  /// Part of StopTimeout at its end, for writing the responses to requests that
  /// are not finished by then.
  milliseconds FlushTime{200};
  /// New connections are refused after this fraction of StopTimeout, so that
  /// what has been accepted can end within the rest.
  double AcceptFraction = 0.5;
};

class shutdown_plan {
public:
  explicit shutdown_plan(const shutdown_plan_options &Options)
      : Options(Options) {}

  /// Whether a request that was received at ReceivedAt and ends after at most
  /// TimeLimit is accepted; nullopt = its duration has no limit.
  [[nodiscard]] bool accepts(time_point ReceivedAt,
                             std::optional<milliseconds> TimeLimit) const;
  [[nodiscard]] bool drainsConnections(time_point Now) const;
  [[nodiscard]] bool refusesConnections(time_point Now) const;
  [[nodiscard]] bool answersUnfinished(time_point Now) const;
  /// Idle: no connection is open and no request is in progress.
  [[nodiscard]] bool isOver(time_point Now, bool Idle) const;

private:
  /// Requests that are not finished at this time are answered as failed.
  [[nodiscard]] time_point requestsEndAt() const;

  shutdown_plan_options Options;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_SHUTDOWN_PLAN_H
