#include "config/field_error.h"

#include "config/configuration.h"

#include <algorithm>

namespace cardamom {

static constexpr size_t MaxDisplayedBytes = 80;

static std::string escapeValue(std::string_view Value) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Shown;
  for (const char C : Value.substr(0, MaxDisplayedBytes)) {
    const auto Byte = static_cast<unsigned char>(C);
    if (Byte >= 0x20 && Byte < 0x7f) {
      Shown += C;
      continue;
    }
    Shown += "\\x";
    Shown += Digits[Byte >> 4];
    Shown += Digits[Byte & 15];
  }
  if (Value.size() > MaxDisplayedBytes)
    Shown += "... (" + std::to_string(Value.size()) + " bytes)";
  return Shown;
}

static std::string formatLocation(const input_location &Place) {
  std::string Shown(Place.File);
  if (Place.Line > 0)
    Shown += ":" + std::to_string(Place.Line);
  Shown += ": ";
  if (!Place.Field.empty())
    Shown += "field \"" + escapeValue(Place.Field) + "\": ";
  return Shown;
}

void throwFieldError(const input_location &Place, std::string_view Value,
                     std::string_view Allowed) {
  throw config_error(formatLocation(Place) + "value \"" + escapeValue(Value) +
                     "\": allowed is " + std::string(Allowed));
}

void throwInputError(const input_location &Place, std::string_view Problem) {
  throw config_error(formatLocation(Place) + std::string(Problem));
}

void rejectNulBytes(std::string_view File, std::string_view Text) {
  const size_t At = Text.find('\0');
  if (At == std::string_view::npos)
    return;
  const auto Before = Text.substr(0, At);
  const size_t Line = 1 + std::count(Before.begin(), Before.end(), '\n');
  throwInputError({.File = File, .Line = Line},
                  "NUL byte at offset " + std::to_string(At) +
                      ": allowed is text without NUL bytes");
}

} // namespace cardamom
