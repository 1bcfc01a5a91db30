/// \file
/// Base64 with padding (RFC 4648, 4).

#ifndef CARDAMOM_BASE_BASE64_H
#define CARDAMOM_BASE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace cardamom {

/// Null when Text is not base64.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace cardamom

#endif // CARDAMOM_BASE_BASE64_H
