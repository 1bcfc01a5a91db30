/// \file
/// Test helpers: polling, and a recorder for the hook calls of a client stream.

#ifndef CARDAMOM_INNER_TEST_PEERS_H
#define CARDAMOM_INNER_TEST_PEERS_H

#include "base/time.h"
#include "inner/inner_client.h"
#include "inner/inner_server.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cardamom {

/// Polls until Condition holds; returns whether it did in time.
inline bool waitFor(const std::function<bool()> &Condition,
                    milliseconds Limit = milliseconds(10000)) {
  const time_point End = steady_clock::now() + Limit;
  while (!Condition()) {
    if (steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

inline peer_identity testIdentity(std::string Name, uint64_t Incarnation = 1) {
  return {.Name = std::move(Name),
          .Incarnation = Incarnation,
          .FailureDomain = "fd-1",
          .Build = "test",
          .Role = "tool"};
}

inline std::string loopbackAddress(uint16_t Port) {
  return "127.0.0.1:" + std::to_string(unsigned(Port));
}

/// Records the messages and the outcome of one stream. Thread-safe.
class stream_recorder {
public:
  inner_stream_hooks hooks() {
    return {.OnMessage =
                [this](std::string_view Message) {
                  std::lock_guard Lock(Mutex);
                  Messages.emplace_back(Message);
                },
            .OnClose =
                [this](inner_stream_end End, std::string_view Reason) {
                  std::lock_guard Lock(Mutex);
                  ++CloseCount;
                  this->End = End;
                  this->Reason = Reason;
                  Changed.notify_all();
                }};
  }
  /// Waits for OnClose.
  std::optional<inner_stream_end>
  waitClosed(milliseconds Limit = milliseconds(10000)) {
    std::unique_lock Lock(Mutex);
    Changed.wait_for(Lock, Limit, [this] { return CloseCount > 0; });
    return End;
  }
  std::vector<std::string> messages() const {
    std::lock_guard Lock(Mutex);
    return Messages;
  }
  std::string reason() const {
    std::lock_guard Lock(Mutex);
    return Reason;
  }
  unsigned closeCount() const {
    std::lock_guard Lock(Mutex);
    return CloseCount;
  }

private:
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Messages;
  std::optional<inner_stream_end> End;
  std::string Reason;
  unsigned CloseCount = 0;
};

/// Waits until the client is connected to the address.
inline bool waitConnected(const inner_client &Client,
                          const std::string &Address,
                          milliseconds Limit = milliseconds(10000)) {
  return waitFor(
      [&] {
        const auto Status = Client.peer(Address);
        return Status && Status->Connected;
      },
      Limit);
}

} // namespace cardamom

#endif // CARDAMOM_INNER_TEST_PEERS_H
