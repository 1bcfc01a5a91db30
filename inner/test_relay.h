/// \file
/// Test helper: a TCP relay between a client and a server that can stop
/// forwarding without closing connections, like a network that drops all
/// packets.
///
/// Use:
///   test_relay Relay(Server.port());
///   Client.addPeer(addressOf(Relay.port()));
///   Relay.stall();     // existing connections stall, new ones work
///   Relay.resume();    // forwards the buffered bytes

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

  /// Stops forwarding on the existing connections and buffers what they send.
  void stall() {
    std::lock_guard Lock(Mutex);
    for (connection &Connection : Connections)
      Connection.Stalled = true;
  }
  /// Sets whether connections opened from now on start stalled.
  void stallNewConnections(bool Stalled) { StallNew = Stalled; }
  /// Resumes stalled connections, starting with the buffered bytes.
  void resume() {
    std::lock_guard Lock(Mutex);
    for (connection &Connection : Connections)
      Connection.Stalled = false;
  }
  void closeAll() {
    std::lock_guard Lock(Mutex);
    Connections.clear();
  }
  /// Bytes from clients that are buffered on stalled connections.
  [[nodiscard]] size_t stalledClientBytes() const {
    std::lock_guard Lock(Mutex);
    size_t Sum = 0;
    for (const connection &Connection : Connections)
      Sum += Connection.Stalled ? Connection.ToServer.Bytes.size() : 0;
    return Sum;
  }
  /// Total bytes forwarded in both directions.
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
      const ssize_t Count =
          ::recv(Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Count < 0 && errno == EAGAIN)
        return;
      if (Count <= 0)
        Direction.Ended = true;
      else
        Direction.Bytes.append(Buffer.data(), static_cast<size_t>(Count));
    }
  }

  bool write(int Fd, direction &Direction) {
    while (!Direction.Bytes.empty()) {
      const ssize_t Count =
          ::send(Fd, Direction.Bytes.data(), Direction.Bytes.size(),
                 MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Count < 0)
        return errno == EAGAIN;
      RelayedBytes += static_cast<uint64_t>(Count);
      Direction.Bytes.erase(0, static_cast<size_t>(Count));
    }
    return !Direction.Ended;
  }

  void forward(connection &Connection) {
    read(Connection.Client.get(), Connection.ToServer);
    read(Connection.Server.get(), Connection.ToClient);
    if (Connection.Stalled)
      return;
    const bool ToServerOpen =
        write(Connection.Server.get(), Connection.ToServer);
    const bool ToClientOpen =
        write(Connection.Client.get(), Connection.ToClient);
    Connection.Broken = !ToServerOpen || !ToClientOpen;
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
    connection Connection;
    Connection.Client = std::move(Client);
    Connection.Server = std::move(Server);
    Connection.Stalled = StallNew;
    std::lock_guard Lock(Mutex);
    Connections.push_back(std::move(Connection));
  }

  void run() {
    while (!Stopping) {
      pollfd Ready = {Listener.get(), POLLIN, 0};
      ::poll(&Ready, 1, 1);
      accept();
      std::lock_guard Lock(Mutex);
      for (connection &Connection : Connections)
        forward(Connection);
      std::erase_if(Connections, [](const connection &Connection) {
        return Connection.Broken;
      });
    }
  }

  const uint16_t Target;
  unique_fd Listener;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> StallNew{false};
  std::atomic<uint64_t> RelayedBytes{0};
  mutable std::mutex Mutex;
  std::vector<connection> Connections;
  /// Declared last, since the thread uses the other members.
  std::thread Thread;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_TEST_RELAY_H
