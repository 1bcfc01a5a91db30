#include "base/identifier.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace cardamom {

static constexpr size_t MaxIdentifierBytes = 64;
static constexpr uint64_t MaxPort = 65535;

static bool isAlphanumeric(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9');
}

bool isIdentifier(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxIdentifierBytes)
    return false;
  if (!isAlphanumeric(Text.front()))
    return false;
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return isAlphanumeric(C) || C == '.' || C == '_' || C == '-';
  });
}

std::optional<uint64_t> parseWholeNumber(std::string_view Text) {
  if (Text.empty() || (Text.size() > 1 && Text.front() == '0'))
    return std::nullopt;
  uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

std::optional<ip_port> parseIpPort(std::string_view Text) {
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  ip_port Result{.Ip = std::string(Text.substr(0, Colon))};
  // inet_pton() stops at a NUL byte and would ignore the rest of the address.
  if (Result.Ip.find('\0') != std::string::npos)
    return std::nullopt;
  in_addr Parsed{};
  if (inet_pton(AF_INET, Result.Ip.c_str(), &Parsed) != 1)
    return std::nullopt;
  const auto Port = parseWholeNumber(Text.substr(Colon + 1));
  if (!Port || *Port == 0 || *Port > MaxPort)
    return std::nullopt;
  Result.Port = uint16_t(*Port);
  return Result;
}

} // namespace cardamom
