/// \file
/// Estimates how fast replicas are at this moment, relative to their usual
/// speed, from the events of the streams that they generate and from what they
/// report.
///
/// Usage:
///   momentary_speed Speed({});
///   Speed.onEvent("replica", 47.5, Now);    // time since the stream's last
///   Speed.onReport("replica", 2.5, Now);
///   if (Speed.slowdown("replica", Now) > 1.5) ...
///
/// Load: replicas that share their VMs with other work and are slow for some
/// hundred milliseconds at a time, at any moment a seventh of them. A moving
/// average over seconds shows such a phase only when it is over. Reads no clock
/// and does no I/O; all operations cost O(log replicas).

#ifndef CARDAMOM_POLICY_MOMENTARY_SPEED_H
#define CARDAMOM_POLICY_MOMENTARY_SPEED_H

#include "base/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cardamom {

struct momentary_speed_options {
  /// Weight of a new interval between events in the momentary average. With a
  /// few streams on a replica, two or three events show a change.
  double Smoothing = 0.5;
  /// Weight of a new interval in the usual value while it is shorter, and while
  /// it is longer. Slow phases must not shift the usual value, but a replica
  /// that stays slow must not be compared with its past for ever.
  double UsualSmoothingDown = 0.05;
  double UsualSmoothingUp = 0.005;
  /// Age from which on an observation says nothing about the present.
  milliseconds MaxAge{500};
};

class momentary_speed {
public:
  explicit momentary_speed(momentary_speed_options Options)
      : Options(Options) {}

  /// Records an event of a stream, IntervalMs after the stream's previous one.
  void onEvent(std::string_view Replica, double IntervalMs, time_point Now);
  /// Records the slowdown that the replica reports; 1 = as fast as usual.
  void onReport(std::string_view Replica, double Slowdown, time_point Now);
  /// Drops replicas without an observation for a minute.
  void expire(time_point Now);

  /// How long work takes on the replica now, relative to usual; nullopt = there
  /// is no recent observation. SilentMs: time since the latest event of any
  /// stream on the replica; 0 = no stream runs there.
  [[nodiscard]] std::optional<double>
  slowdown(std::string_view Replica, double SilentMs, time_point Now) const;

private:
  struct observation {
    double UsualMs = 0;
    double RecentMs = 0;
    time_point EventAt{};
    std::optional<double> Reported;
    time_point ReportedAt{};
  };

  momentary_speed_options Options;
  std::map<std::string, observation, std::less<>> Replicas;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_MOMENTARY_SPEED_H
