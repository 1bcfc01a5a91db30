#include "entry/rollout_tracker.h"

#include "policy/version_hold.h"

#include <algorithm>

namespace cardamom {

// Weight of a new value in the moving average of sample times.
static constexpr double SampleTimeSmoothing = 0.1;

static milliseconds elapsedMs(time_point From, time_point To) {
  return std::chrono::duration_cast<milliseconds>(To - From);
}

void rollout_tracker::observe(uint64_t Version,
                              std::span<const upstream_view> Views,
                              time_point Now) {
  if (Version > NewestVersion) {
    // An interval is known only from the second version on.
    if (NewestVersion != 0)
      PublishInterval = elapsedMs(PublishedAt, Now);
    NewestVersion = Version;
    PublishedAt = Now;
    AllLoaded = false;
    LoadTimes.clear();
  }
  if (AllLoaded)
    return;
  AllLoaded = true;
  for (const upstream_view &View : Views) {
    if (!View.Connected)
      continue;
    if (View.ObservedVersion >= NewestVersion)
      LoadTimes.emplace(View.Name, elapsedMs(PublishedAt, Now));
    else
      AllLoaded = false;
  }
  if (!AllLoaded || LoadTimes.empty())
    return;
  milliseconds Sum{0};
  for (const auto &[Name, Load] : LoadTimes)
    Sum += Load;
  LoadTime = Sum / int64_t(LoadTimes.size());
}

void rollout_tracker::addSampleTime(milliseconds Elapsed) {
  const auto Ms = double(Elapsed.count());
  MeanSampleMs = MeanSampleMs == 0
                     ? Ms
                     : MeanSampleMs + SampleTimeSmoothing * (Ms - MeanSampleMs);
}

uint64_t rollout_tracker::requiredVersion(const hold_parameters &Parameters,
                                          time_point Now) const {
  if (AllLoaded || Now - PublishedAt >= MaxHold)
    return 0;
  const bool Hold = shouldWaitForNewestWeights(
      {.IdleWeight = Parameters.IdleWeight,
       .StalenessWeight = Parameters.StalenessWeight,
       .PublishInterval = PublishInterval,
       .LoadTime = LoadTime,
       .SampleTime = milliseconds(int64_t(MeanSampleMs)),
       .Slots = Parameters.Slots,
       .Samples = Parameters.Samples});
  return Hold ? NewestVersion : 0;
}

} // namespace cardamom
