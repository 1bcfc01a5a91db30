#include "http/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace cardamom {

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](unsigned char X, unsigned char Y) {
                      return std::tolower(X) == std::tolower(Y);
                    });
}

std::string_view header_list::get(std::string_view Name) const {
  for (const http_header &Header : Headers)
    if (equalsIgnoringCase(Header.Name, Name))
      return Header.Value;
  return {};
}

bool header_list::has(std::string_view Name) const {
  return std::any_of(Headers.begin(), Headers.end(),
                     [&](const http_header &Header) {
                       return equalsIgnoringCase(Header.Name, Name);
                     });
}

void header_list::add(std::string_view Name, std::string_view Value) {
  Headers.push_back({std::string(Name), std::string(Value)});
}

void header_list::set(std::string_view Name, std::string_view Value) {
  remove(Name);
  add(Name, Value);
}

void header_list::remove(std::string_view Name) {
  std::erase_if(Headers, [&](const http_header &Header) {
    return equalsIgnoringCase(Header.Name, Name);
  });
}

void header_list::removeHopByHopHeaders() {
  static constexpr std::array<std::string_view, 8> RemovedHeaders = {
      "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
      "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};
  std::string ConnectionOptions(get("Connection"));
  while (!ConnectionOptions.empty()) {
    const size_t Comma = ConnectionOptions.find(',');
    std::string Name = ConnectionOptions.substr(0, Comma);
    ConnectionOptions.erase(0, Comma == std::string::npos ? Comma : Comma + 1);
    std::erase(Name, ' ');
    if (!Name.empty())
      remove(Name);
  }
  for (const std::string_view Name : RemovedHeaders)
    remove(Name);
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
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

static std::string percentDecode(std::string_view Text) {
  std::string Out;
  for (size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size() && hexDigit(Text[I + 1]) >= 0 &&
        hexDigit(Text[I + 2]) >= 0) {
      Out += char(hexDigit(Text[I + 1]) * 16 + hexDigit(Text[I + 2]));
      I += 2;
      continue;
    }
    Out += Text[I] == '+' ? ' ' : Text[I];
  }
  return Out;
}

std::string queryParameter(std::string_view Target, std::string_view Name) {
  const size_t Start = Target.find('?');
  if (Start == std::string_view::npos)
    return {};
  std::string_view Query = Target.substr(Start + 1);
  while (!Query.empty()) {
    const size_t End = Query.find('&');
    const std::string_view Pair = Query.substr(0, End);
    Query.remove_prefix(End == std::string_view::npos ? Query.size() : End + 1);
    const size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) != Name)
      continue;
    return Equals == std::string_view::npos
               ? std::string()
               : percentDecode(Pair.substr(Equals + 1));
  }
  return {};
}

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

} // namespace cardamom
