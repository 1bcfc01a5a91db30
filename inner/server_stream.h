/// \file
/// One request of a peer and the way to answer it.

#ifndef CARDAMOM_INNER_SERVER_STREAM_H
#define CARDAMOM_INNER_SERVER_STREAM_H

#include "inner/peer.h"

#include <cstddef>
#include <functional>
#include <string_view>

namespace cardamom {

/// Thread-safe handle. Frames are sent in the order of the calls.
class server_stream {
public:
  virtual ~server_stream() = default;

  /// Queues one message. Returns false when the stream is closed; the message
  /// is then lost with the stream.
  virtual bool send(std::string_view Message) = 0;
  /// Ends the stream after the queued messages.
  virtual void finish() = 0;
  /// Bytes queued and not yet handed to the socket. Callers keep it under
  /// 256 KiB by waiting for the hook of onWritable().
  [[nodiscard]] virtual size_t pendingBytes() const = 0;
  [[nodiscard]] virtual bool closed() const = 0;
  /// Hook on the I/O thread, called each time pendingBytes() falls below
  /// 64 KiB after it was above. Must not block.
  virtual void onWritable(std::function<void()> Hook) = 0;
  /// Hook on the I/O thread, called once when the stream has closed for any
  /// reason. Called at once, on this thread, when it is closed already.
  virtual void onClose(std::function<void()> Hook) = 0;
  [[nodiscard]] virtual const peer_identity &peer() const = 0;
  [[nodiscard]] virtual uint64_t epoch() const = 0;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_SERVER_STREAM_H
