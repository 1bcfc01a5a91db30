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
  void hold() {
    std::lock_guard Lock(Mutex);
    for (link &Link : Links)
      Link.Held = true;
  }
  /// Connections that are opened from now on start in the held state.
  void holdNew(bool Held) { HoldNew = Held; }
  /// Held connections go on with the bytes kept.
  void release() {
    std::lock_guard Lock(Mutex);
    for (link &Link : Links)
      Link.Held = false;
  }
  /// Closes all connections.
  void cut() {
    std::lock_guard Lock(Mutex);
    Links.clear();
  }
  /// Bytes from the client that held connections keep.
  [[nodiscard]] size_t keptFromClients() const {
    std::lock_guard Lock(Mutex);
    size_t Sum = 0;
    for (const link &Link : Links)
      Sum += Link.Held ? Link.ToServer.Bytes.size() : 0;
    return Sum;
  }
  /// Bytes relayed in both directions so far.
  [[nodiscard]] uint64_t relayed() const { return Relayed; }

private:
  struct direction {
    std::string Bytes;
    bool Ended = false;
  };
  struct link {
    unique_fd Client;
    unique_fd Server;
    direction ToServer;
    direction ToClient;
    bool Held = false;
    bool Broken = false;
  };
  static constexpr size_t MaxKept = size_t(4) << 20;

  static void read(int Fd, direction &Direction) {
    std::array<char, 65536> Buffer;
    while (!Direction.Ended && Direction.Bytes.size() < MaxKept) {
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
      Relayed += static_cast<uint64_t>(Put);
      Direction.Bytes.erase(0, static_cast<size_t>(Put));
    }
    return !Direction.Ended;
  }

  void relay(link &Link) {
    read(Link.Client.get(), Link.ToServer);
    read(Link.Server.get(), Link.ToClient);
    if (Link.Held)
      return;
    const bool Forward = write(Link.Server.get(), Link.ToServer);
    const bool Back = write(Link.Client.get(), Link.ToClient);
    Link.Broken = !Forward || !Back;
  }

  void accept() {
    unique_fd Client = acceptFrom(Listener.get());
    if (!Client)
      return;
    unique_fd Server =
        startConnect(parseAddress("127.0.0.1:" + std::to_string(Target)));
    pollfd Ready = {Server.get(), POLLOUT, 0};
    ::poll(&Ready, 1, 1000);
    if (!Server || connectResult(Server.get()) != 0)
      return;
    link Link;
    Link.Client = std::move(Client);
    Link.Server = std::move(Server);
    Link.Held = HoldNew;
    std::lock_guard Lock(Mutex);
    Links.push_back(std::move(Link));
  }

  void run() {
    while (!Stopping) {
      pollfd Ready = {Listener.get(), POLLIN, 0};
      ::poll(&Ready, 1, 1);
      accept();
      std::lock_guard Lock(Mutex);
      for (link &Link : Links)
        relay(Link);
      std::erase_if(Links, [](const link &Link) { return Link.Broken; });
    }
  }

  const uint16_t Target;
  unique_fd Listener;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> HoldNew{false};
  std::atomic<uint64_t> Relayed{0};
  mutable std::mutex Mutex;
  std::vector<link> Links;
  /// Last, since it uses the other members.
  std::thread Thread;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_TEST_RELAY_H
