/// \file
/// Formats of names and addresses in settings and configuration.

#ifndef CARDAMOM_BASE_IDENTIFIER_H
#define CARDAMOM_BASE_IDENTIFIER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamom {

/// What isIdentifier() accepts, for error messages.
inline constexpr std::string_view IdentifierFormat =
    "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit";

/// What parseIpPort() accepts, for error messages.
inline constexpr std::string_view IpPortFormat =
    "an IPv4 address and a port from 1 to 65535, such as 127.0.0.1:7101";

bool isIdentifier(std::string_view Text);

struct ip_port {
  std::string Ip;
  uint16_t Port = 0;
};

/// Reads "IP:port". Each address has exactly one accepted spelling (no leading
/// zeros, no surrounding space), so equal addresses are equal texts.
std::optional<ip_port> parseIpPort(std::string_view Text);

/// Reads a decimal number without sign, space or leading zero.
std::optional<uint64_t> parseWholeNumber(std::string_view Text);

} // namespace cardamom

#endif // CARDAMOM_BASE_IDENTIFIER_H
