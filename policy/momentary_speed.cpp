#include "policy/momentary_speed.h"

#include <algorithm>

namespace cardamom {

/// Replicas without an observation for this long are forgotten.
static constexpr milliseconds Retention{60000};

void momentary_speed::onEvent(std::string_view Replica, double IntervalMs,
                              time_point Now) {
  if (IntervalMs <= 0)
    return;
  observation &Seen = Replicas[std::string(Replica)];
  if (Seen.UsualMs == 0) {
    Seen.UsualMs = IntervalMs;
    Seen.RecentMs = IntervalMs;
  }
  const double UsualGain = IntervalMs < Seen.UsualMs
                               ? Options.UsualSmoothingDown
                               : Options.UsualSmoothingUp;
  Seen.UsualMs += UsualGain * (IntervalMs - Seen.UsualMs);
  Seen.RecentMs =
      Now - Seen.EventAt > Options.MaxAge
          ? IntervalMs
          : Seen.RecentMs + Options.Smoothing * (IntervalMs - Seen.RecentMs);
  Seen.EventAt = Now;
}

void momentary_speed::onReport(std::string_view Replica, double Slowdown,
                               time_point Now) {
  observation &Seen = Replicas[std::string(Replica)];
  Seen.Reported = Slowdown;
  Seen.ReportedAt = Now;
}

void momentary_speed::expire(time_point Now) {
  std::erase_if(Replicas, [&](const auto &Entry) {
    return Now - std::max(Entry.second.EventAt, Entry.second.ReportedAt) >
           Retention;
  });
}

std::optional<double> momentary_speed::slowdown(std::string_view Replica,
                                                double SilentMs,
                                                time_point Now) const {
  const auto It = Replicas.find(Replica);
  if (It == Replicas.end())
    return std::nullopt;
  const observation &Seen = It->second;
  const bool ReportIsRecent =
      Seen.Reported && Now - Seen.ReportedAt <= Options.MaxAge;
  const bool EventIsRecent =
      Seen.UsualMs > 0 && Now - Seen.EventAt <= Options.MaxAge;
  // A stream whose next event is overdue shows a slow phase before it ends.
  const double Overdue =
      Seen.UsualMs > 0 && SilentMs > 0 ? SilentMs / Seen.UsualMs : 0;
  if (ReportIsRecent && (!EventIsRecent || Seen.ReportedAt > Seen.EventAt))
    return std::max(*Seen.Reported, Overdue);
  if (EventIsRecent)
    return std::max(Seen.RecentMs / Seen.UsualMs, Overdue);
  return Overdue > 0 ? std::optional(std::max(1.0, Overdue)) : std::nullopt;
}

} // namespace cardamom
