/// \file
/// Lease on the steps of one trainer, stored as object "trainers/{trainer}".
///
/// Use:
///   trainer_lease Lease({.Key = "trainers/t1", .Self = {...}, .Get = ...});
///   Lease.ensureFresh(Now);  // on each call of the trainer
///   Lease.tick(Now);         // at least every 500 ms
///   if (Lease.state() == lease_state::Held) ... Lease.epoch()
///
/// A takeover is a conditional write with a higher epoch, so two owners never
/// have the same epoch. Clocks of other machines are not used: a lease counts
/// as expired when this process has observed the object unchanged for the whole
/// lease duration. An owner that cannot reach the store remains the owner,
/// because no other entry can take over without the store. Not thread-safe.
/// Store calls are asynchronous; their callbacks run on the owner's thread.

#ifndef CARDAMOM_ENTRY_TRAINER_LEASE_H
#define CARDAMOM_ENTRY_TRAINER_LEASE_H

#include "base/time.h"
#include "store/store_client.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cardamom {

struct lease_record {
  /// Empty when the lease was released.
  std::string Owner;
  /// Inner address of the owner.
  std::string Address;
  uint64_t Incarnation = 0;
  uint64_t Epoch = 0;
  uint64_t Step = 0;
};

std::string formatLease(const lease_record &Record);
/// Throws std::exception for a malformed value.
lease_record parseLease(std::string_view Json);

enum class lease_state {
  /// The object has not been read yet.
  Unknown,
  Held,
  /// Held by the entry in record().
  HeldByOther,
  /// The store is unavailable and the holder is unknown.
  Unavailable,
};

struct trainer_lease_options {
  using store_callback =
      std::function<void(const store_result &, time_point Now)>;

  std::string Key;
  /// Owner, Address and Incarnation of this process.
  lease_record Self;
  milliseconds Duration{10000};
  milliseconds RenewInterval{3000};
  std::function<void(const std::string &Key, store_callback Answer)> Get;
  std::function<void(const std::string &Key, const std::string &Value,
                     uint64_t IfVersion, store_callback Answer)>
      Put;
  /// Called after state() has been updated from the store, for example after an
  /// ensureFresh() that returned false, or when the lease was lost or released.
  std::function<void(time_point Now)> OnUpdated;
};

class trainer_lease {
public:
  explicit trainer_lease(trainer_lease_options Options);

  /// Returns true when the state is recent enough to use; otherwise reads the
  /// store, after which OnUpdated is called.
  bool ensureFresh(time_point Now);
  void tick(time_point Now);
  /// Stores the trainer's newest step in the lease object, with one write.
  void setStep(uint64_t Step, time_point Now);
  /// Releases the lease, so that the next owner does not wait for it to expire.
  void release(time_point Now);
  /// Called when a draw names an epoch above the one of this lease, which shows
  /// that another owner has taken over. Reads the object again.
  void onHigherEpoch(uint64_t HigherEpoch, time_point Now);

  [[nodiscard]] lease_state state() const { return State; }
  [[nodiscard]] uint64_t epoch() const { return Record.Epoch; }
  /// The record as last read or written.
  [[nodiscard]] const lease_record &record() const { return Record; }
  /// Step in the record when this process acquired the lease.
  [[nodiscard]] uint64_t inheritedStep() const { return InheritedStep; }
  [[nodiscard]] bool requestPending() const { return RequestPending; }

private:
  /// How long the state of another owner's lease is used before it is read
  /// again.
  [[nodiscard]] milliseconds rereadInterval() const;
  void readRecord(time_point Now);
  void onReadResult(const store_result &Result, time_point Now);
  void onRecordRead(const store_result &Result, time_point Now);
  void acquire(uint64_t Epoch, uint64_t Step, uint64_t IfVersion,
               time_point Now);
  void onAcquireResult(const store_result &Result,
                       const lease_record &NewRecord, time_point Now);
  void writeRecord(time_point Now);
  void onWriteResult(const store_result &Result, const lease_record &NewRecord,
                     time_point Now);
  void updateState(lease_state NewState, time_point Now);

  trainer_lease_options Options;
  lease_state State = lease_state::Unknown;
  lease_record Record;
  /// Object version at which Record was read or written.
  uint64_t Version = 0;
  /// Version last read, and since when it has been unchanged.
  uint64_t ObservedVersion = 0;
  time_point UnchangedSince{};
  time_point LastSuccessfulReadAt{};
  time_point LastReadAt{};
  time_point NextRenew{};
  /// The lease of another owner is observed until this time, because the
  /// trainer has called this entry.
  time_point ObserveUntil{};
  uint64_t InheritedStep = 0;
  bool RequestPending = false;
  bool Releasing = false;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_TRAINER_LEASE_H
