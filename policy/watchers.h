/// \file
/// Chooses the entry processes that watch the configuration and the VM list in
/// the store.

#ifndef CARDAMOM_POLICY_WATCHERS_H
#define CARDAMOM_POLICY_WATCHERS_H

#include <cstddef>
#include <span>
#include <string_view>

namespace cardamom {

/// Number of entry processes in each failure domain that watch the store. Two,
/// so that one may fail; not more, because the request rate that the store
/// allows grows more slowly than the number of processes.
inline constexpr size_t WatchersPerDomain = 2;

/// Whether Self is among the first WatchersPerDomain of Entries (the names of
/// all entries of its failure domain) by rendezvous hashing. An entry that is
/// not listed watches the store, because it does not know its rank yet. Costs
/// O(n).
bool isStoreWatcher(std::string_view Self,
                    std::span<const std::string_view> Entries);

} // namespace cardamom

#endif // CARDAMOM_POLICY_WATCHERS_H
