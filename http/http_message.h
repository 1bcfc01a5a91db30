/// \file
/// HTTP/1.1 messages of the event-driven server and client.

#ifndef CARDAMOM_HTTP_HTTP_MESSAGE_H
#define CARDAMOM_HTTP_HTTP_MESSAGE_H

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct http_header {
  std::string Name;
  std::string Value;
};

/// Headers in wire order. Names are case-insensitive.
class header_list {
public:
  header_list() = default;
  header_list(std::initializer_list<http_header> Headers) : Headers(Headers) {}

  /// Returns the value of the first header with that name, or an empty string
  /// when there is none.
  [[nodiscard]] std::string_view get(std::string_view Name) const;
  [[nodiscard]] bool has(std::string_view Name) const;
  void add(std::string_view Name, std::string_view Value);
  /// Replaces all headers with that name by a single one.
  void set(std::string_view Name, std::string_view Value);
  void remove(std::string_view Name);
  /// Removes the hop-by-hop headers (RFC 9110, 7.6.1) and the headers that
  /// frame the body.
  void removeHopByHopHeaders();

  [[nodiscard]] auto begin() const { return Headers.begin(); }
  [[nodiscard]] auto end() const { return Headers.end(); }

private:
  std::vector<http_header> Headers;
};

struct http_request {
  std::string Method;
  /// Path and query as in the request line.
  std::string Target;
  header_list Headers;
  std::string Body;
};

struct http_response {
  unsigned Status = 0;
  header_list Headers;
  std::string Body;
};

/// Returns whether HTTP defines a class for the status: 100 to 599 (RFC 9110,
/// 15).
bool isValidStatus(unsigned Status);

/// Compares header names and other ASCII tokens case-insensitively.
bool equalsIgnoringCase(std::string_view A, std::string_view B);

/// Returns the media type of a response in lower case and without parameters,
/// such as "text/event-stream", or an empty string if it states none.
std::string mediaTypeOf(const header_list &Headers);

/// Returns the path of a request target, without the query.
std::string_view pathOf(std::string_view Target);

/// Returns the percent-decoded value of a query parameter, or an empty string
/// when it is absent.
std::string queryParameter(std::string_view Target, std::string_view Name);

} // namespace cardamom

#endif // CARDAMOM_HTTP_HTTP_MESSAGE_H
