#include "base/sha256.h"

#include <openssl/evp.h>
#include <stdexcept>

namespace cardamom {

sha256_digest sha256(std::string_view Text) {
  sha256_digest Digest{};
  unsigned Size = 0;
  if (EVP_Digest(Text.data(), Text.size(), Digest.data(), &Size, EVP_sha256(),
                 nullptr) != 1 ||
      Size != Digest.size())
    throw std::runtime_error("cannot compute a SHA-256 digest");
  return Digest;
}

} // namespace cardamom
