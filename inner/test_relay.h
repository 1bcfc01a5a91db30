/// \file
/// Test only: a TCP relay between a client and a server that can stop relaying
/// without closing, as a network does that loses all packets.
///
/// Use:
///   test_relay Relay(Server.port());
///   Client.addPeer(addressOf(Relay.port()));
///   Relay.hold();      // present connections go silent, new ones work
///   Relay.release();   // held bytes go on

#ifndef CARDAMOM_INNER_TEST_RELAY_H
#define CARDAMOM_INNER_TEST_RELAY_H

#include "inner/socket.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace cardamom {

class test_relay {
public:
  explicit test_relay(uint16_t Target)
      : Target(Target), Listener(listenOn("127.0.0.1", 0)),
        Thread([this] { run(); }) {}
  ~test_relay() {
    Stopping = true;
    Thread.join();
  }
  test_relay(const test_relay &) = delete;
  test_relay &operator=(const test_relay &) = delete;

  [[nodiscard]] uint16_t port() const { return localPort(Listener.get()); }

  /// Present connections stop; what they send is kept.
  void stall() {
    std::lock_guard Lock(Mutex);
    for (connection &Link : Connections)
      Link.Stalled = true;
  }
  /// Connections that are opened from now on start in the held state.
  void stallNewConnections(bool Held) { StallNew = Held; }
  /// Held connections go on with the bytes kept.
  void resume() {
    std::lock_guard Lock(Mutex);
    for (connection &Link : Connections)
      Link.Stalled = false;
  }
  /// Closes all connections.
  void closeAll() {
    std::lock_guard Lock(Mutex);
    Connections.clear();
  }
  /// Bytes from the client that held connections keep.
  [[nodiscard]] size_t stalledClientBytes() const {
    std::lock_guard Lock(Mutex);
    size_t Sum = 0;
    for (const connection &Link : Connections)
      Sum += Link.Stalled ? Link.ToServer.Bytes.size() : 0;
    return Sum;
  }
  /// Bytes relayed in both directions so far.
  [[nodiscard]] uint64_t relayedBytes() const { return RelayedBytes; }

private:
  struct direction {
    std::string Bytes;
    bool Ended = false;
  };
  struct connection {
    unique_fd Client;
    unique_fd Server;
    direction ToServer;
    direction ToClient;
    bool Stalled = false;
    bool Broken = false;
  };
  static constexpr size_t MaxBufferedBytes = size_t(4) << 20;

  static void read(int Fd, direction &Direction) {
    std::array<char, 65536> Buffer;
    while (!Direction.Ended && Direction.Bytes.size() < MaxBufferedBytes) {
      const ssize_t Got =
          ::recv(Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Got < 0 && errno == EAGAIN)
        return;
      if (Got <= 0)
        Direction.Ended = true;
      else
        Direction.Bytes.append(Buffer.data(), static_cast<size_t>(Got));
    }
  }

  bool write(int Fd, direction &Direction) {
    while (!Direction.Bytes.empty()) {
      const ssize_t Put =
          ::send(Fd, Direction.Bytes.data(), Direction.Bytes.size(),
                 MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Put < 0)
        return errno == EAGAIN;
      RelayedBytes += static_cast<uint64_t>(Put);
      Direction.Bytes.erase(0, static_cast<size_t>(Put));
    }
    return !Direction.Ended;
  }

  void forward(connection &Link) {
    read(Link.Client.get(), Link.ToServer);
    read(Link.Server.get(), Link.ToClient);
    if (Link.Stalled)
      return;
    const bool Forward = write(Link.Server.get(), Link.ToServer);
    const bool Back = write(Link.Client.get(), Link.ToClient);
    Link.Broken = !Forward || !Back;
  }

  void accept() {
    unique_fd Client = acceptConnection(Listener.get());
    if (!Client)
      return;
    unique_fd Server =
        startConnect(parseAddress("127.0.0.1:" + std::to_string(Target)));
    pollfd Ready = {Server.get(), POLLOUT, 0};
    ::poll(&Ready, 1, 1000);
    if (!Server || connectResult(Server.get()) != 0)
      return;
    connection Link;
    Link.Client = std::move(Client);
    Link.Server = std::move(Server);
    Link.Stalled = StallNew;
    std::lock_guard Lock(Mutex);
    Connections.push_back(std::move(Link));
  }

  void run() {
    while (!Stopping) {
      pollfd Ready = {Listener.get(), POLLIN, 0};
      ::poll(&Ready, 1, 1);
      accept();
      std::lock_guard Lock(Mutex);
      for (connection &Link : Connections)
        forward(Link);
      std::erase_if(Connections,
                    [](const connection &Link) { return Link.Broken; });
    }
  }

  const uint16_t Target;
  unique_fd Listener;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> StallNew{false};
  std::atomic<uint64_t> RelayedBytes{0};
  mutable std::mutex Mutex;
  std::vector<connection> Connections;
  /// Last, since it uses the other members.
  std::thread Thread;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_TEST_RELAY_H
