/// \file
/// Builds the messages of config_error.

#ifndef CARDAMOM_CONFIG_FIELD_ERROR_H
#define CARDAMOM_CONFIG_FIELD_ERROR_H

#include <cstddef>
#include <string>
#include <string_view>

namespace cardamom {

/// A place in an input. Line 0 and an empty Field are left out.
struct input_location {
  std::string_view File;
  size_t Line = 0;
  std::string Field = {};
};

/// Throws config_error "FILE:LINE: field "F": value "V": allowed is ALLOWED".
/// Control and non-ASCII bytes of Value are escaped; a long value is cut.
[[noreturn]] void throwFieldError(const input_location &Place,
                                  std::string_view Value,
                                  std::string_view Allowed);

/// Throws config_error "FILE:LINE: PROBLEM".
[[noreturn]] void throwInputError(const input_location &Place,
                                  std::string_view Problem);

/// Refuses NUL bytes: programs that treat text as C strings would see only
/// what stands before them.
void rejectNulBytes(std::string_view File, std::string_view Text);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_FIELD_ERROR_H
