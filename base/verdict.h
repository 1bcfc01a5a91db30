/// \file
/// The answer to "may this request have run?".
///
/// Each error path ends in a verdict. Only `not_run` permits another attempt
/// of a request that is not idempotent.

#ifndef CARDAMOM_BASE_VERDICT_H
#define CARDAMOM_BASE_VERDICT_H

#include "base/time.h"

#include <string>
#include <string_view>

namespace cardamom {

enum class run_certainty {
  /// The upstream has not seen the request and never will.
  NotRun,
  /// Nobody can tell whether the upstream ran the request.
  MayHaveRun,
  /// The upstream ran the request.
  Ran,
};

/// Outcome of a request for the caller. Reason is a short machine-readable
/// identifier such as "queue_full"; Message is for people.
struct verdict {
  run_certainty Certainty = run_certainty::MayHaveRun;
  std::string Reason;
  std::string Message;
  /// Hint for the caller; zero when there is none.
  milliseconds RetryAfter{0};
};

/// Returns "not-run", "may-have-run" or "ran", as used on the wire.
constexpr std::string_view toString(run_certainty C) {
  switch (C) {
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
