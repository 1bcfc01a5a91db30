/// \file
/// Admission control of the emulated store: rate limits, simulated outages and
/// call counts.

#ifndef STANDINS_STORE_ADMISSION_H
#define STANDINS_STORE_ADMISSION_H

#include "standins/clock.h"
#include "standins/token_bucket.h"

#include <cstdint>

namespace standins {

enum class store_call { Read, Write, Watch };
enum class admission_decision { Admit, Outage, RateLimited };

struct store_counts {
  uint64_t Reads = 0;
  uint64_t Writes = 0;
  uint64_t Watches = 0;
  uint64_t Conflicts = 0;
  /// Calls rejected with 429 or 503.
  uint64_t Refused = 0;
};

/// Decides which calls are executed. A watch takes one token of the read limit,
/// however long it blocks. Not thread-safe.
class store_admission {
public:
  store_admission(double ReadsPerSecond, double WritesPerSecond)
      : ReadLimit(ReadsPerSecond), WriteLimit(WritesPerSecond) {}

  admission_decision admit(store_call Call, time_point Now) {
    if (Outage) {
      ++Counts.Refused;
      return admission_decision::Outage;
    }
    token_bucket &Rate = Call == store_call::Write ? WriteLimit : ReadLimit;
    if (!Rate.tryTake(1, Now)) {
      ++Counts.Refused;
      return admission_decision::RateLimited;
    }
    ++counterFor(Call);
    return admission_decision::Admit;
  }

  /// Returns true if the response to an executed write must be dropped, and
  /// counts it.
  bool consumeLostResponse() {
    if (ResponsesToLose == 0)
      return false;
    --ResponsesToLose;
    return true;
  }

  token_bucket ReadLimit;
  token_bucket WriteLimit;
  store_counts Counts;
  bool Outage = false;
  uint64_t ResponsesToLose = 0;
  milliseconds CallDelay{0};

private:
  uint64_t &counterFor(store_call Call) {
    if (Call == store_call::Read)
      return Counts.Reads;
    return Call == store_call::Write ? Counts.Writes : Counts.Watches;
  }
};

} // namespace standins

#endif // STANDINS_STORE_ADMISSION_H
