/// \file
/// Percent encoding of URLs (RFC 3986, section 2.1).

#ifndef CARDAMOM_BASE_PERCENT_ENCODING_H
#define CARDAMOM_BASE_PERCENT_ENCODING_H

#include <string>
#include <string_view>

namespace cardamom {

/// Encodes all bytes except letters, digits and "-._~".
std::string percentEncode(std::string_view Text);

/// Leaves a "%" that no two hexadecimal digits follow as it is.
std::string percentDecode(std::string_view Text);

} // namespace cardamom

#endif // CARDAMOM_BASE_PERCENT_ENCODING_H
