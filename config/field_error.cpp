#include "config/field_error.h"

#include "config/configuration.h"

#include <algorithm>

namespace cardamom {

static constexpr size_t MaxDisplayedBytes = 80;

static std::string escapeValue(std::string_view Value) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (const char C : Value.substr(0, MaxDisplayedBytes)) {
    const auto Byte = static_cast<unsigned char>(C);
    if (Byte >= 0x20 && Byte < 0x7f) {
      Text += C;
      continue;
    }
    Text += "\\x";
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 15];
  }
  if (Value.size() > MaxDisplayedBytes)
    Text += "... (" + std::to_string(Value.size()) + " bytes)";
  return Text;
}

static std::string formatLocation(const input_location &Location) {
  std::string Text(Location.File);
  if (Location.Line > 0)
    Text += ":" + std::to_string(Location.Line);
  Text += ": ";
  if (!Location.Field.empty())
    Text += "field \"" + escapeValue(Location.Field) + "\": ";
  return Text;
}

void throwFieldError(const input_location &Location, std::string_view Value,
                     std::string_view Allowed) {
  throw config_error(formatLocation(Location) + "value \"" +
                     escapeValue(Value) + "\": allowed is " +
                     std::string(Allowed));
}

void throwInputError(const input_location &Location, std::string_view Problem) {
  throw config_error(formatLocation(Location) + std::string(Problem));
}

void rejectNulBytes(std::string_view File, std::string_view Text) {
  const size_t Offset = Text.find('\0');
  if (Offset == std::string_view::npos)
    return;
  const auto Before = Text.substr(0, Offset);
  const size_t Line = 1 + std::count(Before.begin(), Before.end(), '\n');
  throwInputError({.File = File, .Line = Line},
                  "NUL byte at offset " + std::to_string(Offset) +
                      ": allowed is text without NUL bytes");
}

} // namespace cardamom
