#include "config/field_error.h"

#include "config/configuration.h"

#include <algorithm>

namespace cardamom {

static constexpr size_t MaxShownBytes = 80;

static std::string showValue(std::string_view Value) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Shown;
  for (const char C : Value.substr(0, MaxShownBytes)) {
    const auto Byte = static_cast<unsigned char>(C);
    if (Byte >= 0x20 && Byte < 0x7f) {
      Shown += C;
      continue;
    }
    Shown += "\\x";
    Shown += Digits[Byte >> 4];
    Shown += Digits[Byte & 15];
  }
  if (Value.size() > MaxShownBytes)
    Shown += "... (" + std::to_string(Value.size()) + " bytes)";
  return Shown;
}

static std::string showPlace(const field_place &Place) {
  std::string Shown(Place.File);
  if (Place.Line > 0)
    Shown += ":" + std::to_string(Place.Line);
  Shown += ": ";
  if (!Place.Field.empty())
    Shown += "field \"" + showValue(Place.Field) + "\": ";
  return Shown;
}

void refuseField(const field_place &Place, std::string_view Value,
                 std::string_view Allowed) {
  throw config_error(showPlace(Place) + "value \"" + showValue(Value) +
                     "\": allowed is " + std::string(Allowed));
}

void refuseInput(const field_place &Place, std::string_view Problem) {
  throw config_error(showPlace(Place) + std::string(Problem));
}

void refuseNulBytes(std::string_view File, std::string_view Text) {
  const size_t At = Text.find('\0');
  if (At == std::string_view::npos)
    return;
  const auto Before = Text.substr(0, At);
  const size_t Line = 1 + std::count(Before.begin(), Before.end(), '\n');
  refuseInput({.File = File, .Line = Line},
              "NUL byte at offset " + std::to_string(At) +
                  ": allowed is text without NUL bytes");
}

} // namespace cardamom
