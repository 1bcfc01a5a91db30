/// \file
/// Finds the tenant that an API key belongs to.
///
/// Use:
///   api_key_table Keys(Config.Tenants);
///   if (const tenant *T = Keys.find(Key)) ...
///
/// Holds digests instead of keys, so that a crash report contains no key and
/// the time of a look-up says nothing about other keys. find() costs one digest
/// and one hash look-up, whatever the number of tenants. Immutable.

#ifndef CARDAMOM_GATEWAY_API_KEY_TABLE_H
#define CARDAMOM_GATEWAY_API_KEY_TABLE_H

#include "gateway/gateway_config.h"

#include <cstddef>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamom {

class api_key_table {
public:
  /// A key that several tenants hold identifies none of them.
  explicit api_key_table(std::span<const tenant> Tenants);

  /// Returns null if the key is unknown.
  [[nodiscard]] const tenant *find(std::string_view Key) const;
  /// Number of keys that several tenants hold.
  [[nodiscard]] size_t ambiguousKeys() const { return AmbiguousKeys; }

private:
  struct digest_hash {
    size_t operator()(const sha256_digest &Digest) const;
  };

  std::vector<tenant> Tenants;
  /// Index into Tenants; Tenants.size() for an ambiguous key.
  std::unordered_map<sha256_digest, size_t, digest_hash> IndexByKey;
  size_t AmbiguousKeys = 0;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_API_KEY_TABLE_H
