/// \file
/// Client of the inner protocol. Keeps one connection open to each of a set of
/// peers and reconnects with a higher epoch after a failure.
///
/// Use:
///   inner_client Client({.Self = Self, .OnPeerUp = ..., .OnControl = ...});
///   Client.start();
///   Client.addPeer("127.0.0.1:7100");
///   auto Stream = Client.open("127.0.0.1:7100", "/run", Message,
///                             {.OnMessage = ..., .OnClose = ...});
///
/// One I/O thread serves all connections and calls the hooks, which must not
/// block or throw. A stream buffers at most 256 KiB of unconsumed data and one
/// message. start() and stop() are called once; stop() must not be called by a
/// hook.
///
/// A process must have only one client: each client counts its own epochs, so
/// two clients with the same identity would close each other's connections.

#ifndef CARDAMOM_INNER_INNER_CLIENT_H
#define CARDAMOM_INNER_INNER_CLIENT_H

#include "base/time.h"
#include "inner/peer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

namespace wire {
class control_frame;
} // namespace wire

enum class inner_stream_end {
  /// The server ended the stream after its last message.
  Finished,
  /// No byte of the request was passed to a socket, so it cannot have reached
  /// the server.
  NeverSent,
  /// The server reset the stream, the connection was lost or timed out, or the
  /// stream was cancelled by this process. The request may have reached the
  /// server.
  Broken,
};

struct inner_stream_hooks {
  /// Called for each complete message from the server.
  std::function<void(std::string_view Message)> OnMessage = {};
  /// Called exactly once, after the last OnMessage.
  std::function<void(inner_stream_end End, std::string_view Reason)> OnClose =
      {};
};

/// Current connection status of one peer.
struct peer_status {
  std::string Address;
  bool Connected = false;
  /// From the last hello_ok; the name is empty if there was none.
  peer_identity Identity;
  uint64_t Epoch = 0;
  /// When Connected last changed, or when the peer was added.
  time_point Since;
  /// Failed connect attempts since the peer was last connected.
  unsigned FailedAttempts = 0;
};

struct inner_client_options {
  peer_identity Self;
  std::function<void(std::string_view Address, const peer_identity &Peer,
                     uint64_t Epoch)>
      OnPeerUp = {};
  std::function<void(std::string_view Address, std::string_view Reason)>
      OnPeerDown = {};
  std::function<void(std::string_view Address, const peer_identity &Peer,
                     const wire::control_frame &Frame)>
      OnControl = {};
  milliseconds SilenceTimeout{3000};
  milliseconds ConnectTimeout{1000};
  /// Delay before reconnecting. Doubles, with jitter, up to MaxReconnectDelay.
  milliseconds MinReconnectDelay{50};
  milliseconds MaxReconnectDelay{2000};
};

class inner_client {
public:
  /// Identifies a stream of this client; 0 is never used.
  using stream_id = uint64_t;

  explicit inner_client(inner_client_options Options);
  ~inner_client();
  inner_client(const inner_client &) = delete;
  inner_client &operator=(const inner_client &) = delete;

  void start();
  void stop();

  /// Keeps a connection to "IP:port" until removePeer(). Idempotent. Throws
  /// std::invalid_argument, with the address in its text, if the address is
  /// malformed.
  void addPeer(std::string_view Address);
  /// Disconnects the peer; all its streams end as Broken or NeverSent.
  void removePeer(std::string_view Address);

  /// Sends one message as a request on the current connection. If the peer is
  /// not connected, OnClose is called with NeverSent; while the connection
  /// waits for hello_ok, up to 256 requests are queued. The hooks are called on
  /// the I/O thread, or on the calling thread after stop(). Throws
  /// std::length_error if the message exceeds 1 MiB.
  stream_id open(std::string_view Address, std::string_view Path,
                 std::string_view Message, inner_stream_hooks Hooks);
  /// Resets the stream; OnClose is called afterwards. Does nothing if the
  /// stream has ended.
  void cancel(stream_id Stream);
  /// With manual flow control, the server may send 256 KiB beyond what was
  /// passed to consume(). Without it, received bytes count as consumed on
  /// arrival. Bytes counts message bytes without frame headers.
  void enableManualFlowControl(stream_id Stream);
  void consume(stream_id Stream, size_t Bytes);

  void sendControl(std::string_view Address, const wire::control_frame &Frame);
  void broadcastControl(const wire::control_frame &Frame);

  [[nodiscard]] std::optional<peer_status> peer(std::string_view Address) const;
  [[nodiscard]] std::vector<peer_status> peers() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_INNER_CLIENT_H
