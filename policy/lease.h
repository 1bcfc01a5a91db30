/// \file
/// Protocol of a lease that is stored as one object and changed only by
/// conditional writes: decides when it may be acquired, renewed and acted on.
///
/// Usage:
///   lease Lease({.Self = "entry-1", .Incarnation = "a1b2", .Duration = ...});
///   Lease.observe({...}, Now);             // the object as read or written
///   if (Lease.mayAcquire(HolderDown)) write Lease.proposedRecord()
///   Lease.onWritten(Record, SentAt, Now);  // the store accepted the write
///   if (Lease.mayAct(Now)) send orders
///
/// A holder may crash, pause or lose the connection to the store. It therefore
/// acts only within Duration of its last accepted write, counted from before
/// the write was sent and on a clock that keeps running while the VM is
/// suspended. A successor acts only Duration after it has acquired the lease,
/// unless the former holder has released it or has reported that it stopped.
/// Reads no clock and does no I/O; all operations take constant time.

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
  /// Distinguishes successive starts of the same holder.
  std::string Incarnation;
  /// Address of the holder for the inner protocol.
  std::string Address;
  /// Increases with each change of holder.
  uint64_t FencingToken = 0;
  /// Revision of the object in the store; 0 = the object does not exist.
  uint64_t Revision = 0;
};

struct lease_options {
  std::string Self;
  std::string Incarnation;
  std::string Address;
  milliseconds Duration{3000};
  /// Part of Duration that is left unused, to allow for clock drift and for the
  /// time that an order takes to its target.
  milliseconds SafetyMargin{500};
};

class lease {
public:
  explicit lease(lease_options Options) : Options(std::move(Options)) {}

  /// Records the object as read from the store. Older revisions are ignored.
  void observe(const pool_lease_record &Record, time_point Now);
  /// Records that the object does not exist in the store.
  void observeAbsent();

  /// Whether this process is the holder.
  [[nodiscard]] bool holds() const;
  /// Whether this process may acquire the lease: there is no holder, the holder
  /// is an earlier start of this process, has released the lease, or is down.
  [[nodiscard]] bool mayAcquire(bool HolderDown) const;
  /// Record to write for an acquisition or renewal, conditional on its
  /// Revision.
  [[nodiscard]] pool_lease_record proposedRecord() const;
  /// Records that the store accepted a write that was sent at SentAt.
  void onWritten(const pool_lease_record &Written, time_point SentAt,
                 time_point Now);

  /// Records that the former holder has stopped acting.
  void onPredecessorStopped(time_point Now) {
    MayActFrom = std::min(MayActFrom, Now);
  }

  /// Whether this process holds the lease and may act on it now.
  [[nodiscard]] bool mayAct(time_point Now) const;
  /// Whether this process holds the lease and should renew it before acting.
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
