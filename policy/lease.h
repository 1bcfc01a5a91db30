/// \file
/// Decisions about a lease that is kept as one object in the store and
/// changed by conditional writes only.
///
/// Use:
///   lease Lease({.Self = "entry-1", .Incarnation = "a1b2", .Length = ...});
///   Lease.observe({...}, Now);             // the object as read or written
///   if (Lease.mayAcquire(HolderDown)) write Lease.proposal()
///   Lease.onWritten(Record, SentAt, Now);  // the store accepted it
///   if (Lease.mayAct(Now)) give orders
///
/// Answers holders that crash, pause or lose the store: a holder acts only
/// within Length of its last accepted write, counted from before it was sent
/// and on a clock that runs while the VM is suspended; a successor acts only
/// after it has seen the object unchanged for Length. Pure; constant time.

#ifndef CARDAMOM_POLICY_LEASE_H
#define CARDAMOM_POLICY_LEASE_H

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

namespace cardamom {

struct pool_lease_record {
  std::string Holder;
  /// Distinguishes the starts of one holder.
  std::string Incarnation;
  /// Inner address of the holder.
  std::string Address;
  /// Rises with each change of holder; serves as the fencing token.
  uint64_t FencingToken = 0;
  /// Revision of the object; 0 = there is none.
  uint64_t Revision = 0;
};

struct lease_options {
  std::string Self;
  std::string Incarnation;
  std::string Address;
  milliseconds Duration{3000};
  /// Part of the length that is left unused, for clocks that drift and for
  /// the way of an order to its target.
  milliseconds SafetyMargin{500};
};

class lease {
public:
  explicit lease(lease_options Options) : Options(std::move(Options)) {}

  /// The object as the store has shown it. Older revisions are ignored.
  void observe(const pool_lease_record &Record, time_point Now);
  /// The object is gone.
  void observeAbsent();

  /// Whether this process is the holder.
  [[nodiscard]] bool holds() const;
  /// Whether the holder may be replaced: there is none, it is an earlier start
  /// of this process, it has released, or it is down.
  [[nodiscard]] bool mayAcquire(bool HolderDown) const;
  /// What an acquisition or renewal writes, on condition of its Revision.
  [[nodiscard]] pool_lease_record proposedRecord() const;
  /// The store has accepted a write that was sent at SentAt.
  void onWritten(const pool_lease_record &Written, time_point SentAt,
                 time_point Now);

  /// The former holder has said that it has stopped.
  void onPredecessorStopped(time_point Now) {
    MayActFrom = std::min(MayActFrom, Now);
  }

  /// Whether the holder may act on others' behalf now.
  [[nodiscard]] bool mayAct(time_point Now) const;
  /// Whether the holder should renew before it acts.
  [[nodiscard]] bool shouldRenew(time_point Now) const;

  [[nodiscard]] const pool_lease_record &record() const { return Record; }

private:
  lease_options Options;
  pool_lease_record Record;
  time_point ValidUntil{};
  time_point MayActFrom{};
  bool RecordKnown = false;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_LEASE_H
