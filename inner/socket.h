/// \file
/// TCP sockets by IP address.

#ifndef CARDAMOM_INNER_SOCKET_H
#define CARDAMOM_INNER_SOCKET_H

#include "base/time.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace cardamom {

/// Owner of a file descriptor; -1 is none.
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
/// std::invalid_argument that names a malformed address.
socket_address parseAddress(std::string_view Address);

/// Listens on the address. Throws std::system_error that names the address.
unique_fd listenOn(std::string_view Host, uint16_t Port);
[[nodiscard]] uint16_t localPort(int Fd);
/// Accepts without blocking; returns no descriptor and sets errno on failure.
unique_fd acceptConnection(int Listener);

/// Starts to connect without blocking; returns no descriptor on failure.
unique_fd startConnect(const socket_address &Address);
/// Ends the sending side of the sockets, then reads and discards until the
/// peers have closed or Limit has passed. A close with unread bytes would reset
/// the connection, and the peer could lose bytes that are on the way to it.
void drainSockets(std::span<const int> Sockets, milliseconds Limit);
/// To be called when the socket is writable: returns 0 or the errno of the
/// failed attempt.
int connectResult(int Fd);

} // namespace cardamom

#endif // CARDAMOM_INNER_SOCKET_H
