/// \file
/// Admission of calls to the emulated store: rates, outage and counts.

#ifndef STANDINS_STORE_GATE_H
#define STANDINS_STORE_GATE_H

#include "standins/clock.h"
#include "standins/token_bucket.h"

#include <cstdint>

namespace standins {

enum class store_call { Read, Write, Watch };
enum class gate_decision { Admit, Outage, RateLimited };

struct store_counts {
  uint64_t Reads = 0;
  uint64_t Writes = 0;
  uint64_t Watches = 0;
  uint64_t Conflicts = 0;
  /// Calls answered 429 or 503.
  uint64_t Refused = 0;
};

/// Decides which calls take effect. A watch takes one token of the read rate,
/// however long it waits. Not thread-safe.
class store_gate {
public:
  store_gate(double ReadsPerSecond, double WritesPerSecond)
      : Reads(ReadsPerSecond), Writes(WritesPerSecond) {}

  gate_decision admit(store_call Call, time_point Now) {
    if (Outage) {
      ++Counts.Refused;
      return gate_decision::Outage;
    }
    token_bucket &Rate = Call == store_call::Write ? Writes : Reads;
    if (!Rate.tryTake(1, Now)) {
      ++Counts.Refused;
      return gate_decision::RateLimited;
    }
    ++counter(Call);
    return gate_decision::Admit;
  }

  /// True when the answer of a write that took effect must be lost.
  bool takeLostAnswer() {
    if (LostAnswers == 0)
      return false;
    --LostAnswers;
    return true;
  }

  token_bucket Reads;
  token_bucket Writes;
  store_counts Counts;
  bool Outage = false;
  uint64_t LostAnswers = 0;
  milliseconds Delay{0};

private:
  uint64_t &counter(store_call Call) {
    if (Call == store_call::Read)
      return Counts.Reads;
    return Call == store_call::Write ? Counts.Writes : Counts.Watches;
  }
};

} // namespace standins

#endif // STANDINS_STORE_GATE_H
