/// \file
/// Protocol of a lease that is stored as one object and changed only by
/// conditional writes: decides when it may be acquired, renewed and acted on.
///
/// Usage:
///   lease Lease({.Self = "entry-1", .Incarnation = "a1b2", .Duration = ...});
///   Lease.observe({...}, Now);             // the object as read or written
///   if (Lease.mayAcquire(HolderDown)) write Lease.proposedRecord()
///   Lease.onWritten(Record, SentAt, Now);  // the store accepted the write
///   if (Lease.mayAct(Now)) { Lease.onActed(Now); send an order }
///
/// A holder may crash, pause or lose the connection to the store. It therefore
/// acts only within Duration of its last accepted write, counted from before
/// the write was sent and on a clock that keeps running while the VM is
/// suspended. A successor acts only Duration after it has acquired the lease,
/// unless the former holder has released it or has reported that it stopped.
/// Such a holder says for how long its calls, and those of holders before it,
/// may still arrive. A process that has held the lease before, and whose last
/// call was followed by another holder, acts again only Duration after that
/// call, so that two holders never take turns within Duration. Reads no clock
/// and does no I/O; all operations take constant time.

#ifndef CARDAMOM_POLICY_LEASE_H
#define CARDAMOM_POLICY_LEASE_H

#include "base/time.h"

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
  /// Time from the write of this record until the holder may act, or its
  /// successor if the lease was released: calls of earlier holders may arrive
  /// until then.
  milliseconds SettleTime{0};
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
  /// When this process started: an earlier start of it may have acted until
  /// then. nullopt = there was none.
  std::optional<time_point> StartedAt;
};

class lease {
public:
  explicit lease(lease_options Options)
      : Options(std::move(Options)), LastActedAt(this->Options.StartedAt) {}

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
  [[nodiscard]] pool_lease_record proposedRecord(time_point Now) const;
  /// Ends this process's actions for good. Returns the record that releases the
  /// lease, conditional on its Revision.
  [[nodiscard]] pool_lease_record release(time_point Now);
  /// Records that the store accepted a write that was sent at SentAt.
  void onWritten(const pool_lease_record &Written, time_point SentAt,
                 time_point Now);

  /// Records that the former holder has stopped acting. SettleTime: what it
  /// says about calls that may still arrive; nullopt = it has restarted.
  void onPredecessorStopped(std::optional<milliseconds> SettleTime,
                            time_point Now);
  /// What a former holder tells the successor with the token; nullopt if this
  /// process did not hold the lease right before it.
  [[nodiscard]] std::optional<milliseconds>
  settleTimeFor(uint64_t SuccessorToken, time_point Now) const;

  /// Records that a call under the lease is about to be sent.
  void onActed(time_point Now) { LastActedAt = Now; }
  /// Whether this process holds the lease and may act on it now.
  [[nodiscard]] bool mayAct(time_point Now) const;
  /// Whether this process holds the lease and should renew it before acting.
  [[nodiscard]] bool shouldRenew(time_point Now) const;
  /// Time until the holder may act, if its lease remains valid.
  [[nodiscard]] milliseconds waitToAct(time_point Now) const;

  [[nodiscard]] const pool_lease_record &record() const { return Record; }

private:
  [[nodiscard]] bool otherHeldLast() const;
  /// Start of this process's turn if it acquires the lease now; see the top of
  /// the file.
  [[nodiscard]] time_point turnStart() const;
  [[nodiscard]] time_point earliestAct(time_point Now) const;
  [[nodiscard]] milliseconds settleTime(time_point Now) const;
  /// When all calls that this process has sent have arrived.
  [[nodiscard]] time_point ownCallsArrivedAt() const;

  lease_options Options;
  pool_lease_record Record;
  time_point ValidUntil{};
  time_point MayActFrom{};
  /// Earliest start of this process's present turn, whatever its predecessor
  /// says.
  time_point TurnStart{};
  /// SettleTime of the record before this process acquired the lease.
  milliseconds FormerSettleTime{0};
  /// Token of this process's last acquisition; 0 = none.
  uint64_t HeldToken = 0;
  std::optional<time_point> LastActedAt;
  bool RecordKnown = false;
  bool Released = false;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_LEASE_H
