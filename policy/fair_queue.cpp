#include "policy/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace cardamom {

void fair_queue::removeIdle(level &Level, flow_map::iterator Flow) {
  Level.IdleByStart.erase({Flow->second.Start, Flow->first});
  Level.IdleByTime.erase({Flow->second.IdleSince, Flow->first});
}

void fair_queue::forgetIdle(level &Level, time_point Now) const {
  const auto Forget = [&Level](const std::string &Tenant) {
    const auto Flow = Level.Flows.find(Tenant);
    removeIdle(Level, Flow);
    Level.Flows.erase(Flow);
  };
  while (!Level.IdleByStart.empty() &&
         Level.IdleByStart.begin()->first <= Level.VirtualTime)
    Forget(std::string(Level.IdleByStart.begin()->second));
  while (!Level.IdleByTime.empty() &&
         Level.IdleByTime.begin()->first + Options.IdleTime <= Now)
    Forget(std::string(Level.IdleByTime.begin()->second));
}

void fair_queue::forgetIdleLevels(time_point Now) {
  for (auto It = Levels.begin(); It != Levels.end();) {
    forgetIdle(It->second, Now);
    It = It->second.Flows.empty() ? Levels.erase(It) : std::next(It);
  }
}

bool fair_queue::push(const fair_queue_entry &Entry, time_point Now) {
  if (!(Entry.Weight > 0) || !(Entry.Cost > 0) || Entries.contains(Entry.Id))
    return false;
  forgetIdleLevels(Now);
  level &Level = Levels[Entry.Priority];
  const auto [It, Added] = Level.Flows.try_emplace(Entry.Tenant);
  flow &Flow = It->second;
  const uint64_t Arrival = NextArrival++;
  if (Flow.Queue.empty()) {
    if (!Added)
      removeIdle(Level, It);
    Flow.Start = std::max(Flow.Start, Level.VirtualTime);
    Level.Heads.emplace(std::pair(Flow.Start, Arrival), It);
  }
  Flow.Weight = Entry.Weight;
  Flow.QueuedCost += Entry.Cost;
  Flow.Queue.emplace(Arrival, std::pair(Entry.Id, Entry.Cost));
  ++Level.Size;
  Entries.emplace(Entry.Id, location{.Priority = Entry.Priority,
                                     .Tenant = Entry.Tenant,
                                     .Arrival = Arrival,
                                     .Deadline = Entry.Deadline});
  Deadlines.emplace(Entry.Deadline, Entry.Id);
  return true;
}

void fair_queue::take(uint64_t Id, bool Served, time_point Now) {
  const auto Entry = Entries.find(Id);
  const location &Where = Entry->second;
  level &Level = Levels.at(Where.Priority);
  const auto It = Level.Flows.find(Where.Tenant);
  flow &Flow = It->second;
  const uint64_t FirstArrival = Flow.Queue.begin()->first;
  const double Cost = Flow.Queue.at(Where.Arrival).second;
  const bool WasFirst = FirstArrival == Where.Arrival;
  if (WasFirst)
    Level.Heads.erase({Flow.Start, FirstArrival});
  Flow.Queue.erase(Where.Arrival);
  Flow.QueuedCost = Flow.Queue.empty() ? 0 : Flow.QueuedCost - Cost;
  --Level.Size;
  if (Served) {
    Level.VirtualTime = std::max(Level.VirtualTime, Flow.Start);
    Flow.Start += Cost / Flow.Weight;
  }
  if (Flow.Queue.empty()) {
    Flow.IdleSince = Now;
    Level.IdleByStart.emplace(Flow.Start, It->first);
    Level.IdleByTime.emplace(Now, It->first);
  } else if (WasFirst) {
    Level.Heads.emplace(std::pair(Flow.Start, Flow.Queue.begin()->first), It);
  }
  Deadlines.erase({Where.Deadline, Id});
  Entries.erase(Entry);
  forgetIdleLevels(Now);
}

std::optional<uint64_t> fair_queue::pop(time_point Now) {
  for (const auto &[Priority, Level] : Levels) {
    if (Level.Heads.empty())
      continue;
    const auto Flow = Level.Heads.begin()->second;
    const uint64_t Id = Flow->second.Queue.begin()->second.first;
    take(Id, /*Served=*/true, Now);
    return Id;
  }
  return std::nullopt;
}

bool fair_queue::remove(uint64_t Id, time_point Now) {
  if (!Entries.contains(Id))
    return false;
  take(Id, /*Served=*/false, Now);
  return true;
}

std::vector<uint64_t> fair_queue::expire(time_point Now) {
  std::vector<uint64_t> Expired;
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    Expired.push_back(Deadlines.begin()->second);
    take(Expired.back(), /*Served=*/false, Now);
  }
  return Expired;
}

std::optional<time_point> fair_queue::nextDeadline() const {
  if (Deadlines.empty())
    return std::nullopt;
  return Deadlines.begin()->first;
}

size_t fair_queue::ahead(std::string_view Tenant, unsigned Priority,
                         double Weight) const {
  size_t Count = 0;
  for (const auto &[Other, Level] : Levels) {
    if (Other > Priority)
      break;
    if (Other < Priority) {
      Count += Level.Size;
      continue;
    }
    double Start = Level.VirtualTime;
    if (const auto Own = Level.Flows.find(Tenant); Own != Level.Flows.end())
      Start =
          std::max(Start, Own->second.Start) + Own->second.QueuedCost / Weight;
    for (const auto &[Key, Flow] : Level.Heads) {
      const flow &Queued = Flow->second;
      if (Key.first > Start)
        break;
      if (Flow->first == Tenant) {
        Count += Queued.Queue.size();
        continue;
      }
      const double MeanCost = Queued.QueuedCost / double(Queued.Queue.size());
      const double Before =
          1 + (Start - Queued.Start) * Queued.Weight / MeanCost;
      Count += size_t(std::min(double(Queued.Queue.size()), Before));
    }
  }
  return Count;
}

size_t fair_queue::rememberedTenants() const {
  size_t Count = 0;
  for (const auto &[Priority, Level] : Levels)
    Count += Level.Flows.size();
  return Count;
}

} // namespace cardamom
