/// \file
/// Outcome of a request, including whether it may have been executed.
///
/// Every error path produces a verdict. A request that is not idempotent is
/// retried only if its verdict is NotRun.

#ifndef CARDAMOM_BASE_VERDICT_H
#define CARDAMOM_BASE_VERDICT_H

#include "base/time.h"

#include <string>
#include <string_view>

namespace cardamom {

enum class run_certainty {
  /// The upstream has not executed the request and never will.
  NotRun,
  /// It is unknown whether the upstream executed the request.
  MayHaveRun,
  /// The upstream executed the request.
  Ran,
};

/// Outcome of a request as reported to the caller. Reason is a short
/// machine-readable identifier such as "queue_full"; Message is human-readable.
struct verdict {
  run_certainty Certainty = run_certainty::MayHaveRun;
  std::string Reason;
  std::string Message;
  /// Delay after which the caller should retry; 0 = no hint.
  milliseconds RetryAfter{0};
};

/// Returns "not-run", "may-have-run" or "ran", as used on the wire.
constexpr std::string_view toString(run_certainty Certainty) {
  switch (Certainty) {
  case run_certainty::NotRun:
    return "not-run";
  case run_certainty::Ran:
    return "ran";
  case run_certainty::MayHaveRun:
    break;
  }
  return "may-have-run";
}

} // namespace cardamom

#endif // CARDAMOM_BASE_VERDICT_H
