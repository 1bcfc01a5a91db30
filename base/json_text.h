/// \file
/// Writes JSON that may contain bytes from outside the process.
///
/// Usage:
///   Response.Body = toJsonText({{"error", Reason}});

#ifndef CARDAMOM_BASE_JSON_TEXT_H
#define CARDAMOM_BASE_JSON_TEXT_H

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace cardamom {

/// Returns Value as JSON in UTF-8 on one line. Bytes of its strings that are
/// not valid UTF-8 are replaced by U+FFFD; json::dump() would throw.
[[nodiscard]] std::string toJsonText(const nlohmann::json &Value);

/// Whether Text is valid UTF-8, so that JSON can contain it unchanged.
[[nodiscard]] bool isUtf8(std::string_view Text);

} // namespace cardamom

#endif // CARDAMOM_BASE_JSON_TEXT_H
