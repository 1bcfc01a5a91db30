/// \file
/// SHA-256 digests.

#ifndef CARDAMOM_BASE_SHA256_H
#define CARDAMOM_BASE_SHA256_H

#include <array>
#include <cstdint>
#include <string_view>

namespace cardamom {

using sha256_digest = std::array<uint8_t, 32>;

/// Throws std::runtime_error if the digest cannot be computed.
sha256_digest sha256(std::string_view Text);

} // namespace cardamom

#endif // CARDAMOM_BASE_SHA256_H
