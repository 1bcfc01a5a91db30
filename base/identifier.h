/// \file
/// Validation of names and parsing of addresses and numbers in settings and
/// configuration.

#ifndef CARDAMOM_BASE_IDENTIFIER_H
#define CARDAMOM_BASE_IDENTIFIER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamom {

/// Description of the format that isIdentifier() accepts, for error messages.
inline constexpr std::string_view IdentifierFormat =
    "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit";

/// Description of the format that parseIpPort() accepts, for error messages.
inline constexpr std::string_view IpPortFormat =
    "an IPv4 address and a port from 1 to 65535, such as 127.0.0.1:7101";

bool isIdentifier(std::string_view Text);

struct ip_port {
  std::string Ip;
  uint16_t Port = 0;
};

/// Parses "IP:port". Each address has exactly one accepted spelling (no leading
/// zeros, no surrounding whitespace), so addresses can be compared as strings.
std::optional<ip_port> parseIpPort(std::string_view Text);

/// Parses an unsigned decimal number without sign, whitespace or leading zeros.
std::optional<uint64_t> parseWholeNumber(std::string_view Text);

} // namespace cardamom

#endif // CARDAMOM_BASE_IDENTIFIER_H
