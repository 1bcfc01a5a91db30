/// \file
/// Functions that throw config_error with a formatted message.

#ifndef CARDAMOM_CONFIG_FIELD_ERROR_H
#define CARDAMOM_CONFIG_FIELD_ERROR_H

#include <cstddef>
#include <string>
#include <string_view>

namespace cardamom {

/// A location in an input. Messages omit Line if it is 0 and Field if it is
/// empty.
struct input_location {
  std::string_view File;
  size_t Line = 0;
  std::string Field = {};
};

/// Throws config_error "FILE:LINE: field "F": value "V": allowed is ALLOWED".
/// Control and non-ASCII bytes of Value are escaped; a long value is truncated.
[[noreturn]] void throwFieldError(const input_location &Location,
                                  std::string_view Value,
                                  std::string_view Allowed);

/// Throws config_error "FILE:LINE: field "F": PROBLEM".
[[noreturn]] void throwInputError(const input_location &Location,
                                  std::string_view Problem);

/// Throws config_error if Text has a NUL byte, because programs that handle
/// text as C strings would ignore everything after it.
void rejectNulBytes(std::string_view File, std::string_view Text);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_FIELD_ERROR_H
