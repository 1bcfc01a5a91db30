/// \file
/// Strict reading of JSON: unknown and repeated fields, and values of another
/// type or out of range, are refused by config_error.

#ifndef CARDAMOM_CONFIG_JSON_FIELDS_H
#define CARDAMOM_CONFIG_JSON_FIELDS_H

#include "config/field_error.h"

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace cardamom {

/// Refuses malformed JSON (with the line), repeated fields, NUL bytes, and
/// nesting deeper than 16.
nlohmann::json parseStrictJson(std::string_view File, std::string_view Text);

/// Fields of one JSON object. Path is that of the object, such as "routes[0]",
/// or empty for the outermost one.
class json_fields {
public:
  /// Refuses a value that is no object, and fields that are not in Allowed.
  json_fields(std::string_view File, std::string Path,
              const nlohmann::json &Object,
              std::initializer_list<std::string_view> Allowed);

  [[nodiscard]] bool has(std::string_view Key) const;
  /// The field, which must be there.
  [[nodiscard]] const nlohmann::json &at(std::string_view Key) const;
  /// The field, which must be there and be an array.
  [[nodiscard]] const nlohmann::json &array(std::string_view Key) const;
  [[nodiscard]] std::string text(std::string_view Key) const;
  [[nodiscard]] uint64_t number(std::string_view Key, uint64_t Min,
                                uint64_t Max) const;
  /// Absent means false.
  [[nodiscard]] bool boolean(std::string_view Key) const;
  /// A number in [0, 1].
  [[nodiscard]] double fraction(std::string_view Key) const;

  [[nodiscard]] std::string path(std::string_view Key) const;
  [[noreturn]] void rejectValue(std::string_view Key,
                                std::string_view Allowed) const;

private:
  std::string_view File;
  std::string Path;
  const nlohmann::json &Object;
};

} // namespace cardamom

#endif // CARDAMOM_CONFIG_JSON_FIELDS_H
