/// \file
/// The one place that decides whether a request may have run.

#ifndef CARDAMOM_ENTRY_CLASSIFY_H
#define CARDAMOM_ENTRY_CLASSIFY_H

#include "base/verdict.h"

#include <cstdint>
#include <string>

namespace cardamom {

/// How one attempt of a request ended, as the entry saw it.
enum class outcome_kind {
  /// The whole answer arrived.
  Completed,
  /// No byte of the request was handed to a socket.
  NeverSent,
  /// The agent answered "/run" with a refusal.
  RefusedByAgent,
  /// A later "/attach" or "/query" found no record; not_run only with the
  /// evidence of run_outcome.
  NeverSeen,
  /// The record that "/attach" found was refused in the queue.
  RefusedAfterAttach,
  UpstreamFailed,
  Preempted,
  Cancelled,
  /// The run finished, but its answer is no longer kept.
  AnswerGone,
  /// The run finished with an answer above the limit of the agent.
  AnswerTooLarge,
  /// The idempotency key belongs to a run whose answer cannot be had.
  KeyClaimed,
  /// The agent was replaced; its successor knows nothing of the request.
  AgentRestarted,
  /// The agent did not come back before the deadline.
  ReconnectTimedOut,
  DeadlinePassed,
  /// An answer that breaks the protocol, for example a gap in the offsets.
  BadAnswer,
};

/// Last value, for loops over all kinds.
inline constexpr outcome_kind LastOutcomeKind = outcome_kind::BadAnswer;

struct attempt_outcome {
  outcome_kind Kind = outcome_kind::BadAnswer;
  /// Incarnation that the request was meant for, and highest epoch of the
  /// connection that may have carried it.
  uint64_t SentIncarnation = 0;
  uint64_t SentEpoch = 0;
  /// Of the connection that carried the answer of NeverSeen and
  /// RefusedAfterAttach.
  uint64_t AnswerIncarnation = 0;
  uint64_t AnswerEpoch = 0;
  std::string Reason{};
  std::string Message{};
  milliseconds RetryAfter{0};
};

/// Verdict on one attempt.
verdict classify(const attempt_outcome &Outcome);

/// Verdict on a request after one more attempt: once an attempt may have run,
/// only a complete answer settles the question.
verdict combineVerdicts(const verdict &Earlier, verdict Latest);

/// Whether another attempt on another upstream is permitted at all.
struct retry_conditions {
  run_certainty Certainty = run_certainty::MayHaveRun;
  bool Idempotent = false;
  bool BytesRelayed = false;
};
constexpr bool mayRetry(const retry_conditions &Question) {
  if (Question.Certainty == run_certainty::NotRun)
    return !Question.BytesRelayed;
  return Question.Certainty == run_certainty::MayHaveRun &&
         Question.Idempotent && !Question.BytesRelayed;
}

} // namespace cardamom

#endif // CARDAMOM_ENTRY_CLASSIFY_H
