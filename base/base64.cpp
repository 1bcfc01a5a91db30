#include "base/base64.h"

#include <openssl/evp.h>

namespace cardamom {

std::optional<std::string> decodeBase64(std::string_view Text) {
  static constexpr size_t CharsPerBlock = 4;
  static constexpr size_t BytesPerBlock = 3;
  if (Text.size() % CharsPerBlock != 0)
    return std::nullopt;
  std::string Out(Text.size() / CharsPerBlock * BytesPerBlock, '\0');
  const int Length = EVP_DecodeBlock(
      reinterpret_cast<unsigned char *>(Out.data()),
      reinterpret_cast<const unsigned char *>(Text.data()), int(Text.size()));
  if (Length < 0)
    return std::nullopt;
  size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Out.resize(size_t(Length) - Padding);
  return Out;
}

} // namespace cardamom
