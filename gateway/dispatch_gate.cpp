#include "gateway/dispatch_gate.h"

#include "base/metrics.h"
#include "gateway/replica_directory.h"
#include "http/event_loop.h"

namespace cardamom {

bool dispatch_gate::mayChoose(time_point Now) const {
  return Options.MaxAge.count() == 0 ||
         Now - Options.ConfirmedAt() <= Options.MaxAge ||
         !Options.StoreReachable();
}

void dispatch_gate::whenOpen(std::function<void()> Task) {
  metrics::get().counter("requests_held_for_renewal_total").add();
  PendingTasks.push_back(std::move(Task));
  if (PendingTasks.size() == 1)
    Options.Renew();
}

void dispatch_gate::onRenewalEnded() {
  const auto Tasks = std::move(PendingTasks);
  PendingTasks.clear();
  for (const std::function<void()> &Task : Tasks)
    Options.Loop.post(Task);
}

std::function<bool()> dispatch_gate::writeCheck(const replica &Replica) const {
  return [this, Id = Replica.Id, StartedAtMs = Replica.StartedAtMs] {
    return mayChoose(event_loop::now()) &&
           Options.Directory.acceptsWork(Id, StartedAtMs);
  };
}

} // namespace cardamom
