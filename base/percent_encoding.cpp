#include "base/percent_encoding.h"

#include <cctype>

namespace cardamom {

std::string percentEncode(std::string_view Text) {
  static constexpr std::string_view Hex = "0123456789ABCDEF";
  std::string Out;
  for (const char C : Text) {
    const auto Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) || C == '-' || C == '.' || C == '_' || C == '~') {
      Out += C;
      continue;
    }
    Out += '%';
    Out += Hex[Byte >> 4];
    Out += Hex[Byte & 15];
  }
  return Out;
}

static int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

std::string percentDecode(std::string_view Text) {
  std::string Out;
  for (size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size() && hexDigit(Text[I + 1]) >= 0 &&
        hexDigit(Text[I + 2]) >= 0) {
      Out += char(hexDigit(Text[I + 1]) * 16 + hexDigit(Text[I + 2]));
      I += 2;
      continue;
    }
    Out += Text[I];
  }
  return Out;
}

} // namespace cardamom
