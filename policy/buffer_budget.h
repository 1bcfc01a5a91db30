/// \file
/// Limit on the memory that is used for all responses of replicas together:
/// decides whether one more response may go on growing.
///
/// Usage:
///   buffer_budget Budget({});
///   buffer_charge Charge(Budget);       // one for each response
///   if (!Charge.set(Buffer.capacity())) // after each part that is received
///     fail the response
///
/// Replicas may send bytes without end, on any number of connections. A large
/// response fails while the total is exceeded, so that the small ones, which
/// are almost all, are not affected. Reads no clock and does no I/O; all
/// operations take constant time.

#ifndef CARDAMOM_POLICY_BUFFER_BUDGET_H
#define CARDAMOM_POLICY_BUFFER_BUDGET_H

#include <algorithm>
#include <cstddef>

namespace cardamom {

struct buffer_budget_options {
  /// Total in bytes above which only small responses may grow: a fifth of the
  /// memory of the smallest gateway (120 MB).
  size_t MaxTotalBytes = size_t(24) << 20;
  /// Limit on one response, or on one event of a stream, in bytes.
  size_t MaxBytes = size_t(24) << 20;
  /// A response of at most this size in bytes may always grow.
  size_t SmallBytes = size_t(64) << 10;
};

class buffer_budget {
public:
  explicit buffer_budget(buffer_budget_options Options) : Options(Options) {}

  /// Whether a response that holds this many bytes, which the total includes,
  /// may go on.
  [[nodiscard]] bool mayHold(size_t Bytes) const {
    return Bytes <= Options.SmallBytes ||
           (Bytes <= Options.MaxBytes && TotalBytes <= Options.MaxTotalBytes);
  }
  [[nodiscard]] size_t totalBytes() const { return TotalBytes; }
  [[nodiscard]] size_t peakBytes() const { return PeakBytes; }

private:
  friend class buffer_charge;
  void replace(size_t OldBytes, size_t NewBytes) {
    TotalBytes += NewBytes - OldBytes;
    PeakBytes = std::max(PeakBytes, TotalBytes);
  }

  buffer_budget_options Options;
  size_t TotalBytes = 0;
  size_t PeakBytes = 0;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_BUFFER_BUDGET_H
