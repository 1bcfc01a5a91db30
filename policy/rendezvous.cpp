#include "policy/rendezvous.h"

#include <xxhash.h>

namespace cardamom {

uint64_t rendezvousScore(std::string_view Key, std::string_view Node) {
  const uint64_t KeyHash = XXH3_64bits(Key.data(), Key.size());
  return XXH3_64bits_withSeed(Node.data(), Node.size(), KeyHash);
}

} // namespace cardamom
