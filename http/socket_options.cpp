#include "http/socket_options.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cardamom {

static void setOption(int Descriptor, int Level, int Name, int Value) {
  setsockopt(Descriptor, Level, Name, &Value, sizeof Value);
}

void configureSocket(int Descriptor, milliseconds AckTimeout) {
  // Linux keep-alive times are whole seconds, with a minimum of one.
  static constexpr int ProbeSeconds = 1;
  const int Probes =
      std::max<int>(1, int(AckTimeout.count() / 1000) - ProbeSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, ProbeSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, ProbeSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, Probes);
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, int(AckTimeout.count()));
}

} // namespace cardamom
