/// \file
/// One HTTP/2 connection (nghttp2) over a connected socket, for the client and
/// the server of the inner protocol. Request and response bodies consist of the
/// frames defined in frame_codec.h.
///
/// Use:
///   http2_connection Connection(std::move(Fd), {.Side = ..., .Hooks = ...});
///   Connection.receive(Now);   // when the socket is readable
///   Connection.flush();        // at the end of each batch of work
///   if (Connection.failed()) ... // close it; it cannot recover
///
/// Not thread-safe: all calls must come from one thread. Hooks may call any
/// function except receive() and flush(), and must not destroy the connection.

#ifndef CARDAMOM_INNER_HTTP2_CONNECTION_H
#define CARDAMOM_INNER_HTTP2_CONNECTION_H

#include "base/time.h"
#include "inner/frame_codec.h"
#include "inner/outbound_queue.h"
#include "inner/socket.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

struct nghttp2_session;

namespace cardamom {

/// Bytes that a peer may send on one stream before they are consumed.
inline constexpr int32_t StreamWindowBytes = 256 << 10;
/// Maximum number of concurrent streams of a connection, including the control
/// stream.
inline constexpr uint32_t MaxStreams = 1024;

enum class http2_side { Client, Server };

struct http2_hooks {
  /// Server: the header fields of a request have arrived.
  std::function<void(int32_t Stream, std::string_view Path)> OnRequest = {};
  std::function<void(int32_t Stream, std::string_view Message)> OnMessage = {};
  /// The peer will send no more messages on the stream.
  std::function<void(int32_t Stream)> OnRemoteEnd = {};
  /// The stream was closed. Clean is true if both sides ended it without a
  /// reset; Serialized is the last result of requestSerialized(). Not called
  /// for streams that are open when the connection fails.
  std::function<void(int32_t Stream, bool Clean, bool Serialized)>
      OnStreamClose = {};
  /// The pending bytes of the stream fell below
  /// outbound_queue::WritableThreshold.
  std::function<void(int32_t Stream)> OnWritable = {};
};

struct http2_connection_options {
  http2_side Side = http2_side::Client;
  http2_hooks Hooks;
  /// When the connection was established; the initial value of lastReceived().
  time_point Now;
};

class http2_connection {
public:
  http2_connection(unique_fd Socket, http2_connection_options Options);
  ~http2_connection();
  http2_connection(const http2_connection &) = delete;
  http2_connection &operator=(const http2_connection &) = delete;

  /// Reads a bounded number of bytes from the socket and handles them.
  void receive(time_point Now);
  /// Writes until the socket would block or nothing is left to write.
  void flush();
  /// Whether the socket did not accept all bytes. Call flush() once it is
  /// writable.
  [[nodiscard]] bool blocked() const { return !WriteBuffer.empty(); }

  /// Client: sends a request whose body is read from Out. Returns the stream
  /// id; if it is negative, the request was not submitted and the connection
  /// has failed.
  int32_t request(std::string_view Path, std::shared_ptr<outbound_queue> Out);
  /// Server: sends a response whose body is read from Out. Must be called only
  /// once per stream.
  void respond(int32_t Stream, std::shared_ptr<outbound_queue> Out);
  /// Must be called after frames were added to Out of the stream, or after Out
  /// was finished.
  void resume(int32_t Stream);
  void reset(int32_t Stream);
  /// Disables automatic window updates of the stream: received bytes count as
  /// consumed only after consume().
  void enableManualFlowControl(int32_t Stream);
  /// Marks received bytes as consumed. Bytes counts message bytes without frame
  /// headers.
  void consume(int32_t Stream, size_t Bytes);
  /// Whether any byte of the request was passed to the socket. Once the
  /// connection has failed, a result of false is final.
  [[nodiscard]] bool requestSent(int32_t Stream) const;
  /// Whether any byte of the request was passed to the socket or may still be.
  /// Once the stream was reset or closed, a result of false is final.
  [[nodiscard]] bool requestSerialized(int32_t Stream) const;

  /// Marks the connection as unusable; the first reason is kept.
  void fail(std::string_view Reason);
  [[nodiscard]] bool failed() const { return !Failure.empty(); }
  [[nodiscard]] const std::string &failure() const { return Failure; }
  /// When bytes were last received.
  [[nodiscard]] time_point lastReceived() const { return LastReceived; }
  [[nodiscard]] int fd() const { return Socket.get(); }

private:
  friend struct http2_callbacks;

  static constexpr uint64_t NotSerialized = UINT64_MAX;

  struct stream {
    frame_decoder Decoder;
    std::shared_ptr<outbound_queue> Out;
    std::string Path;
    /// Offset of the first byte of the request in the output of the connection.
    uint64_t RequestOffset = NotSerialized;
    bool ManualFlowControl = false;
    uint64_t ReceivedBytes = 0;
    /// Bytes that the caller has released (consumed messages and their frame
    /// headers), and bytes reported to nghttp2 as consumed.
    uint64_t ReleasedBytes = 0;
    uint64_t ConsumedBytes = 0;
  };

  void parseInput(std::string_view Bytes);
  void onData(int32_t Id, std::string_view Bytes);
  void onEndStream(int32_t Id);
  void updateWindow(int32_t Id, stream &Stream);
  void fillWriteBuffer();
  [[nodiscard]] bool writeToSocket();
  void checkSessionEnded();

  unique_fd Socket;
  http2_hooks Hooks;
  nghttp2_session *Session = nullptr;
  std::unordered_map<int32_t, stream> Streams;
  /// Bytes that nghttp2 has serialized and the socket has not accepted yet.
  std::string WriteBuffer;
  /// Total bytes serialized by nghttp2, and total bytes accepted by the socket.
  uint64_t SerializedBytes = 0;
  uint64_t WrittenBytes = 0;
  time_point LastReceived;
  std::string Failure;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_HTTP2_CONNECTION_H
