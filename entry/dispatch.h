/// \file
/// One request for the dispatcher: the call, where its answer goes, and how it
/// ended.

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

/// Identifies one request in one dispatcher; 0 is never used.
using dispatch_id = uint64_t;

/// Tokens of one weight version, in the order of generation.
struct token_span {
  uint64_t Version = 0;
  uint32_t Tokens = 0;
  bool operator==(const token_span &) const = default;
};

struct dispatch_call {
  std::string Pool;
  /// request_id, class, idempotent, idempotency_key, sample and the call are
  /// set by the caller; the dispatcher sets the rest for each attempt.
  std::shared_ptr<wire::run_request> Request;
  time_point Deadline;
  /// Expected work: tokens to generate, or 1 for a plain call.
  double Work = 1;
  /// Hash of the prompt's first bytes; 0 = no prefix affinity.
  uint64_t PrefixHash = 0;
  std::vector<std::string> ExcludedUpstreams;
  /// When set, the answer of a run with this request id that the upstream
  /// retains is fetched from its start; nothing is sent to run.
  std::string AdoptFromUpstream;
  unsigned MaxAttempts = 4;
  /// Whether the dispatcher itself repeats an idempotent call that may have
  /// run. Samples set it to false, because their partial output is resumed.
  bool RetryIfMayHaveRun = true;
  /// Nothing that OnData received reaches the caller before OnEnd, so that the
  /// request may start over at any time. When it is idempotent as well, an
  /// agent that does not come back is given up after a few seconds.
  bool Restartable = false;
  /// The consumer calls dispatcher::consume() for each byte of OnData, which
  /// bounds what is buffered for it to the window of one stream.
  bool ManualFlowControl = false;
};

struct dispatch_result {
  /// Of the last attempt.
  outcome_kind Kind = outcome_kind::BadAnswer;
  /// Of the whole request.
  verdict Verdict{};
  std::string Upstream{};
  std::string Address{};
  std::string RequestId{};
  /// All spans of the run; empty when no end of the run arrived.
  std::vector<token_span> Spans{};
  /// Whether every byte that the run produced was relayed, so that Spans
  /// describes exactly what OnData received.
  bool OutputComplete = false;
};

/// Hooks on the dispatcher's thread; they must not block. OnEnd is required
/// and called exactly once, last.
struct dispatch_sink {
  /// An attempt goes to this upstream; what was received before is void.
  std::function<void(std::string_view Upstream)> OnAttempt;
  std::function<void(const wire::response_head &Head)> OnHead;
  std::function<void(std::string_view Bytes)> OnData;
  /// Progress of a run. After a reconnection spans may be repeated; only those
  /// of the result are authoritative.
  std::function<void(const token_span &Span)> OnSpan;
  /// Called when part of an answer has been relayed and another attempt is
  /// possible. Discards that part and returns true when no byte of it has
  /// reached the caller.
  std::function<bool()> OnRestart;
  std::function<void(const dispatch_result &Result)> OnEnd;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_DISPATCH_H
