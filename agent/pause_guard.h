/// \file
/// Detects that the process was paused, and refuses new work until a peer has
/// confirmed its configuration.
///
/// Use:
///   Guard.onTick(Now);                     // several times a second
///   Guard.onPeerVersion(PeerVersion, OwnVersion, Now); // for each heartbeat
///   if (!Guard.admits(Now)) refuse();
///
/// admits() checks the time since the last tick itself, because after a pause
/// requests that were buffered in the sockets are read before the ticker runs.
/// Thread-safe.

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
  /// A peer has version PeerVersion of the configuration, this process
  /// OwnVersion.
  void onPeerVersion(uint64_t PeerVersion, uint64_t OwnVersion, time_point Now);
  bool admits(time_point Now);

private:
  static constexpr milliseconds MaxTickGap{2000};
  /// Work is admitted again after this time even without a confirmation.
  static constexpr milliseconds ConfirmTimeout{2000};
  /// Heartbeats that were buffered during the pause are read within this time,
  /// so heartbeats read earlier confirm nothing.
  static constexpr milliseconds BufferedHeartbeatDelay{250};

  void detectPause(time_point Now);

  std::mutex Mutex;
  time_point LastTick;
  std::optional<time_point> ResumedAt;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_PAUSE_GUARD_H
