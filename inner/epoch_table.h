/// \file
/// Highest connection epoch that a server has accepted from each peer.
///
/// The table keeps an epoch after its connection has closed. A connection that
/// was delayed in the network is therefore rejected even if the newer
/// connection has already closed.

#ifndef CARDAMOM_INNER_EPOCH_TABLE_H
#define CARDAMOM_INNER_EPOCH_TABLE_H

#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace cardamom {

class epoch_table {
public:
  enum class outcome { Accepted, NotHigher, Full };

  /// TCP gives up retransmitting after about 16 minutes (tcp_retries2), so no
  /// byte of an older connection can arrive after this time.
  static constexpr std::chrono::hours EntryLifetime{1};

  explicit epoch_table(size_t MaxPeers) : MaxPeers(MaxPeers) {}

  /// Accepts an epoch that is higher than all epochs accepted before for this
  /// (name, incarnation).
  outcome accept(std::string_view Name, uint64_t Incarnation, uint64_t Epoch,
                 time_point Now);
  /// Renews the table entry of a peer that is connected, or was until now.
  void touch(std::string_view Name, uint64_t Incarnation, time_point Now);
  [[nodiscard]] size_t size() const { return Peers.size(); }

private:
  using key = std::pair<std::string, uint64_t>;
  struct entry {
    uint64_t Epoch = 0;
    time_point LastUse;
  };

  void dropExpired(time_point Now);

  size_t MaxPeers;
  std::map<key, entry> Peers;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_EPOCH_TABLE_H
