/// \file
/// Server whose responses a test writes byte by byte.

#ifndef CARDAMOM_HTTP_TEST_BLOCKING_SERVER_H
#define CARDAMOM_HTTP_TEST_BLOCKING_SERVER_H

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <cstdint>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cardamom {

/// Accepts one connection at a time on a thread of its own, calls Serve with
/// its socket and closes it.
class blocking_server {
public:
  explicit blocking_server(std::function<void(int Connection)> Serve) {
    Listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(Listener,
                                   reinterpret_cast<sockaddr *>(&Address),
                                   sizeof Address));
    ::listen(Listener, 8);
    socklen_t Length = sizeof Address;
    ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Length);
    Port = ntohs(Address.sin_port);
    Thread = std::thread([this, Serve = std::move(Serve)] {
      while (true) {
        const int Connection = ::accept(Listener, nullptr, nullptr);
        if (Connection < 0)
          return;
        Serve(Connection);
        ::close(Connection);
      }
    });
  }
  ~blocking_server() {
    ::shutdown(Listener, SHUT_RDWR);
    Thread.join();
    ::close(Listener);
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Port);
  }

private:
  int Listener;
  uint16_t Port = 0;
  std::thread Thread;
};

/// Reads up to the end of the head of a request.
inline void readRequest(int Connection) {
  std::string Text;
  char Buffer[4096];
  while (Text.find("\r\n\r\n") == std::string::npos) {
    const ssize_t Count = ::recv(Connection, Buffer, sizeof Buffer, 0);
    if (Count <= 0)
      return;
    Text.append(Buffer, size_t(Count));
  }
}

inline void sendText(int Connection, const std::string &Text) {
  ::send(Connection, Text.data(), Text.size(), MSG_NOSIGNAL);
}

/// Makes the close of the connection a reset (RST).
inline void resetOnClose(int Connection) {
  const linger Abort{.l_onoff = 1, .l_linger = 0};
  CPPUNIT_ASSERT_EQUAL(
      0, ::setsockopt(Connection, SOL_SOCKET, SO_LINGER, &Abort, sizeof Abort));
}

} // namespace cardamom

#endif // CARDAMOM_HTTP_TEST_BLOCKING_SERVER_H
