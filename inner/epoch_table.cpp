#include "inner/epoch_table.h"

namespace cardamom {

epoch_table::outcome epoch_table::accept(std::string_view Name,
                                         uint64_t Incarnation, uint64_t Epoch,
                                         time_point Now) {
  const key Key(Name, Incarnation);
  auto It = Peers.find(Key);
  if (It == Peers.end()) {
    if (Peers.size() >= MaxPeers)
      dropExpired(Now);
    if (Peers.size() >= MaxPeers)
      return outcome::Full;
    It = Peers.emplace(Key, entry()).first;
  } else if (Epoch <= It->second.Epoch) {
    return outcome::NotHigher;
  }
  It->second = {.Epoch = Epoch, .LastUse = Now};
  return outcome::Accepted;
}

void epoch_table::touch(std::string_view Name, uint64_t Incarnation,
                        time_point Now) {
  const auto It = Peers.find(key(Name, Incarnation));
  if (It != Peers.end())
    It->second.LastUse = Now;
}

void epoch_table::dropExpired(time_point Now) {
  std::erase_if(Peers, [&](const auto &Peer) {
    return Now - Peer.second.LastUse > EntryLifetime;
  });
}

} // namespace cardamom
