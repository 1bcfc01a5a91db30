#include "policy/staleness.h"

namespace cardamom {

bool willBeDeliverable(const staleness_forecast &Forecast) {
  uint64_t VersionAtEnd = Forecast.TrainerVersion;
  if (Forecast.VersionInterval > milliseconds(0) &&
      Forecast.Remaining >= Forecast.UntilNextVersion) {
    const milliseconds AfterNextVersion =
        Forecast.Remaining - Forecast.UntilNextVersion;
    VersionAtEnd += 1 + uint64_t(AfterNextVersion / Forecast.VersionInterval);
  }
  return isDeliverable(Forecast.OldestVersion, VersionAtEnd,
                       Forecast.StalenessBound);
}

} // namespace cardamom
