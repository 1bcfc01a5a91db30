/// \file
/// Frames of one stream that wait for the socket.

#ifndef CARDAMOM_INNER_OUTBOUND_QUEUE_H
#define CARDAMOM_INNER_OUTBOUND_QUEUE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

namespace cardamom {

/// Thread-safe: any thread pushes, the I/O thread takes.
class outbound_queue {
public:
  /// Callers that wait for room are told when fewer bytes are pending.
  static constexpr size_t WritableThreshold = size_t(64) << 10;

  enum class push_result { Queued, Closed, Full };

  /// Result of one take().
  struct dequeue_result {
    size_t Bytes = 0;
    /// No byte follows.
    bool EndOfStream = false;
    /// Pending bytes fell below WritableBytes.
    bool BecameWritable = false;
  };

  explicit outbound_queue(size_t MaxBytes) : MaxBytes(MaxBytes) {}

  /// Queues the frame of Message. Full means that MaxBytes would be exceeded.
  /// Throws std::length_error on a message above the limit of a frame.
  push_result push(std::string_view Message);
  /// Queues what appendFrame() has made.
  push_result pushFrame(std::string Frame);
  /// No frame follows those queued.
  void finish();
  /// Drops all frames and refuses new ones.
  void close();

  dequeue_result dequeue(std::span<uint8_t> Out);
  [[nodiscard]] size_t pendingBytes() const;
  [[nodiscard]] bool closed() const;

private:
  const size_t MaxBytes;
  mutable std::mutex Mutex;
  std::deque<std::string> Frames;
  /// Bytes of the first frame that were taken.
  size_t Offset = 0;
  size_t PendingBytes = 0;
  bool Finished = false;
  bool Closed = false;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_OUTBOUND_QUEUE_H
