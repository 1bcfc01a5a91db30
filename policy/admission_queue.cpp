#include "policy/admission_queue.h"

#include <algorithm>
#include <utility>

namespace cardamom {

admission_queue::admission_queue(admission_options Options) : Options(Options) {
  setSlots(Options.Slots);
}

void admission_queue::setSlots(unsigned Slots) {
  Options.Slots = std::max(1U, Slots);
}

size_t admission_queue::waitingCount(priority_class Class) const {
  return queueOf(Class).size();
}

size_t admission_queue::preemptibleRunCount() const {
  return size_t(std::count_if(Active.begin(), Active.end(), [](auto &Entry) {
    return Entry.second.Preemptible && !Entry.second.Preempted;
  }));
}

milliseconds admission_queue::predictedWait(priority_class Class,
                                            time_point Now) const {
  size_t RequestsAhead = 0;
  double WorkMs = 0;
  for (size_t I = 0; I <= size_t(Class); ++I) {
    RequestsAhead += Queues[I].size();
    WorkMs += double(Queues[I].size()) * ClassServiceMs[I];
  }
  size_t FreeSlots =
      Options.Slots - std::min<size_t>(Options.Slots, Active.size());
  if (Class == priority_class::Live)
    FreeSlots += preemptibleRunCount();
  if (RequestsAhead < FreeSlots)
    return milliseconds(0);
  for (const auto &[Id, Run] : Active) {
    const std::chrono::duration<double, std::milli> Elapsed = Now - Run.Start;
    WorkMs +=
        std::max(0.0, ClassServiceMs[size_t(Run.Class)] - Elapsed.count());
  }
  return milliseconds(int64_t(WorkMs / Options.Slots));
}

admission_refusal admission_queue::tryEnqueue(const admission_request &Request,
                                              time_point Now) {
  const auto Index = size_t(Request.Class);
  if (Queues[Index].size() >= Options.QueueCapacities[Index])
    return admission_refusal::QueueFull;
  const bool HasDeadline = Request.TimeToDeadline > milliseconds(0);
  if (HasDeadline && predictedWait(Request.Class, Now) > Request.TimeToDeadline)
    return admission_refusal::DeadlineUnreachable;
  const time_point Deadline =
      HasDeadline ? Now + Request.TimeToDeadline : time_point::max();
  Queues[Index].push_back({Request, Deadline});
  return admission_refusal::None;
}

std::optional<std::string> admission_queue::startNext(time_point Now) {
  if (Active.size() >= Options.Slots)
    return std::nullopt;
  const auto HasWaiting = [](const queue &Q) { return !Q.empty(); };
  const auto Highest = std::find_if(Queues.begin(), Queues.end(), HasWaiting);
  if (Highest == Queues.end())
    return std::nullopt;
  const auto Lowest = std::find_if(Queues.rbegin(), Queues.rend(), HasWaiting);
  const bool IsContended = &*Highest != &*Lowest;
  const bool TakeLowest =
      IsContended && ++ContendedStarts % Options.LowestClassInterval == 0;
  queue &Chosen = TakeLowest ? *Lowest : *Highest;
  const admission_request Request = std::move(Chosen.front().Request);
  Chosen.pop_front();
  const bool Preemptible = Request.Preemptible &&
                           Request.Class != priority_class::Live && !TakeLowest;
  Active.emplace(Request.Id, active_run{.Class = Request.Class,
                                        .Preemptible = Preemptible,
                                        .StartOrder = ++LastStartOrder,
                                        .Start = Now});
  return Request.Id;
}

std::optional<std::string> admission_queue::pickPreemptionVictim() {
  if (Active.size() < Options.Slots)
    return std::nullopt;
  size_t PendingPreemptions = 0;
  active_run *Victim = nullptr;
  std::string_view VictimId;
  for (auto &[Id, Run] : Active) {
    PendingPreemptions += Run.Preempted ? 1 : 0;
    if (!Run.Preemptible || Run.Preempted)
      continue;
    if (Victim != nullptr && Victim->StartOrder > Run.StartOrder)
      continue;
    Victim = &Run;
    VictimId = Id;
  }
  // Runs above a lowered limit do not free a slot when they end.
  const size_t RunsAboveLimit = Active.size() - Options.Slots;
  if (Victim == nullptr ||
      queueOf(priority_class::Live).size() + RunsAboveLimit <=
          PendingPreemptions ||
      queueOf(priority_class::Live).empty())
    return std::nullopt;
  Victim->Preempted = true;
  return std::string(VictimId);
}

void admission_queue::updateServiceTime(priority_class Class, double Ms) {
  const auto Update = [&](double &Average) {
    Average = Average == 0
                  ? Ms
                  : Average + Options.ServiceTimeSmoothing * (Ms - Average);
  };
  Update(ClassServiceMs[size_t(Class)]);
  Update(OverallServiceMs);
}

void admission_queue::onFinish(std::string_view Id, bool Completed,
                               time_point Now) {
  const auto It = Active.find(Id);
  if (It == Active.end())
    return;
  const std::chrono::duration<double, std::milli> Elapsed =
      Now - It->second.Start;
  if (Completed)
    updateServiceTime(It->second.Class, Elapsed.count());
  Active.erase(It);
}

bool admission_queue::remove(std::string_view Id) {
  for (queue &Q : Queues) {
    const auto It = std::find_if(Q.begin(), Q.end(), [&](auto &Entry) {
      return Entry.Request.Id == Id;
    });
    if (It == Q.end())
      continue;
    Q.erase(It);
    return true;
  }
  return false;
}

std::vector<std::string> admission_queue::removeExpired(time_point Now) {
  std::vector<std::string> Expired;
  for (queue &Q : Queues)
    std::erase_if(Q, [&](auto &Entry) {
      if (Entry.Deadline > Now)
        return false;
      Expired.push_back(Entry.Request.Id);
      return true;
    });
  return Expired;
}

} // namespace cardamom
