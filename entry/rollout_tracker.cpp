#include "entry/rollout_tracker.h"

#include "policy/version_hold.h"

#include <algorithm>

namespace cardamom {

// Weight of a new sample in the moving average of sample times.
static constexpr double SampleGain = 0.1;

static milliseconds between(time_point From, time_point To) {
  return std::chrono::duration_cast<milliseconds>(To - From);
}

void rollout_tracker::observe(uint64_t Version,
                              std::span<const upstream_view> Views,
                              time_point Now) {
  if (Version > Newest) {
    // The first version says nothing about the time between two.
    if (Newest != 0)
      Interval = between(PublishedAt, Now);
    Newest = Version;
    PublishedAt = Now;
    AllLoaded = false;
    Loads.clear();
  }
  if (AllLoaded)
    return;
  AllLoaded = true;
  for (const upstream_view &View : Views) {
    if (!View.Connected)
      continue;
    if (View.ObservedVersion >= Newest)
      Loads.emplace(View.Name, between(PublishedAt, Now));
    else
      AllLoaded = false;
  }
  if (!AllLoaded || Loads.empty())
    return;
  milliseconds Sum{0};
  for (const auto &[Name, Load] : Loads)
    Sum += Load;
  LoadTime = Sum / int64_t(Loads.size());
}

void rollout_tracker::onSampleTime(milliseconds Elapsed) {
  const auto Ms = double(Elapsed.count());
  SampleMs = SampleMs == 0 ? Ms : SampleMs + SampleGain * (Ms - SampleMs);
}

uint64_t rollout_tracker::heldVersion(const hold_question &Question,
                                      time_point Now) const {
  if (AllLoaded || Now - PublishedAt >= MaxHold)
    return 0;
  const bool Hold =
      shouldHoldForVersion({.IdleWeight = Question.IdleWeight,
                            .StalenessWeight = Question.StalenessWeight,
                            .PublishInterval = Interval,
                            .LoadTime = LoadTime,
                            .SampleTime = milliseconds(int64_t(SampleMs)),
                            .Slots = Question.Slots,
                            .Samples = Question.Samples});
  return Hold ? Newest : 0;
}

} // namespace cardamom
