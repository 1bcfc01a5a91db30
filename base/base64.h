/// \file
/// Base64 decoding with padding (RFC 4648, section 4).

#ifndef CARDAMOM_BASE_BASE64_H
#define CARDAMOM_BASE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace cardamom {

/// Returns nullopt if Text is not valid base64.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace cardamom

#endif // CARDAMOM_BASE_BASE64_H
