#include "policy/replica_pace.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace cardamom {

replica_pace::replica_pace(replica_pace_options Options)
    : Options(std::move(Options)) {}

unsigned replica_pace::firstLimit(const state &State) const {
  return std::max(1U, unsigned(Options.FirstPortion * State.Slots));
}

void replica_pace::add(std::string_view Replica, const process &Process) {
  auto It = Replicas.find(Replica);
  if (It == Replicas.end())
    It = Replicas.emplace(std::string(Replica), state{}).first;
  else if (It->second.StartedAtMs != Process.StartedAtMs)
    It->second = {};
  It->second.Service = Process.Service;
  It->second.Slots = std::max(1U, Process.Slots);
  It->second.StartedAtMs = Process.StartedAtMs;
}

void replica_pace::start(std::string_view Replica, const process &Process,
                         std::string_view Reason, time_point Now) {
  add(Replica, Process);
  limitToFirst(Replica, Replicas.find(Replica)->second, Reason, Now);
}

void replica_pace::limitToFirst(std::string_view Replica, state &State,
                                std::string_view Reason, time_point Now) {
  // A replica with one slot cannot be limited further.
  if (State.Slots <= firstLimit(State))
    return;
  const bool WasLimited = State.Limit != 0;
  if (!WasLimited && !mayLimit(State.Service))
    return;
  State.Limit = firstLimit(State);
  State.Steps = {};
  State.ProbeDelay = firstProbeDelay();
  setProbe(State, 0, Now);
  if (WasLimited)
    return;
  State.Reason = Reason;
  if (Options.Log)
    Options.Log("replica_paced", Replica, Reason);
}

bool replica_pace::mayLimit(std::string_view Service) const {
  size_t Count = 0;
  size_t Limited = 0;
  for (const auto &[Id, State] : Replicas) {
    if (State.Service != Service)
      continue;
    ++Count;
    Limited += State.Limit != 0;
  }
  return double(Limited + 1) <=
         std::max(1.0, Options.MaxLimitedPart * double(Count));
}

void replica_pace::remove(std::string_view Replica) {
  const auto It = Replicas.find(Replica);
  if (It != Replicas.end())
    Replicas.erase(It);
}

void replica_pace::onDispatch(std::string_view Replica, time_point Now) {
  const auto It = Replicas.find(Replica);
  if (It == Replicas.end() || It->second.Limit == 0)
    return;
  setProbe(It->second, 0.5, Now);
}

void replica_pace::setProbe(state &State, double Share, time_point Now) const {
  State.ProbeAt =
      Now +
      milliseconds(long((Share + random()) * double(State.ProbeDelay.count())));
}

void replica_pace::delayProbes(state &State) const {
  State.ProbeDelay =
      std::min(State.ProbeDelay * 2,
               firstProbeDelay() * (1U << Options.MaxProbeDoublings));
}

void replica_pace::onReport(std::string_view Replica, unsigned Requests,
                            time_point Now) {
  const auto It = Replicas.find(Replica);
  if (It == Replicas.end() || It->second.Limit == 0)
    return;
  state &State = It->second;
  if (Requests < State.Limit)
    State.ProbeDelay =
        std::max(Options.MinProbeDelay, State.ProbeDelay * 3 / 4);
  else
    delayProbes(State);
  setProbe(State, 0.5, Now);
}

/// Time that an answer is compared with; 0 = nothing to compare with.
double replica_pace::referenceMs(const state &Own, size_t Measure) const {
  std::vector<double> Levels;
  for (const auto &[Id, Peer] : Replicas)
    if (&Peer != &Own && Peer.Limit == 0 && Peer.LevelMs[Measure] > 0 &&
        Peer.Service == Own.Service)
      Levels.push_back(Peer.LevelMs[Measure]);
  if (Levels.empty())
    return Own.LevelMs[Measure] > 0 ? Own.LevelMs[Measure]
                                    : Own.Steps[Measure].PreviousMs;
  const auto Middle = Levels.begin() + long(Levels.size() / 2);
  std::nth_element(Levels.begin(), Middle, Levels.end());
  return *Middle;
}

void replica_pace::onAnswer(std::string_view Replica, pace_measure Measure,
                            double TimeMs) {
  const auto It = Replicas.find(Replica);
  if (It == Replicas.end() || TimeMs < 0)
    return;
  state &State = It->second;
  const auto Index = size_t(Measure);
  if (State.Limit == 0) {
    double &Level = State.LevelMs[Index];
    Level = Level == 0 ? std::max(TimeMs, 0.001)
                       : Level + Options.LevelSmoothing * (TimeMs - Level);
    return;
  }
  step &Step = State.Steps[Index];
  Step.SumMs += TimeMs;
  const unsigned Needed = Measure == pace_measure::Call
                              ? Options.CallsPerStep
                              : Options.IntervalsPerStep;
  if (++Step.Count < Needed)
    return;
  const double MeanMs = Step.SumMs / Step.Count;
  const double Reference = referenceMs(State, Index);
  const bool Slow =
      Reference > 0 && MeanMs > Reference * Options.SlowRatio + Options.SlackMs;
  Step = {.Count = 0, .SumMs = 0, .PreviousMs = MeanMs};
  if (Slow) {
    delayProbes(State);
    State.Limit = std::max(1U, State.Limit / 2);
    return;
  }
  State.Limit *= 2;
  if (State.Limit < State.Slots)
    return;
  State.Limit = 0;
  State.Steps = {};
  if (Options.Log)
    Options.Log("replica_full_pace", Replica, State.Reason);
}

