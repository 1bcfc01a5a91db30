/// \file
/// Server of responses that never end, for tests of clients.

#ifndef CARDAMOM_HTTP_TEST_ENDLESS_SERVER_H
#define CARDAMOM_HTTP_TEST_ENDLESS_SERVER_H

#include <arpa/inet.h>
#include <atomic>
#include <cppunit/TestAssert.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace cardamom {

/// Server that answers each request with a head and then with the same bytes
/// until the client closes
/// the connection, at most MaxSentBytes on each.
class endless_server {
public:
  endless_server(std::string Head, const std::string &Repeated)
      : Head(std::move(Head)), Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    while (Block.size() < 65536)
      Block += Repeated;
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(Listener,
                                   reinterpret_cast<sockaddr *>(&Address),
                                   sizeof Address));
    ::listen(Listener, 64);
    socklen_t Length = sizeof Address;
    ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Length);
    Port = ntohs(Address.sin_port);
    Acceptor = std::thread([this] { accept(); });
  }
  ~endless_server() {
    ::shutdown(Listener, SHUT_RDWR);
    Acceptor.join();
    for (std::thread &Sender : Senders)
      Sender.join();
    ::close(Listener);
  }
  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(Port);
  }

  static constexpr size_t MaxSentBytes = size_t(128) << 20;
  std::atomic<size_t> SentBytes = 0;
  std::atomic<unsigned> OpenConnections = 0;

private:
  void accept() {
    for (;;) {
      const int Connection = ::accept(Listener, nullptr, nullptr);
      if (Connection < 0)
        return;
      ++OpenConnections;
      Senders.emplace_back([this, Connection] { send(Connection); });
    }
  }

  void send(int Connection) {
    ssize_t Count = ::send(Connection, Head.data(), Head.size(), MSG_NOSIGNAL);
    size_t Sent = 0;
    while (Count > 0 && Sent < MaxSentBytes) {
      Count = ::send(Connection, Block.data(), Block.size(), MSG_NOSIGNAL);
      if (Count > 0) {
        SentBytes += size_t(Count);
        Sent += size_t(Count);
      }
    }
    ::close(Connection);
    --OpenConnections;
  }

  std::string Head;
  std::string Block;
  int Listener;
  uint16_t Port = 0;
  std::thread Acceptor;
  std::vector<std::thread> Senders;
};

} // namespace cardamom

#endif // CARDAMOM_HTTP_TEST_ENDLESS_SERVER_H
