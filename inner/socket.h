/// \file
/// Non-blocking TCP sockets.

#ifndef CARDAMOM_INNER_SOCKET_H
#define CARDAMOM_INNER_SOCKET_H

#include "base/time.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace cardamom {

/// Owns a file descriptor; -1 means none.
class unique_fd {
public:
  unique_fd() = default;
  explicit unique_fd(int Fd) : Fd(Fd) {}
  ~unique_fd() { reset(); }
  unique_fd(unique_fd &&Other) noexcept : Fd(std::exchange(Other.Fd, -1)) {}
  unique_fd &operator=(unique_fd &&Other) noexcept {
    if (this != &Other) {
      reset();
      Fd = std::exchange(Other.Fd, -1);
    }
    return *this;
  }

  [[nodiscard]] int get() const { return Fd; }
  explicit operator bool() const { return Fd >= 0; }
  void reset();

private:
  int Fd = -1;
};

struct socket_address {
  sockaddr_storage Storage = {};
  socklen_t Length = 0;
};

/// Parses "IP:port", with an IPv6 address in brackets. Throws
/// std::invalid_argument, with the address in its text, if the address is
/// malformed.
socket_address parseAddress(std::string_view Address);

/// Listens on the address. Throws std::system_error, with the address in its
/// text, on failure.
unique_fd listenOn(std::string_view Host, uint16_t Port);
[[nodiscard]] uint16_t localPort(int Fd);
/// Accepts a connection without blocking. On failure, returns an empty
/// unique_fd and sets errno.
unique_fd acceptConnection(int Listener);

/// Starts to connect without blocking. On failure, returns an empty unique_fd.
unique_fd startConnect(const socket_address &Address);
/// Shuts down the write side of the sockets, then reads and discards input
/// until the peers have closed or Limit has passed. Closing a socket with
/// unread input would reset the connection, and the peer could lose data that
/// it has not received yet.
void drainSockets(std::span<const int> Sockets, milliseconds Limit);
/// Result of startConnect(), available once the socket is writable: 0 or the
/// errno of the failed attempt.
int connectResult(int Fd);

} // namespace cardamom

#endif // CARDAMOM_INNER_SOCKET_H
