#include "agent/port_lock.h"

#include "base/log.h"

#include <cerrno>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace cardamom {

port_lock::~port_lock() { release(); }

void port_lock::release() {
  if (Socket >= 0)
    close(Socket);
  Socket = -1;
  HeldPort = 0;
}

bool port_lock::tryBind(uint16_t Port) {
  const auto Fail = [&](const char *What) {
    const int Error = errno;
    release();
    throw std::system_error(Error, std::generic_category(),
                            std::string(What) + " of order port " +
                                std::to_string(Port));
  };
  // SO_REUSEADDR is not set, so that a second bind fails while the first socket
  // is open.
  Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    Fail("socket");
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (bind(Socket, Generic, sizeof Address) != 0) {
    if (errno != EADDRINUSE)
      Fail("bind");
    release();
    return false;
  }
  socklen_t Length = sizeof Address;
  if (getsockname(Socket, Generic, &Length) != 0)
    Fail("getsockname");
  HeldPort = ntohs(Address.sin_port);
  return true;
}

bool port_lock::acquire(uint16_t Port, const std::atomic<bool> &Stop) {
  bool Logged = false;
  while (!Stop) {
    if (tryBind(Port))
      return true;
    if (!Logged)
      logInfo("order_port_held", {{"port", std::to_string(Port)}});
    Logged = true;
    std::this_thread::sleep_for(RetryInterval);
  }
  return false;
}

} // namespace cardamom
