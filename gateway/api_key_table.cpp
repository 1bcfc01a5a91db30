#include "gateway/api_key_table.h"

#include <cstring>

namespace cardamom {

size_t
api_key_table::digest_hash::operator()(const sha256_digest &Digest) const {
  size_t Hash = 0;
  static_assert(sizeof Hash <= sizeof Digest);
  std::memcpy(&Hash, Digest.data(), sizeof Hash);
  return Hash;
}

api_key_table::api_key_table(std::span<const tenant> Tenants)
    : Tenants(Tenants.begin(), Tenants.end()) {
  const size_t Ambiguous = Tenants.size();
  for (size_t I = 0; I < Tenants.size(); ++I) {
    for (const sha256_digest &Key : Tenants[I].KeyDigests) {
      const auto [It, New] = IndexByKey.try_emplace(Key, I);
      if (New || It->second == I || It->second == Ambiguous)
        continue;
      It->second = Ambiguous;
      ++AmbiguousKeys;
    }
  }
}

const tenant *api_key_table::find(std::string_view Key) const {
  const auto It = IndexByKey.find(sha256(Key));
  if (It == IndexByKey.end() || It->second == Tenants.size())
    return nullptr;
  return &Tenants[It->second];
}

} // namespace cardamom
