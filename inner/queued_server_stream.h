/// \file
/// The server_stream implementation of inner_server: a queue that the I/O
/// thread sends.

#ifndef CARDAMOM_INNER_QUEUED_SERVER_STREAM_H
#define CARDAMOM_INNER_QUEUED_SERVER_STREAM_H

#include "inner/outbound_queue.h"
#include "inner/server_stream.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace cardamom {

struct queued_server_stream_options {
  std::shared_ptr<const peer_identity> Peer;
  uint64_t Epoch = 0;
  /// Called after the queue has changed, on any thread, at most once until
  /// acknowledgeChange().
  std::function<void()> OnChange;
};

class queued_server_stream final : public server_stream {
public:
  /// Far above what a caller queues if it waits for onWritable(). A stream that
  /// exceeds it is reset.
  static constexpr size_t MaxPendingBytes = size_t(16) << 20;

  explicit queued_server_stream(queued_server_stream_options Options);

  bool send(std::string_view Message) override;
  void finish() override;
  [[nodiscard]] size_t pendingBytes() const override;
  [[nodiscard]] bool closed() const override;
  void onWritable(std::function<void()> Hook) override;
  void onClose(std::function<void()> Hook) override;
  [[nodiscard]] const peer_identity &peer() const override;
  [[nodiscard]] uint64_t epoch() const override;

  // The following are called only on the I/O thread.

  [[nodiscard]] const std::shared_ptr<outbound_queue> &queue() const {
    return Queue;
  }
  /// Lets the next change call OnChange again.
  void acknowledgeChange() { ChangeNotified = false; }
  /// Returns true on the first call only: the response has to be started.
  [[nodiscard]] bool startOnce() { return !std::exchange(Started, true); }
  [[nodiscard]] bool overflowed() const { return Overflowed; }
  void markWritable();
  void markClosed();

private:
  void notifyChange();

  queued_server_stream_options Options;
  std::shared_ptr<outbound_queue> Queue;
  std::atomic<bool> ChangeNotified{false};
  std::atomic<bool> Overflowed{false};
  bool Started = false;
  mutable std::mutex Mutex;
  std::function<void()> WritableHook;
  std::function<void()> CloseHook;
  bool Closed = false;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_QUEUED_SERVER_STREAM_H
