/// \file
/// Parses JSON from outside the process: from the object store, replicas,
/// callers and other processes of this system.
///
/// Use:
///   const nlohmann::json Body = parseBoundedJson(Text);  // throws
///   for (std::string_view Item : splitJsonArray(Text)) ...
///
/// Copying, comparing and writing a json value recurse, so that deep nesting
/// would overflow the stack. parseBoundedJson() therefore limits the depth. The
/// split functions find the parts of a container without parsing them, so that
/// one malformed part does not hide the others.

#ifndef CARDAMOM_BASE_BOUNDED_JSON_H
#define CARDAMOM_BASE_BOUNDED_JSON_H

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

/// Maximum number of objects and arrays around a value. The documents of this
/// system need at most 8.
inline constexpr size_t MaxJsonDepth = 64;

/// Throws std::invalid_argument if Text is not valid JSON in UTF-8, contains a
/// number out of range, or is nested more deeply than MaxJsonDepth.
nlohmann::json parseBoundedJson(std::string_view Text);

/// Member of a JSON object: its key, as written between the quotes, and the
/// text of its value.
struct json_member {
  std::string_view Key;
  std::string_view Value;
};

/// Return the parts of a container in order, as views of Text. The parts are
/// not validated. Throw std::invalid_argument if Text is no such container.
/// O(length of Text).
std::vector<json_member> splitJsonObject(std::string_view Text);
std::vector<std::string_view> splitJsonArray(std::string_view Text);

/// Returns the member of Object, or Default if Object is not a JSON object, has
/// no such member, or has one of another type.
std::string textOr(const nlohmann::json &Object, const char *Key,
                   std::string_view Default = {});
uint64_t countOr(const nlohmann::json &Object, const char *Key,
                 uint64_t Default = 0);
bool flagOr(const nlohmann::json &Object, const char *Key);

} // namespace cardamom

#endif // CARDAMOM_BASE_BOUNDED_JSON_H
