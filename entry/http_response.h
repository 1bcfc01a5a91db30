/// \file
/// Glue between http_reply and cpp-httplib.

#ifndef CARDAMOM_ENTRY_HTTP_RESPONSE_H
#define CARDAMOM_ENTRY_HTTP_RESPONSE_H

#include <string_view>

namespace httplib {
struct Response;
} // namespace httplib

namespace cardamom {

struct http_reply;

/// Writes status, body and the headers of errors.
void sendReply(const http_reply &Reply, httplib::Response &Response);

/// Carries a Content-Type that cpp-httplib would parse by itself; see
/// http_front::hideFormType().
inline constexpr const char *HiddenContentTypeHeader =
    "X-Cardamom-Content-Type";
/// Headers with a meaning for this system alone, which no upstream gets.
bool isInternalHeader(std::string_view Name);

} // namespace cardamom

#endif // CARDAMOM_ENTRY_HTTP_RESPONSE_H
