/// \file
/// Strict JSON parsing: throws config_error for unknown, missing and repeated
/// fields and for values of the wrong type or out of range.

#ifndef CARDAMOM_CONFIG_JSON_FIELDS_H
#define CARDAMOM_CONFIG_JSON_FIELDS_H

#include "config/field_error.h"

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace cardamom {

/// Throws config_error for malformed JSON (with the line), repeated fields, NUL
/// bytes, and more than 16 nesting levels.
nlohmann::json parseStrictJson(std::string_view File, std::string_view Text);

/// Typed access to the fields of one JSON object. Path is the path of the
/// object, such as "routes[0]"; it is empty for the root.
class json_fields {
public:
  /// Throws config_error if Object is not an object or has a field that is not
  /// in Allowed. File and Object must outlive this.
  json_fields(std::string_view File, std::string Path,
              const nlohmann::json &Object,
              std::initializer_list<std::string_view> Allowed);

  [[nodiscard]] bool has(std::string_view Key) const;
  /// Returns the value of a required field.
  [[nodiscard]] const nlohmann::json &at(std::string_view Key) const;
  /// Returns the value of a required field, which must be an array.
  [[nodiscard]] const nlohmann::json &array(std::string_view Key) const;
  [[nodiscard]] std::string text(std::string_view Key) const;
  [[nodiscard]] uint64_t number(std::string_view Key, uint64_t Min,
                                uint64_t Max) const;
  /// Returns false if the field is missing.
  [[nodiscard]] bool boolean(std::string_view Key) const;
  /// Returns a number in [0, 1].
  [[nodiscard]] double fraction(std::string_view Key) const;

  /// Returns the path of the field, such as "routes[0].pool".
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
