/// \file
/// Limits the requests that a replica may have at once while it is new or has
/// just recovered, by how its answers compare with those of its peers.
///
/// Use:
///   replica_pace Pace({.Random = ..., .Log = ...});
///   Pace.start("replica", {"service", Slots, StartedAtMs}, "new", Now);
///   if (Pace.hasRoom("replica", {.Occupied = 1, .ReportAge = Age}, Now)) ...
///   Pace.onAnswer("replica", pace_measure::Call, ElapsedMs);
///
/// Reads no clock and does no I/O. The state is bounded by the number of
/// replicas. onAnswer() costs O(replicas) while the replica is limited and
/// O(log replicas) otherwise.

#ifndef CARDAMOM_POLICY_REPLICA_PACE_H
#define CARDAMOM_POLICY_REPLICA_PACE_H

#include "base/time.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

/// What a time is of. Times of different kinds are never compared.
enum class pace_measure { Call, EventInterval };

struct replica_pace_options {
  /// Uniform random number in [0, 1); without it, 0.
  std::function<double()> Random;
  std::function<void(std::string_view Event, std::string_view Replica,
                     std::string_view Reason)>
      Log;
  /// Largest part of a service's replicas that is limited at a time, but at
  /// least one. Where more start or fail together, limits on all of them would
  /// cost callers more than cold replicas do.
  double MaxLimitedPart = 0.25;
  /// First limit, as a portion of the slots.
  double FirstPortion = 0.125;
  /// An answer this much slower than the reference counts as slow. One answer
  /// in three that takes 2.5 times as long, as on shared VMs, stays below.
  double SlowRatio = 1.8;
  /// Differences below this are noise of the timers.
  double SlackMs = 5;
  /// Answers, and intervals between events, that decide on a new limit.
  unsigned CallsPerStep = 3;
  unsigned IntervalsPerStep = 8;
  /// Weight of a new time in a replica's level.
  double LevelSmoothing = 0.1;
  /// Age from which on a load report does not tell what others send: with 25
  /// processes, older reports made each of them use the same free slot.
  milliseconds MaxReportAge{50};
  /// Age up to which a report is used if all replicas with room are full:
  /// better an outdated choice than a queue.
  milliseconds MaxFullReportAge{500};
  /// Without a recent report, each process sends one request at a random time
  /// within ProbePeriod x Processes. Twice this period kept a replica that
  /// starts during a rolling release unused for too long in the simulation. A
  /// process shortens its time after a report that shows room, and doubles it
  /// after one that shows none and after slow answers, within the given bounds.
  milliseconds ProbePeriod{80};
  milliseconds MinProbeDelay{20};
  unsigned MaxProbeDoublings = 1;
  /// Returns the number of processes that send to the same replicas; without
  /// it, 1.
  std::function<size_t()> Processes;
};

class replica_pace {
public:
  explicit replica_pace(replica_pace_options Options);

  struct process {
    std::string_view Service;
    unsigned Slots = 1;
    /// Start of the process in Unix milliseconds.
    uint64_t StartedAtMs = 0;
  };
  /// Records a replica without limiting it. What is known of it is forgotten if
  /// its start time differs.
  void add(std::string_view Replica, const process &Process);
  /// Limits the replica to the first portion of its slots.
  void start(std::string_view Replica, const process &Process,
             std::string_view Reason, time_point Now);
  void remove(std::string_view Replica);

  void onDispatch(std::string_view Replica, time_point Now);
  /// Records the requests that the replica reports, running and waiting.
  void onReport(std::string_view Replica, unsigned Requests, time_point Now);
  /// Records the duration of a completed call, or the time between two events.
  void onAnswer(std::string_view Replica, pace_measure Measure, double TimeMs);
  /// Records a failed request: the replica is limited from now on.
  void onFailure(std::string_view Replica, time_point Now);
  /// Records a request that the replica refused because it is full.
  void onRefusal(std::string_view Replica);

  /// Requests that the replica may have at once; nullopt = unlimited.
  [[nodiscard]] std::optional<unsigned> limit(std::string_view Replica) const;

  struct occupancy {
    /// Requests at the replica, by its report and this process's dispatches
    /// since.
    double Occupied = 0;
    /// Requests of this process that have not ended.
    unsigned Own = 0;
    /// nullopt = the replica has not reported its load.
    std::optional<time_point::duration> ReportAge;
  };
  [[nodiscard]] bool hasRoom(std::string_view Replica,
                             const occupancy &Occupancy, time_point Now) const;

  struct candidate {
    std::string_view Replica;
    unsigned Slots = 1;
    occupancy Occupancy;
  };
  /// Returns the indexes of the candidates to choose from: a limited replica
  /// that is due for a probe, because a moving average of its speed from when
  /// it was cold would keep it idle. Otherwise those with room. If these are
  /// full, those that have free slots by a recent report, because a limited
  /// replica is preferred to a refusal. If all are limited and none has room,
  /// the one that is least above its limit.
  [[nodiscard]] std::vector<size_t>
  preferred(std::span<const candidate> Candidates, time_point Now) const;

  struct item_room {
    std::string_view Replica;
    unsigned Running = 0;
    unsigned FreeSlots = 0;
  };
  /// Reduces the free slots to the limits, for work that only this process
  /// sends. If all replicas are limited and none has room, the one that is
  /// least above its limit keeps its free slots.
  void reduce(std::span<item_room> Rooms) const;

private:
  static constexpr size_t MeasureCount = 2;
  struct step {
    unsigned Count = 0;
    double SumMs = 0;
    /// Mean time of the previous step; 0 = none.
    double PreviousMs = 0;
  };
  struct state {
    std::string Service;
    unsigned Slots = 1;
    uint64_t StartedAtMs = 0;
    /// Average times while unlimited; 0 = none.
    std::array<double, MeasureCount> LevelMs{};
    std::array<step, MeasureCount> Steps{};
    /// 0 = unlimited.
    unsigned Limit = 0;
    time_point ProbeAt{};
    milliseconds ProbeDelay{0};
    std::string Reason;
  };

  [[nodiscard]] bool isRecent(const occupancy &Occupancy) const {
    return Occupancy.ReportAge && *Occupancy.ReportAge <= Options.MaxReportAge;
  }
  [[nodiscard]] unsigned firstLimit(const state &State) const;
  [[nodiscard]] milliseconds firstProbeDelay() const {
    return Options.ProbePeriod *
           long(Options.Processes ? std::max<size_t>(1, Options.Processes())
                                  : 1);
  }
  /// Doubles the delay, up to its maximum.
  void delayProbes(state &State) const;
  /// Whether one more replica of the service may be limited.
  [[nodiscard]] bool mayLimit(std::string_view Service) const;
  [[nodiscard]] double random() const {
    return Options.Random ? Options.Random() : 0;
  }
  void limitToFirst(std::string_view Replica, state &State,
                    std::string_view Reason, time_point Now);
  /// Sets the time of the next probe, Share to Share + 1 delays from now.
  void setProbe(state &State, double Share, time_point Now) const;
  [[nodiscard]] double referenceMs(const state &Own, size_t Measure) const;

  replica_pace_options Options;
  std::map<std::string, state, std::less<>> Replicas;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_REPLICA_PACE_H
