#include "inner/socket.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <system_error>
#include <unistd.h>
#include <vector>

namespace cardamom {

static constexpr int ListenBacklog = 1024;

void unique_fd::reset() {
  if (Fd >= 0)
    ::close(Fd);
  Fd = -1;
}

static bool isPort(const std::string &Text) {
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Port);
  return Result.ec == std::errc() && Result.ptr == End && Port <= 65535;
}

static std::string stripBrackets(std::string Host) {
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    return Host.substr(1, Host.size() - 2);
  return Host;
}

socket_address parseAddress(std::string_view Address) {
  const auto Malformed = std::invalid_argument(
      "address \"" + std::string(Address) + "\" is not of the form IP:port");
  const size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    throw Malformed;
  const std::string Host = stripBrackets(std::string(Address.substr(0, Colon)));
  const std::string Port(Address.substr(Colon + 1));
  if (Host.empty() || !isPort(Port))
    throw Malformed;
  addrinfo Hints = {};
  Hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  Hints.ai_socktype = SOCK_STREAM;
  addrinfo *Found = nullptr;
  if (::getaddrinfo(Host.c_str(), Port.c_str(), &Hints, &Found) != 0)
    throw Malformed;
  socket_address Result;
  std::memcpy(&Result.Storage, Found->ai_addr, Found->ai_addrlen);
  Result.Length = Found->ai_addrlen;
  ::freeaddrinfo(Found);
  return Result;
}

static void enableSocketOption(int Fd, int Level, int Option) {
  const int On = 1;
  ::setsockopt(Fd, Level, Option, &On, sizeof(On));
}

unique_fd listenOn(std::string_view Host, uint16_t Port) {
  const std::string Name =
      std::string(Host) + ":" + std::to_string(unsigned(Port));
  const socket_address Address = parseAddress(Name);
  unique_fd Fd(::socket(Address.Storage.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  // Lets a restarted process bind while old connections are in TIME_WAIT.
  enableSocketOption(Fd.get(), SOL_SOCKET, SO_REUSEADDR);
  if (!Fd ||
      ::bind(Fd.get(), reinterpret_cast<const sockaddr *>(&Address.Storage),
             Address.Length) != 0 ||
      ::listen(Fd.get(), ListenBacklog) != 0)
    throw std::system_error(errno, std::generic_category(),
                            "cannot listen on " + Name);
  return Fd;
}

uint16_t localPort(int Fd) {
  sockaddr_storage Storage = {};
  socklen_t Length = sizeof(Storage);
  if (::getsockname(Fd, reinterpret_cast<sockaddr *>(&Storage), &Length) != 0)
    return 0;
  if (Storage.ss_family == AF_INET6)
    return ntohs(reinterpret_cast<const sockaddr_in6 *>(&Storage)->sin6_port);
  return ntohs(reinterpret_cast<const sockaddr_in *>(&Storage)->sin_port);
}

unique_fd acceptConnection(int Listener) {
  unique_fd Fd(
      ::accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (Fd)
    enableSocketOption(Fd.get(), IPPROTO_TCP, TCP_NODELAY);
  return Fd;
}

unique_fd startConnect(const socket_address &Address) {
  unique_fd Fd(::socket(Address.Storage.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!Fd)
    return Fd;
  enableSocketOption(Fd.get(), IPPROTO_TCP, TCP_NODELAY);
  if (::connect(Fd.get(), reinterpret_cast<const sockaddr *>(&Address.Storage),
                Address.Length) != 0 &&
      errno != EINPROGRESS)
    return {};
  return Fd;
}

// If nothing listens on a port of the ephemeral range, connecting to that port
// can connect the socket to itself.
static bool isSelfConnection(int Fd) {
  sockaddr_storage Local = {};
  sockaddr_storage Remote = {};
  socklen_t LocalLength = sizeof(Local);
  socklen_t RemoteLength = sizeof(Remote);
  return ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Local),
                       &LocalLength) == 0 &&
         ::getpeername(Fd, reinterpret_cast<sockaddr *>(&Remote),
                       &RemoteLength) == 0 &&
         LocalLength == RemoteLength &&
         std::memcmp(&Local, &Remote, LocalLength) == 0;
}

// Returns whether the peer has closed the connection.
static bool discardInput(int Fd) {
  std::array<char, 4096> Buffer;
  for (;;) {
    const ssize_t Count =
        ::recv(Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    if (Count <= 0)
      return Count == 0 || (errno != EAGAIN && errno != EINTR);
  }
}

void drainSockets(std::span<const int> Sockets, milliseconds Limit) {
  const time_point End = steady_clock::now() + Limit;
  std::vector<pollfd> Open;
  for (int Fd : Sockets) {
    ::shutdown(Fd, SHUT_WR);
    Open.push_back({.fd = Fd, .events = POLLIN, .revents = 0});
  }
  while (!Open.empty() && steady_clock::now() < End) {
    const auto Remaining =
        std::chrono::ceil<milliseconds>(End - steady_clock::now());
    ::poll(Open.data(), Open.size(), static_cast<int>(Remaining.count()));
    std::erase_if(Open, [](const pollfd &Entry) {
      return Entry.revents != 0 && discardInput(Entry.fd);
    });
  }
}

int connectResult(int Fd) {
  int Error = 0;
  socklen_t Length = sizeof(Error);
  if (::getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Length) != 0)
    return errno;
  if (Error == 0 && isSelfConnection(Fd))
    return ECONNREFUSED;
  return Error;
}

} // namespace cardamom
