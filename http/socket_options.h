/// \file
/// TCP options that all sockets of the HTTP engine share.

#ifndef CARDAMOM_HTTP_SOCKET_OPTIONS_H
#define CARDAMOM_HTTP_SOCKET_OPTIONS_H

#include "base/time.h"

namespace cardamom {

/// Sends small segments at once, and has the kernel end a connection whose
/// peer has acknowledged nothing for about Silence. Options that the system
/// does not have are left out.
void configureSocket(int Descriptor, milliseconds Silence);

} // namespace cardamom

#endif // CARDAMOM_HTTP_SOCKET_OPTIONS_H
