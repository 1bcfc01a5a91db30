/// \file
/// Detects that this process was paused. Afterwards new work is held back until
/// the configuration version has been confirmed.
///
/// Use:
///   Detector.tick(Now);      // every 100 ms
///   Detector.confirm(Now);   // confirmed by a peer or the store
///   if (Detector.holding(Now)) refuse new work
///
/// Thread-safe.

#ifndef CARDAMOM_ENTRY_PAUSE_DETECTOR_H
#define CARDAMOM_ENTRY_PAUSE_DETECTOR_H

#include "base/time.h"

#include <mutex>

namespace cardamom {

struct pause_detector_options {
  /// A longer time between ticks counts as a pause.
  milliseconds PauseThreshold{2000};
  /// New work is admitted after this time even without a confirmation.
  milliseconds HoldLimit{2000};
  /// Confirmations within this time after a pause are ignored, because the
  /// messages may have been in the socket buffer since before the pause.
  milliseconds ConfirmDelay{200};
};

class pause_detector {
public:
  explicit pause_detector(pause_detector_options Options = {})
      : Options(Options) {}

  /// Returns true when this tick detected a pause.
  bool tick(time_point Now) {
    std::lock_guard Lock(Mutex);
    const bool Paused =
        LastTickAt != time_point() && Now - LastTickAt > Options.PauseThreshold;
    LastTickAt = Now;
    if (Paused) {
      Holding = true;
      HoldStartedAt = Now;
    }
    if (Holding && Now - HoldStartedAt >= Options.HoldLimit)
      Holding = false;
    return Paused;
  }

  void confirm(time_point Now) {
    std::lock_guard Lock(Mutex);
    // The confirmation may be processed before the first tick after a pause.
    if (LastTickAt != time_point() && Now - LastTickAt > Options.PauseThreshold)
      return;
    if (Holding && Now - HoldStartedAt >= Options.ConfirmDelay)
      Holding = false;
  }

  [[nodiscard]] bool holding(time_point Now) const {
    std::lock_guard Lock(Mutex);
    return Holding || (LastTickAt != time_point() &&
                       Now - LastTickAt > Options.PauseThreshold);
  }

  /// Whether a pause was detected at or after At.
  [[nodiscard]] bool pausedSince(time_point At) const {
    std::lock_guard Lock(Mutex);
    return HoldStartedAt >= At;
  }

private:
  const pause_detector_options Options;
  mutable std::mutex Mutex;
  time_point LastTickAt{};
  bool Holding = false;
  time_point HoldStartedAt{};
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_PAUSE_DETECTOR_H
