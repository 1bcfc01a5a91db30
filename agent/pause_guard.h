/// \file
/// Notices that the process was paused, and holds back new work until its
/// configuration is confirmed.
///
/// Use:
///   Guard.onTick(Now);                     // several times a second
///   Guard.onPeerVersion(Theirs, Ours, Now); // from each heartbeat
///   if (!Guard.admits(Now)) refuse();
///
/// admits() compares with the last tick itself: after a pause, requests that
/// wait in the sockets are read before the ticker runs. Thread-safe.

#ifndef CARDAMOM_AGENT_PAUSE_GUARD_H
#define CARDAMOM_AGENT_PAUSE_GUARD_H

#include "base/time.h"

#include <cstdint>
#include <mutex>
#include <optional>

namespace cardamom {

class pause_guard {
public:
  explicit pause_guard(time_point Now) : LastTick(Now) {}

  void onTick(time_point Now);
  /// A peer holds version Theirs of the configuration, this process Ours.
  void onPeerVersion(uint64_t Theirs, uint64_t Ours, time_point Now);
  bool admits(time_point Now);

private:
  static constexpr milliseconds MaxTickGap{2000};
  /// Work is admitted again after this time without any answer.
  static constexpr milliseconds ConfirmTimeout{2000};
  /// Heartbeats that arrived during the pause are read within this time.
  static constexpr milliseconds BufferedHeartbeatDelay{250};

  void detectPause(time_point Now);

  std::mutex Mutex;
  time_point LastTick;
  std::optional<time_point> ResumedAt;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_PAUSE_GUARD_H
