/// \file
/// TCP options of all sockets of the HTTP client and server.

#ifndef CARDAMOM_HTTP_SOCKET_OPTIONS_H
#define CARDAMOM_HTTP_SOCKET_OPTIONS_H

#include "base/time.h"

namespace cardamom {

/// Disables Nagle's algorithm, and makes the kernel close a connection whose
/// peer has acknowledged nothing for about AckTimeout. Errors from setsockopt
/// are ignored, so options that the system does not support have no effect.
void configureSocket(int Descriptor, milliseconds AckTimeout);

} // namespace cardamom

#endif // CARDAMOM_HTTP_SOCKET_OPTIONS_H
