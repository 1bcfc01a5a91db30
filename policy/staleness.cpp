#include "policy/staleness.h"

namespace cardamom {

bool canArriveFresh(const freshness_forecast &Forecast) {
  uint64_t VersionAtEnd = Forecast.TrainerVersion;
  if (Forecast.VersionInterval > milliseconds(0) &&
      Forecast.Remaining >= Forecast.UntilNextVersion) {
    const milliseconds Beyond = Forecast.Remaining - Forecast.UntilNextVersion;
    VersionAtEnd += 1 + uint64_t(Beyond / Forecast.VersionInterval);
  }
  return deliverable(Forecast.OldestVersion, VersionAtEnd, Forecast.Bound);
}

} // namespace cardamom
