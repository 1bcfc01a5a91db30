/// \file
/// A request to the dispatcher, the callbacks that receive its response, and
/// its result.

#ifndef CARDAMOM_ENTRY_DISPATCH_H
#define CARDAMOM_ENTRY_DISPATCH_H

#include "base/time.h"
#include "base/verdict.h"
#include "entry/classify.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

namespace wire {
class response_head;
class run_request;
} // namespace wire

/// Identifies a request within one dispatcher. 0 is never used.
using dispatch_id = uint64_t;

/// Consecutive tokens generated with one weight version.
struct token_span {
  uint64_t Version = 0;
  uint32_t Tokens = 0;
  bool operator==(const token_span &) const = default;
};

struct dispatch_call {
  std::string Pool;
  /// The caller sets request_id, class, idempotent, idempotency_key, sample and
  /// the call. The dispatcher sets the other fields for each attempt.
  std::shared_ptr<wire::run_request> Request;
  time_point Deadline;
  /// Expected work: number of tokens to generate, or 1 for a plain call.
  double Work = 1;
  /// Hash of the prompt's first bytes; 0 disables prefix affinity.
  uint64_t PrefixHash = 0;
  std::vector<std::string> ExcludedUpstreams;
  /// If set, this upstream retains the response of an earlier run with the same
  /// request id. The dispatcher fetches that response from its start and sends
  /// nothing to run.
  std::string AdoptFromUpstream;
  unsigned MaxAttempts = 4;
  /// Whether the dispatcher retries an idempotent call that may have run. False
  /// for samples, because their partial output is resumed instead.
  bool RetryIfMayHaveRun = true;
  /// The consumer holds back the output of OnData until OnEnd, so the request
  /// may start over at any time. If the request is also idempotent, the
  /// dispatcher gives up on a disconnected agent after a few seconds.
  bool Restartable = false;
  /// The consumer calls dispatcher::consume() for all bytes it received from
  /// OnData. This limits buffered data to the flow-control window of one
  /// stream.
  bool ManualFlowControl = false;
};

struct dispatch_result {
  /// Outcome of the last attempt.
  outcome_kind Kind = outcome_kind::BadAnswer;
  /// Verdict on the request over all attempts.
  verdict Verdict{};
  std::string Upstream{};
  std::string Address{};
  std::string RequestId{};
  /// All spans of the run; empty if the end of the run did not arrive.
  std::vector<token_span> Spans{};
  /// Whether OnData received every byte that the run produced, so Spans
  /// describes exactly that output.
  bool OutputComplete = false;
};

/// Callbacks, invoked on the dispatcher's thread. They must not block. OnEnd is
/// required and is called exactly once, after all others.
struct dispatch_sink {
  /// An attempt on this upstream starts. The consumer discards all output of
  /// earlier attempts.
  std::function<void(std::string_view Upstream)> OnAttempt;
  std::function<void(const wire::response_head &Head)> OnHead;
  std::function<void(std::string_view Bytes)> OnData;
  /// Progress of a run. Spans may be repeated after a reconnection; only those
  /// in dispatch_result are authoritative.
  std::function<void(const token_span &Span)> OnSpan;
  /// Called before a retry if OnHead or OnData has received part of the
  /// response. Returns true if that part can be discarded because none of it
  /// was sent to the caller. Returning false prevents the retry.
  std::function<bool()> OnRestart;
  std::function<void(const dispatch_result &Result)> OnEnd;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_DISPATCH_H
