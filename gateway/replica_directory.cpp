#include "gateway/replica_directory.h"

#include "base/metrics.h"

#include <algorithm>
#include <set>

namespace cardamom {

replica_directory::replica_directory(replica_directory_options Options)
    : Options(std::move(Options)), Pace([this] {
        replica_pace_options PaceOptions = this->Options.Pace;
        PaceOptions.Log = [this](std::string_view Event, std::string_view Id,
                                 std::string_view Reason) {
          if (Event == "replica_paced")
            metrics::get()
                .counter("replicas_paced_total", "reason", Reason)
                .add();
          if (const replica *Replica = find(Id))
            log(Event, *Replica, std::string(Reason));
        };
        return PaceOptions;
      }()) {}

static replica_pace::process processOf(const replica &Replica) {
  return {.Service = Replica.Service,
          .Slots = Replica.Slots,
          .StartedAtMs = Replica.StartedAtMs};
}

void replica_directory::log(std::string_view Event, const replica &Replica,
                            const std::string &Detail) const {
  if (Options.Log)
    Options.Log(Event, Replica, Detail);
}

void replica_directory::replaceAll(std::span<const replica> Replicas,
                                   std::optional<time_point> GraceUntil,
                                   time_point Now) {
  std::set<std::string, std::less<>> Listed;
  for (const replica &Replica : Replicas) {
    Listed.insert(Replica.Id);
    update(Replica, Now);
  }
  std::vector<std::string> Missing;
  for (const auto &[Id, Entry] : Entries)
    if (!Listed.contains(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    remove(Id, GraceUntil, Now);
  if (!FirstListAt)
    FirstListAt = Now;
}

void replica_directory::update(const replica &Listed, time_point Now) {
  replica Replica = Listed;
  if (isLeaving(Replica)) {
    Replica.Draining = true;
    Departures.find(Replica.Id)->second.At = Now;
  }
  const auto It = Entries.find(Replica.Id);
  if (It == Entries.end()) {
    add(Replica, Now);
    return;
  }
  entry &Entry = It->second;
  Entry.GraceUntil.reset();
  const replica Old = std::move(Entry.Replica);
  Entry.Replica = Replica;
  if (Old.StartedAtMs != Replica.StartedAtMs ||
      Old.Address != Replica.Address) {
    // A new process under the same id: everything observed so far is obsolete.
    Entry.Failures = 0;
    Entry.BackoffUntil = {};
    Entry.Load.reset();
    Entry.LoadUnreadableReported = false;
    log("replica_restarted", Replica, std::to_string(Replica.StartedAtMs));
    Pace.start(Replica.Id, processOf(Replica), "restarted", Now);
    return;
  }
  Pace.add(Replica.Id, processOf(Replica));
  // The list lags behind the versions observed in calls. Versions never
  // decrease during the lifetime of a process.
  for (const auto &[Model, Version] : Old.Versions) {
    uint64_t &Known = Entry.Replica.Versions[Model];
    Known = std::max(Known, Version);
  }
  if (Old.Draining != Replica.Draining)
    log("replica_state", Replica, Replica.Draining ? "draining" : "ready");
}

void replica_directory::add(const replica &Replica, time_point Now) {
  Entries[Replica.Id].Replica = Replica;
  log("replica_added", Replica, Replica.Draining ? "draining" : "ready");
  // The list of a process that has just started may be incomplete, because the
  // replicas may be starting as well.
  const bool IsNew = FirstListAt && Now - *FirstListAt > Options.StartupGrace;
  if (IsNew && !Replica.Draining)
    Pace.start(Replica.Id, processOf(Replica), "new", Now);
  else
    Pace.add(Replica.Id, processOf(Replica));
}

void replica_directory::remove(std::string_view Id,
                               std::optional<time_point> GraceUntil,
                               time_point Now) {
  const auto It = Entries.find(Id);
  if (It == Entries.end())
    return;
  if (GraceUntil && Now < *GraceUntil && !It->second.Replica.Draining) {
    if (!It->second.GraceUntil) {
      It->second.GraceUntil = GraceUntil;
      log("replica_missing", It->second.Replica,
          "not listed after a store outage");
    }
    return;
  }
  log("replica_removed", It->second.Replica, {});
  Pace.remove(Id);
  Entries.erase(It);
}

bool replica_directory::isLeaving(const replica &Replica) const {
  const auto It = Departures.find(Replica.Id);
  return It != Departures.end() &&
         It->second.StartedAtMs == Replica.StartedAtMs &&
         It->second.Address == Replica.Address;
}

void replica_directory::onLeaving(entry &Entry, time_point Now) {
  replica &Replica = Entry.Replica;
  Departures[Replica.Id] = {.StartedAtMs = Replica.StartedAtMs,
                            .Address = Replica.Address,
                            .At = Now};
  if (Replica.Draining)
    return;
  Replica.Draining = true;
  log("replica_state", Replica, "leaving, as its response says");
}

void replica_directory::onResponseHead(std::string_view Id,
                                       uint64_t StartedAtMs,
                                       std::string_view RequestId,
                                       const upstream_head &Head,
                                       time_point Now) {
  const auto It = Entries.find(Id);
  if (It == Entries.end() || It->second.Replica.StartedAtMs != StartedAtMs ||
      Head.RequestId != RequestId || Head.WrongReplica)
    return;
  if (Head.LoadUnreadable && !It->second.LoadUnreadableReported) {
    It->second.LoadUnreadableReported = true;
    log("load_unreadable", It->second.Replica, {});
  }
  if (Head.Load) {
    It->second.Load = load_sample{.Report = *Head.Load, .At = Now};
    Pace.onReport(Id, Head.Load->Running + Head.Load->Waiting, Now);
  }
  if (Head.Leaving)
    onLeaving(It->second, Now);
}

void replica_directory::expire(time_point Now) {
  std::erase_if(Departures, [&](const auto &Item) {
    return !Entries.contains(Item.first) &&
           Now - Item.second.At > Options.DepartureRetention;
  });
  std::erase_if(Entries, [&](const auto &Item) {
    const entry &Entry = Item.second;
    if (!Entry.GraceUntil || Now < *Entry.GraceUntil)
      return false;
    log("replica_removed", Entry.Replica,
        "not registered again after a store outage");
    Pace.remove(Item.first);
    return true;
  });
}

const replica *replica_directory::find(std::string_view Id) const {
  const auto It = Entries.find(Id);
  return It == Entries.end() ? nullptr : &It->second.Replica;
}

std::vector<const replica *> replica_directory::usable(std::string_view Service,
                                                       time_point Now) const {
  std::vector<const replica *> Healthy;
  std::vector<const replica *> InBackoff;
  for (const auto &[Id, Entry] : Entries) {
    if (Entry.Replica.Service != Service || Entry.Replica.Draining)
      continue;
    (Now < Entry.BackoffUntil ? InBackoff : Healthy).push_back(&Entry.Replica);
  }
  return Healthy.empty() ? InBackoff : Healthy;
}

std::vector<const replica *>
replica_directory::listed(std::string_view Service) const {
  std::vector<const replica *> Found;
  for (const auto &[Id, Entry] : Entries)
    if (Entry.Replica.Service == Service)
      Found.push_back(&Entry.Replica);
  return Found;
}

bool replica_directory::acceptsWork(std::string_view Id,
                                    uint64_t StartedAtMs) const {
  const replica *Replica = find(Id);
  return Replica && !Replica->Draining && Replica->StartedAtMs == StartedAtMs;
}

void replica_directory::onCallFailed(std::string_view Id, time_point Now) {
  const auto It = Entries.find(Id);
  if (It == Entries.end())
    return;
  entry &Entry = It->second;
  ++Entry.Failures;
  if (Entry.Failures < Options.FailureThreshold)
    return;
  const unsigned Doublings =
      std::min(Entry.Failures - Options.FailureThreshold, 10U);
  const milliseconds Backoff =
      std::min(Options.MinBackoff * (1U << Doublings), Options.MaxBackoff);
  Entry.BackoffUntil = Now + Backoff;
  log("replica_avoided", Entry.Replica,
      std::to_string(Entry.Failures) + " failures, " +
          std::to_string(Backoff.count()) + " ms");
  Pace.onFailure(Id, Now);
}

void replica_directory::onAnswerTime(
    std::string_view Id, uint64_t StartedAtMs, pace_measure Measure,
    std::chrono::duration<double, std::milli> Time) {
  const replica *Replica = find(Id);
  if (Replica && Replica->StartedAtMs == StartedAtMs)
    Pace.onAnswer(Id, Measure, Time.count());
}

void replica_directory::onCallSucceeded(std::string_view Id) {
  const auto It = Entries.find(Id);
  if (It == Entries.end())
    return;
  It->second.Failures = 0;
  It->second.BackoffUntil = {};
}

bool replica_directory::inBackoff(std::string_view Id, time_point Now) const {
  const auto It = Entries.find(Id);
  return It != Entries.end() && Now < It->second.BackoffUntil;
}

std::optional<replica_directory::load_sample>
replica_directory::load(std::string_view Id) const {
  const auto It = Entries.find(Id);
  return It == Entries.end() ? std::nullopt : It->second.Load;
}

void replica_directory::setVersion(std::string_view Id, std::string_view Model,
                                   uint64_t Version) {
  const auto It = Entries.find(Id);
  if (It == Entries.end())
    return;
  It->second.Replica.Versions[std::string(Model)] = Version;
}

} // namespace cardamom
