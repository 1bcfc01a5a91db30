/// \file
/// List of live and leaving VMs whose changes become visible with a delay.

#ifndef STANDINS_VM_LIST_H
#define STANDINS_VM_LIST_H

#include "standins/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace standins {

/// A change becomes visible, with a new version, after the delay that was
/// configured when it was scheduled. Changes become visible in the order in
/// which they were scheduled. Not thread-safe.
class vm_list {
public:
  void setDelay(milliseconds NewDelay) { Delay = NewDelay; }

  /// Schedules a change of state. State is "live" or "leaving"; any other value
  /// removes the VM.
  void scheduleChange(std::string Vm, std::string State, time_point Now) {
    Pending.push_back({Now + Delay, std::move(Vm), std::move(State)});
  }

  /// Makes the changes visible whose delay has passed.
  void publishDueChanges(time_point Now) {
    while (!Pending.empty() && Pending.front().Due <= Now) {
      pending_change &Change = Pending.front();
      if (Change.State == "live" || Change.State == "leaving")
        Published[Change.Vm] = Change.State;
      else
        Published.erase(Change.Vm);
      ++Version;
      Pending.pop_front();
    }
  }

  [[nodiscard]] uint64_t version() const { return Version; }
  /// Maps VM names to states.
  [[nodiscard]] const std::map<std::string, std::string> &vms() const {
    return Published;
  }

private:
  struct pending_change {
    time_point Due;
    std::string Vm;
    std::string State;
  };

  milliseconds Delay{0};
  std::deque<pending_change> Pending;
  std::map<std::string, std::string> Published;
  uint64_t Version = 1;
};

} // namespace standins

#endif // STANDINS_VM_LIST_H
