/// \file
/// Delay between attempts to connect to a peer.

#ifndef CARDAMOM_INNER_BACKOFF_H
#define CARDAMOM_INNER_BACKOFF_H

#include "base/time.h"

#include <algorithm>

namespace cardamom {

struct backoff_options {
  milliseconds MinDelay{50};
  milliseconds MaxDelay{2000};
};

/// Returns MinDelay, doubled for each failure after the first up to MaxDelay,
/// multiplied by a random factor between 0.5 and 1. Without this jitter all
/// clients of a restarted server would reconnect at the same time. Random is in
/// [0, 1).
inline milliseconds backoffDelay(const backoff_options &Options,
                                 unsigned Failures, double Random) {
  milliseconds Delay = std::min(Options.MinDelay, Options.MaxDelay);
  for (unsigned I = 1; I < Failures && Delay < Options.MaxDelay; ++I)
    Delay = std::min(Delay * 2, Options.MaxDelay);
  const double Count = static_cast<double>(Delay.count()) * (1 + Random) / 2;
  return milliseconds(static_cast<int64_t>(Count));
}

} // namespace cardamom

#endif // CARDAMOM_INNER_BACKOFF_H
