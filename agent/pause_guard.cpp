#include "agent/pause_guard.h"

#include "base/log.h"

#include <string>

namespace cardamom {

void pause_guard::detectPause(time_point Now) {
  const auto Gap = Now - LastTick;
  if (Gap <= MaxTickGap)
    return;
  logInfo(
      "pause_detected",
      {{"gap_ms", std::to_string(
                      std::chrono::duration_cast<milliseconds>(Gap).count())}});
  ResumedAt = Now;
  LastTick = Now;
}

void pause_guard::onTick(time_point Now) {
  std::lock_guard Lock(Mutex);
  detectPause(Now);
  LastTick = Now;
  if (ResumedAt && Now - *ResumedAt >= ConfirmTimeout)
    ResumedAt.reset();
}

void pause_guard::onPeerVersion(uint64_t PeerVersion, uint64_t OwnVersion,
                                time_point Now) {
  std::lock_guard Lock(Mutex);
  detectPause(Now);
  if (ResumedAt && Now - *ResumedAt >= BufferedHeartbeatDelay &&
      PeerVersion <= OwnVersion)
    ResumedAt.reset();
}

bool pause_guard::admits(time_point Now) {
  std::lock_guard Lock(Mutex);
  detectPause(Now);
  return !ResumedAt || Now - *ResumedAt >= ConfirmTimeout;
}

} // namespace cardamom
