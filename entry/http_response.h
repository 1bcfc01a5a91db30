/// \file
/// Conversions between http_reply and cpp-httplib.

#ifndef CARDAMOM_ENTRY_HTTP_RESPONSE_H
#define CARDAMOM_ENTRY_HTTP_RESPONSE_H

#include <string_view>

namespace httplib {
struct Response;
} // namespace httplib

namespace cardamom {

struct http_reply;

/// Copies the status, body and error headers of Reply to Response.
void sendReply(const http_reply &Reply, httplib::Response &Response);

/// Holds a Content-Type that would make cpp-httplib parse the body. See
/// hideFormContentType().
inline constexpr const char *HiddenContentTypeHeader =
    "X-Cardamom-Content-Type";
/// Whether this header is meant only for the entry and must not be sent to an
/// upstream.
bool isInternalHeader(std::string_view Name);

} // namespace cardamom

#endif // CARDAMOM_ENTRY_HTTP_RESPONSE_H
