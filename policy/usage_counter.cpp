#include "policy/usage_counter.h"

namespace cardamom {

void usage_counter::count(std::string_view Tenant, uint64_t UnixMs) {
  const uint64_t Window = windowOf(UnixMs);
  tenant_counts &Counts = Windows[Window];
  if (const auto It = Counts.find(Tenant); It != Counts.end())
    ++It->second;
  else
    Counts.emplace(Tenant, 1);
  // By the newest window, not by the clock, which may jump forth and back.
  const uint64_t Retained =
      uint64_t(Options.Retention.count() / Options.Window.count());
  const uint64_t Newest = Windows.rbegin()->first;
  if (Newest > Retained)
    Windows.erase(Windows.begin(), Windows.lower_bound(Newest - Retained));
}

} // namespace cardamom
