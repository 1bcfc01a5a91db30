#include "entry/trace_ring.h"

namespace cardamom {

void trace_ring::add(std::string_view RequestId, std::string_view Event,
                     std::string_view Detail, time_point Now) {
  std::lock_guard Lock(Mutex);
  auto It = Index.find(RequestId);
  if (It == Index.end()) {
    if (Slots.size() < MaxRequests)
      Slots.emplace_back();
    slot &Slot = Slots[Next];
    Index.erase(Slot.RequestId);
    Slot.RequestId = RequestId;
    Slot.Events.clear();
    It = Index.emplace(Slot.RequestId, Next).first;
    Next = (Next + 1) % MaxRequests;
  }
  std::vector<trace_event> &Events = Slots[It->second].Events;
  if (Events.size() < MaxEvents)
    Events.push_back({Now, std::string(Event), std::string(Detail)});
}

std::optional<std::vector<trace_event>>
trace_ring::find(std::string_view RequestId) const {
  std::lock_guard Lock(Mutex);
  const auto It = Index.find(RequestId);
  if (It == Index.end())
    return std::nullopt;
  return Slots[It->second].Events;
}

} // namespace cardamom
