/// \file
/// Lease of one trainer's steps: object "trainers/{trainer}" in the store.
///
/// Use:
///   lease_keeper Lease({.Key = "trainers/t1", .Self = {...}, .Get = ...});
///   Lease.ensure(Now);       // on each call of the trainer
///   Lease.tick(Now);         // at least every 500 ms
///   if (Lease.state() == lease_state::Mine) ... Lease.epoch()
///
/// A takeover is a conditional update with a higher epoch, so that no two
/// owners ever have the same epoch. Clocks of other machines play no part: a
/// lease has expired when this process has seen the object unchanged for the
/// whole time. An owner that cannot reach the store stays owner, because nobody
/// else can take over without the store. Not thread-safe; store calls are
/// asynchronous and answer on the owner's thread.

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
  /// Not read yet.
  Unknown,
  Held,
  /// Held by the entry in holder().
  HeldByOther,
  /// The store did not answer and no holder is known.
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
  /// Called after an ensure() that had to ask the store is settled, and when
  /// the lease was lost.
  std::function<void(time_point Now)> OnUpdated;
};

class trainer_lease {
public:
  explicit trainer_lease(trainer_lease_options Options);

  /// Returns true when the state is recent enough to act on; otherwise
  /// OnSettled follows.
  bool ensureFresh(time_point Now);
  void tick(time_point Now);
  /// Records the newest step of the trainer with one write.
  void setStep(uint64_t Step, time_point Now);
  /// Gives the lease up, so that the next entry need not wait for its end.
  void release(time_point Now);
  /// A draw proves that another owner has a higher epoch.
  void onHigherEpoch(uint64_t SeenEpoch, time_point Now);

  [[nodiscard]] lease_state state() const { return State; }
  [[nodiscard]] uint64_t epoch() const { return Record.Epoch; }
  /// The record as last read or written.
  [[nodiscard]] const lease_record &record() const { return Record; }
  /// Step in the record when this process took the lease.
  [[nodiscard]] uint64_t inheritedStep() const { return InheritedStep; }
  [[nodiscard]] bool requestPending() const { return RequestPending; }

private:
  /// How long what was read of another owner's lease is used.
  [[nodiscard]] milliseconds rereadInterval() const;
  void read(time_point Now);
  void onReadResult(const store_result &Result, time_point Now);
  void onRecordRead(const store_result &Result, time_point Now);
  void acquire(uint64_t Epoch, uint64_t Step, uint64_t IfVersion,
               time_point Now);
  void onAcquireResult(const store_result &Result, const lease_record &Wanted,
                       time_point Now);
  void write(time_point Now);
  void onWriteResult(const store_result &Result, const lease_record &Wanted,
                     time_point Now);
  void updateState(lease_state Next, time_point Now);

  trainer_lease_options Options;
  lease_state State = lease_state::Unknown;
  lease_record Record;
  /// Version of the object that Record came from or was written as.
  uint64_t Version = 0;
  /// Version last read and since when it has been unchanged.
  uint64_t ObservedVersion = 0;
  time_point UnchangedSince{};
  /// Last successful read.
  time_point LastSuccessfulReadAt{};
  time_point LastReadAt{};
  time_point NextRenew{};
  /// Until then the lease of another owner is observed, because the trainer
  /// has called here.
  time_point ObserveUntil{};
  uint64_t InheritedStep = 0;
  bool RequestPending = false;
  bool Releasing = false;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_TRAINER_LEASE_H
