/// \file
/// One HTTP/2 connection (nghttp2) over a connected socket, for both sides of
/// the inner protocol: bodies of streams are frames of frame_codec.h.
///
/// Use:
///   http2_connection Connection(std::move(Fd), {.Side = ..., .Hooks = ...});
///   Connection.receive(Now);   // when the socket is readable
///   Connection.flush();        // at the end of each batch of work
///   if (Connection.failed()) ... // close it: no call revives it
///
/// All calls are for one thread. Hooks may call any function except receive()
/// and flush(), and must not destroy the connection.

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
/// Streams of one connection, the control stream included.
inline constexpr uint32_t MaxStreams = 1024;

enum class http2_side { Client, Server };

struct http2_hooks {
  /// Server: the header fields of a request have arrived.
  std::function<void(int32_t Stream, std::string_view Path)> OnRequest = {};
  std::function<void(int32_t Stream, std::string_view Message)> OnMessage = {};
  /// The peer sends no further message on the stream.
  std::function<void(int32_t Stream)> OnRemoteEnd = {};
  /// The stream is closed; Clean when both sides ended it without a reset.
  /// Not called for streams that are open when the connection fails.
  std::function<void(int32_t Stream, bool Clean, bool Produced)> OnStreamClose =
      {};
  /// Pending bytes of the stream fell below outbound_queue::WritableBytes.
  std::function<void(int32_t Stream)> OnWritable = {};
};

struct http2_connection_options {
  http2_side Side = http2_side::Client;
  http2_hooks Hooks;
  /// When the connection came up; counts as the first sign of life.
  time_point Now;
};

class http2_connection {
public:
  http2_connection(unique_fd Socket, http2_connection_options Options);
  ~http2_connection();
  http2_connection(const http2_connection &) = delete;
  http2_connection &operator=(const http2_connection &) = delete;

  /// Reads a bounded part of what the socket holds.
  void receive(time_point Now);
  /// Writes until the socket blocks or nothing is left.
  void flush();
  /// The socket did not take all bytes; flush() when it is writable.
  [[nodiscard]] bool blocked() const { return !WriteBuffer.empty(); }

  /// Client: sends a request whose body is Out. Returns the stream.
  int32_t request(std::string_view Path, std::shared_ptr<outbound_queue> Out);
  /// Server: answers with the body Out. To be called once a stream.
  void respond(int32_t Stream, std::shared_ptr<outbound_queue> Out);
  /// Out of the stream has new frames or was finished.
  void resume(int32_t Stream);
  void reset(int32_t Stream);
  /// Leaves it to consume() to open the window of the stream.
  void enableManualFlowControl(int32_t Stream);
  /// Bytes counts those of messages, without their frame headers.
  void consume(int32_t Stream, size_t Bytes);
  /// Whether a byte of the request was handed to the socket. The answer "no"
  /// is final once the connection has failed.
  [[nodiscard]] bool requestSent(int32_t Stream) const;
  /// Whether a byte of the request was or may still be handed to the socket.
  /// The answer "no" is final once the stream was reset or closed.
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
    /// Position of the first byte of the request among all bytes of the
    /// connection.
    uint64_t RequestOffset = NotSerialized;
    bool ManualFlowControl = false;
    uint64_t ReceivedBytes = 0;
    /// Bytes that the holder of the window allowed, and those consumed.
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
  /// Bytes that nghttp2 produced and the socket has not taken.
  std::string WriteBuffer;
  /// Bytes produced by nghttp2, and taken by the socket.
  uint64_t SerializedBytes = 0;
  uint64_t WrittenBytes = 0;
  time_point LastReceived;
  std::string Failure;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_HTTP2_CONNECTION_H
