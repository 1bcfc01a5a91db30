/// \file
/// Decides whether a request may be sent to a replica on what this process
/// knows of the replicas. All paths that send new work ask it: unary calls,
/// hedges, streams, items, scoring calls and orders.
///
/// Use:
///   dispatch_gate Gate({.Loop = Loop, .Directory = Directory, ...});
///   if (!Gate.mayChoose(Now))
///     Gate.whenOpen([] { ... choose again ... });
///   Client.send(Address, Request, {.MayWrite = Gate.writeCheck(*Replica)});
///
/// A replica is chosen only on a list that is at most MaxAge old. An older
/// list, such as that of a process that was suspended, is renewed first. If it
/// cannot be renewed because the store does not respond, the process goes on
/// with what it knows. The choice is checked again when the request is written,
/// because connecting takes time.

#ifndef CARDAMOM_GATEWAY_DISPATCH_GATE_H
#define CARDAMOM_GATEWAY_DISPATCH_GATE_H

#include "base/time.h"

#include <functional>
#include <vector>

namespace cardamom {

class event_loop;
class replica_directory;
struct replica;

struct dispatch_gate_options {
  event_loop &Loop;
  const replica_directory &Directory;
  /// Maximum age of the list of replicas; zero = unlimited.
  milliseconds MaxAge{0};
  /// Time of the last response of the store that confirmed the list.
  std::function<time_point()> ConfirmedAt;
  /// Whether a renewal is expected to succeed.
  std::function<bool()> StoreReachable;
  /// Starts the renewal of the list.
  std::function<void()> Renew;
};

class dispatch_gate {
public:
  explicit dispatch_gate(dispatch_gate_options Options)
      : Options(std::move(Options)) {}

  [[nodiscard]] bool mayChoose(time_point Now) const;
  /// Renews the list and runs Task from the event loop when that has succeeded
  /// or failed.
  void whenOpen(std::function<void()> Task);
  /// To be called when the list was renewed or the store became unreachable.
  void onRenewalEnded();
  /// Check for call_hooks::MayWrite: whether the process of the replica still
  /// accepts new work.
  [[nodiscard]] std::function<bool()> writeCheck(const replica &Replica) const;

private:
  dispatch_gate_options Options;
  std::vector<std::function<void()>> PendingTasks;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_DISPATCH_GATE_H