void replica_pace::onFailure(std::string_view Replica, time_point Now) {
  const auto It = Replicas.find(Replica);
  if (It == Replicas.end())
    return;
  state &State = It->second;
  if (State.Limit == 0)
    return limitToFirst(Replica, State, "failures", Now);
  State.Limit = std::max(1U, State.Limit / 2);
  for (step &Step : State.Steps)
    Step = {.Count = 0, .SumMs = 0, .PreviousMs = Step.PreviousMs};
}

void replica_pace::onRefusal(std::string_view Replica) {
  const auto It = Replicas.find(Replica);
  if (It == Replicas.end() || It->second.Limit == 0)
    return;
  It->second.Limit = std::max(1U, It->second.Limit / 2);
  for (step &Step : It->second.Steps)
    Step = {.Count = 0, .SumMs = 0, .PreviousMs = Step.PreviousMs};
}

std::optional<unsigned> replica_pace::limit(std::string_view Replica) const {
  const auto It = Replicas.find(Replica);
  if (It == Replicas.end() || It->second.Limit == 0)
    return std::nullopt;
  return It->second.Limit;
}

bool replica_pace::hasRoom(std::string_view Replica, const occupancy &Occupancy,
                           time_point Now) const {
  const auto It = Replicas.find(Replica);
  if (It == Replicas.end() || It->second.Limit == 0)
    return true;
  const state &State = It->second;
  if (!isRecent(Occupancy))
    return Occupancy.Own == 0 && Now >= State.ProbeAt;
  return Occupancy.Occupied < State.Limit;
}

std::vector<size_t>
replica_pace::preferred(std::span<const candidate> Candidates,
                        time_point Now) const {
  std::vector<size_t> NotFull;
  std::vector<size_t> WithRoom;
  std::optional<size_t> LeastFilled;
  std::optional<size_t> Probe;
  double LeastFilling = std::numeric_limits<double>::infinity();
  bool AllLimited = true;
  bool AllFull = true;
  for (size_t I = 0; I < Candidates.size(); ++I) {
    const candidate &Candidate = Candidates[I];
    const std::optional<unsigned> Limit = limit(Candidate.Replica);
    AllLimited = AllLimited && Limit;
    const double Filling =
        Candidate.Occupancy.Occupied / Limit.value_or(Candidate.Slots);
    if (Filling < LeastFilling) {
      LeastFilling = Filling;
      LeastFilled = I;
    }
    // Without a recent report, a limited replica may be full as well.
    if (Candidate.Occupancy.Occupied < Candidate.Slots &&
        Candidate.Occupancy.ReportAge &&
        *Candidate.Occupancy.ReportAge <= Options.MaxFullReportAge)
      NotFull.push_back(I);
    if (!hasRoom(Candidate.Replica, Candidate.Occupancy, Now))
      continue;
    if (Limit && !isRecent(Candidate.Occupancy))
      Probe = I;
    WithRoom.push_back(I);
    if (Candidate.Occupancy.Occupied < Candidate.Slots)
      AllFull = false;
  }
  if (WithRoom.empty() && AllLimited && LeastFilled)
    return {*LeastFilled};
  if (Probe)
    return {*Probe};
  return AllFull && !NotFull.empty() ? NotFull : WithRoom;
}

void replica_pace::reduce(std::span<item_room> Rooms) const {
  item_room *LeastFilled = nullptr;
  double LeastFilling = std::numeric_limits<double>::infinity();
  unsigned KeptSlots = 0;
  bool AllLimited = true;
  unsigned Room = 0;
  for (item_room &Entry : Rooms) {
    const std::optional<unsigned> Limit = limit(Entry.Replica);
    if (!Limit) {
      AllLimited = false;
      continue;
    }
    const double Filling = double(Entry.Running) / *Limit;
    if (Entry.FreeSlots > 0 && Filling < LeastFilling) {
      LeastFilling = Filling;
      LeastFilled = &Entry;
      KeptSlots = Entry.FreeSlots;
    }
    Entry.FreeSlots =
        std::min(Entry.FreeSlots, *Limit - std::min(*Limit, Entry.Running));
    Room += Entry.FreeSlots;
  }
  if (AllLimited && Room == 0 && LeastFilled)
    LeastFilled->FreeSlots = KeptSlots;
}

} // namespace cardamom
