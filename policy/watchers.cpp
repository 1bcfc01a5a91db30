#include "policy/watchers.h"

#include "policy/rendezvous.h"

#include <algorithm>

namespace cardamom {

bool isStoreWatcher(std::string_view Self,
                    std::span<const std::string_view> Entries) {
  if (std::find(Entries.begin(), Entries.end(), Self) == Entries.end())
    return true;
  const uint64_t OwnScore = rendezvousScore("store-watch", Self);
  const auto HigherCount =
      std::count_if(Entries.begin(), Entries.end(), [&](std::string_view Name) {
        return rendezvousScore("store-watch", Name) > OwnScore;
      });
  return size_t(HigherCount) < WatchersPerDomain;
}

} // namespace cardamom
