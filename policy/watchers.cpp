#include "policy/watchers.h"

#include "policy/rendezvous.h"

#include <algorithm>

namespace cardamom {

bool isStoreWatcher(std::string_view Self,
                    std::span<const std::string_view> Entries) {
  if (std::find(Entries.begin(), Entries.end(), Self) == Entries.end())
    return true;
  const uint64_t Own = rendezvousScore("store-watch", Self);
  const auto Higher =
      std::count_if(Entries.begin(), Entries.end(), [&](std::string_view Name) {
        return rendezvousScore("store-watch", Name) > Own;
      });
  return size_t(Higher) < WatchersPerDomain;
}

} // namespace cardamom
