#include "http/http_message.h"

#include "base/percent_encoding.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace cardamom {

bool isValidStatus(unsigned Status) { return Status >= 100 && Status <= 599; }

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

std::string mediaTypeOf(const header_list &Headers) {
  const std::string_view Value = Headers.get("Content-Type");
  std::string Type;
  for (const char C : Value.substr(0, Value.find(';')))
    if (C != ' ' && C != '\t')
      Type += char(std::tolower(static_cast<unsigned char>(C)));
  return Type;
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
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
    if (Equals == std::string_view::npos)
      return {};
    std::string Value(Pair.substr(Equals + 1));
    std::replace(Value.begin(), Value.end(), '+', ' ');
    return percentDecode(Value);
  }
  return {};
}

} // namespace cardamom
