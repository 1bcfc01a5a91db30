/// \file
/// Decides whether a request may have run. No other code makes this decision.

#ifndef CARDAMOM_ENTRY_CLASSIFY_H
#define CARDAMOM_ENTRY_CLASSIFY_H

#include "base/verdict.h"

#include <cstdint>
#include <string>

namespace cardamom {

/// How one attempt of a request ended, as observed by the entry.
enum class outcome_kind {
  /// The complete response arrived.
  Completed,
  /// No byte of the request was passed to a socket.
  NeverSent,
  /// The agent refused "/run".
  RefusedByAgent,
  /// A later "/attach" or "/query" found no record of the request. This is
  /// not_run only if attempt_outcome proves that the request can no longer
  /// arrive.
  NeverSeen,
  /// The record found by "/attach" says that the request was refused while it
  /// was queued.
  RefusedAfterAttach,
  UpstreamFailed,
  Preempted,
  Cancelled,
  /// The run finished, but its response is no longer retained.
  AnswerGone,
  /// The run finished with a response above the agent's size limit.
  AnswerTooLarge,
  /// Another run holds the idempotency key, and its response is unavailable.
  KeyClaimed,
  /// The agent restarted, and the new process has no record of the request.
  AgentRestarted,
  /// The agent did not reconnect in time.
  ReconnectTimedOut,
  DeadlinePassed,
  /// The response violates the protocol, for example by a gap in the offsets.
  BadAnswer,
};

/// Last enumerator, for loops over all kinds.
inline constexpr outcome_kind LastOutcomeKind = outcome_kind::BadAnswer;

struct attempt_outcome {
  outcome_kind Kind = outcome_kind::BadAnswer;
  /// Incarnation that the request was sent to, and highest epoch of a
  /// connection that may have carried it.
  uint64_t SentIncarnation = 0;
  uint64_t SentEpoch = 0;
  /// Incarnation of the agent that responded, and epoch of the connection that
  /// delivered its response. Used for NeverSeen and RefusedAfterAttach.
  uint64_t AnswerIncarnation = 0;
  uint64_t AnswerEpoch = 0;
  std::string Reason{};
  std::string Message{};
  milliseconds RetryAfter{0};
};

/// Returns the verdict on one attempt.
verdict classify(const attempt_outcome &Outcome);

/// Returns the verdict on a request after another attempt. Once an attempt may
/// have run, a later not_run becomes may_have_run.
verdict combineVerdicts(const verdict &Earlier, verdict Latest);

/// Conditions that decide whether a request may be retried on another upstream.
struct retry_conditions {
  run_certainty Certainty = run_certainty::MayHaveRun;
  bool Idempotent = false;
  bool BytesRelayed = false;
};
constexpr bool mayRetry(const retry_conditions &Conditions) {
  if (Conditions.Certainty == run_certainty::NotRun)
    return !Conditions.BytesRelayed;
  return Conditions.Certainty == run_certainty::MayHaveRun &&
         Conditions.Idempotent && !Conditions.BytesRelayed;
}

} // namespace cardamom

#endif // CARDAMOM_ENTRY_CLASSIFY_H
