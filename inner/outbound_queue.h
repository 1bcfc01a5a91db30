/// \file
/// Queue of the frames to be sent on one stream.

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

/// Thread-safe: any thread may push, and the I/O thread dequeues.
class outbound_queue {
public:
  /// Senders that wait for space are notified when the pending bytes fall below
  /// this.
  static constexpr size_t WritableThreshold = size_t(64) << 10;

  enum class push_result { Queued, Closed, Full };

  /// Result of one dequeue().
  struct dequeue_result {
    size_t Bytes = 0;
    /// No more bytes will follow.
    bool EndOfStream = false;
    /// The pending bytes fell below WritableThreshold.
    bool BecameWritable = false;
  };

  explicit outbound_queue(size_t MaxBytes) : MaxBytes(MaxBytes) {}

  /// Encodes Message as a frame and queues it. Full means that MaxBytes would
  /// be exceeded. Throws std::length_error if the message exceeds
  /// MaxMessageBytes.
  push_result push(std::string_view Message);
  /// Queues a frame encoded by appendFrame().
  push_result pushFrame(std::string Frame);
  /// Ends the stream after the queued frames; further frames are rejected.
  void finish();
  /// Discards all frames and rejects new ones.
  void close();

  dequeue_result dequeue(std::span<uint8_t> Out);
  [[nodiscard]] size_t pendingBytes() const;
  [[nodiscard]] bool closed() const;

private:
  const size_t MaxBytes;
  mutable std::mutex Mutex;
  std::deque<std::string> Frames;
  /// Bytes of the first frame that were already dequeued.
  size_t Offset = 0;
  size_t PendingBytes = 0;
  bool Finished = false;
  bool Closed = false;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_OUTBOUND_QUEUE_H
