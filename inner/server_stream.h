/// \file
/// Handle of one request from a peer, used to send the response.

#ifndef CARDAMOM_INNER_SERVER_STREAM_H
#define CARDAMOM_INNER_SERVER_STREAM_H

#include "inner/peer.h"

#include <cstddef>
#include <functional>
#include <string_view>

namespace cardamom {

/// Thread-safe handle. Messages are sent in the order of the calls.
class server_stream {
public:
  virtual ~server_stream() = default;

  /// Queues one message. Returns false if the stream is closed or its queue is
  /// full; the message is then dropped, and a stream with a full queue is
  /// reset.
  virtual bool send(std::string_view Message) = 0;
  /// Ends the stream after the queued messages.
  virtual void finish() = 0;
  /// Bytes queued and not yet sent. Callers must keep this below 256 KiB by
  /// waiting for the hook of onWritable().
  [[nodiscard]] virtual size_t pendingBytes() const = 0;
  [[nodiscard]] virtual bool closed() const = 0;
  /// Sets a hook that the I/O thread calls each time pendingBytes() falls below
  /// 64 KiB. The hook must not block.
  virtual void onWritable(std::function<void()> Hook) = 0;
  /// Sets a hook that the I/O thread calls once when the stream has closed for
  /// any reason. If the stream is already closed, the hook is called
  /// immediately on the calling thread.
  virtual void onClose(std::function<void()> Hook) = 0;
  [[nodiscard]] virtual const peer_identity &peer() const = 0;
  [[nodiscard]] virtual uint64_t epoch() const = 0;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_SERVER_STREAM_H
