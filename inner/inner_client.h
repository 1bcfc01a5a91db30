/// \file
/// Client side of the inner protocol: one connection to each of a set of
/// peers, kept open and opened again with a higher epoch after a failure.
///
/// Use:
///   inner_client Client({.Self = Self, .OnPeerUp = ..., .OnControl = ...});
///   Client.start();
///   Client.addPeer("127.0.0.1:7100");
///   auto Stream = Client.open("127.0.0.1:7100", "/run", Message,
///                             {.OnMessage = ..., .OnClose = ...});
///
/// One I/O thread serves all connections and calls the hooks, which must not
/// block or throw. A stream holds at most 256 KiB of unread data and one
/// message. start() and stop() are called once, and stop() by no hook.
///
/// A process has one client: epochs are counted by the client, so two clients
/// with the same identity would close each other's connections.

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
  /// No byte of the request was handed to a socket: it cannot have arrived.
  NeverSent,
  /// The server reset the stream, the connection was lost or went silent, or
  /// the stream was cancelled here. The request may have arrived.
  Broken,
};

struct inner_stream_hooks {
  /// One whole message of the server.
  std::function<void(std::string_view Message)> OnMessage = {};
  /// Called exactly once, after the last OnMessage.
  std::function<void(inner_stream_end End, std::string_view Reason)> OnClose =
      {};
};

/// State of one peer as of now.
struct peer_status {
  std::string Address;
  bool Connected = false;
  /// Of the last accepted hello; empty name when there was none.
  peer_identity Identity;
  uint64_t Epoch = 0;
  /// When the connection came up, or was lost.
  time_point Since;
  /// Connect attempts that failed since the peer was last connected.
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
  /// Delay before a failed connect is tried again; doubles, with jitter, up to
  /// ReconnectMax.
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

  /// Connects to "IP:port" until removePeer(). Idempotent. Throws
  /// std::invalid_argument that names a malformed address.
  void addPeer(std::string_view Address);
  /// Ends all streams of the peer as Broken or NeverSent and disconnects.
  void removePeer(std::string_view Address);

  /// Sends one message as a request on the present connection. When the peer
  /// is not connected, OnClose is called with NeverSent; a connection that
  /// waits for hello_ok keeps up to 256 requests until then. The hooks are
  /// called on the I/O thread, after stop() on this one. Throws
  /// std::length_error on a message above 1 MiB.
  stream_id open(std::string_view Address, std::string_view Path,
                 std::string_view Message, inner_stream_hooks Hooks);
  /// Resets the stream; OnClose follows. Does nothing when it has ended.
  void cancel(stream_id Stream);
  /// With manual consumption the server may send 256 KiB beyond what was
  /// consumed here. Streams consume by themselves unless holdWindow() was
  /// called for them. Bytes counts those of messages.
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
