#include "entry/classify.h"

#include <string_view>
#include <utility>

namespace cardamom {

// An agent's reply that it has no record of a request proves that the request
// did not run only if the same agent process sends the reply over a connection
// that was opened after the request was sent. Before the agent accepts that
// connection, it closes the older one and discards its unread bytes, so the
// request can no longer arrive.
static bool missingRecordProvesNotRun(const attempt_outcome &Outcome) {
  return Outcome.SentIncarnation != 0 &&
         Outcome.AnswerIncarnation == Outcome.SentIncarnation &&
         Outcome.AnswerEpoch > Outcome.SentEpoch;
}

static run_certainty certainty(const attempt_outcome &Outcome) {
  switch (Outcome.Kind) {
  case outcome_kind::Completed:
  case outcome_kind::AnswerGone:
  case outcome_kind::AnswerTooLarge:
    return run_certainty::Ran;
  case outcome_kind::NeverSent:
  case outcome_kind::RefusedByAgent:
    return run_certainty::NotRun;
  case outcome_kind::NeverSeen:
    return missingRecordProvesNotRun(Outcome) ? run_certainty::NotRun
                                              : run_certainty::MayHaveRun;
  case outcome_kind::RefusedAfterAttach:
    // A refusal by a later incarnation does not prove that the earlier one did
    // not run the request.
    return Outcome.SentIncarnation != 0 &&
                   Outcome.AnswerIncarnation == Outcome.SentIncarnation
               ? run_certainty::NotRun
               : run_certainty::MayHaveRun;
  case outcome_kind::UpstreamFailed:
  case outcome_kind::Preempted:
  case outcome_kind::Cancelled:
  case outcome_kind::KeyClaimed:
  case outcome_kind::AgentRestarted:
  case outcome_kind::ReconnectTimedOut:
  case outcome_kind::DeadlinePassed:
  case outcome_kind::BadAnswer:
    break;
  }
  return run_certainty::MayHaveRun;
}

static std::string_view defaultReason(outcome_kind Kind) {
  switch (Kind) {
  case outcome_kind::Completed:
    return "completed";
  case outcome_kind::NeverSent:
    return "not_connected";
  case outcome_kind::RefusedByAgent:
  case outcome_kind::RefusedAfterAttach:
    return "refused";
  case outcome_kind::NeverSeen:
    return "connection_lost";
  case outcome_kind::UpstreamFailed:
    return "upstream_failed";
  case outcome_kind::Preempted:
    return "preempted";
  case outcome_kind::Cancelled:
    return "cancelled";
  case outcome_kind::AnswerGone:
    return "answer_gone";
  case outcome_kind::AnswerTooLarge:
    return "answer_too_large";
  case outcome_kind::KeyClaimed:
    return "key_claimed";
  case outcome_kind::AgentRestarted:
    return "agent_restarted";
  case outcome_kind::ReconnectTimedOut:
    return "connection_lost";
  case outcome_kind::DeadlinePassed:
    return "deadline_passed";
  case outcome_kind::BadAnswer:
    break;
  }
  return "bad_answer";
}

verdict classify(const attempt_outcome &Outcome) {
  verdict Verdict{.Certainty = certainty(Outcome),
                  .Reason = Outcome.Reason,
                  .Message = Outcome.Message,
                  .RetryAfter = Outcome.RetryAfter};
  if (Verdict.Reason.empty())
    Verdict.Reason = defaultReason(Outcome.Kind);
  if (Verdict.Message.empty())
    Verdict.Message = "the request ended with: " + Verdict.Reason;
  return Verdict;
}

verdict combineVerdicts(const verdict &Earlier, verdict Latest) {
  if (Latest.Certainty == run_certainty::NotRun &&
      Earlier.Certainty != run_certainty::NotRun)
    Latest.Certainty = run_certainty::MayHaveRun;
  return Latest;
}

} // namespace cardamom
