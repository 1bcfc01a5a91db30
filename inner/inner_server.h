/// \file
/// Server of the inner protocol (cleartext HTTP/2 with nghttp2).
///
/// Use:
///   inner_server Server({.Host = "127.0.0.1", .Port = 7100, .Self = Self,
///                        .OnRequest = ..., .OnControl = ...});
///   Server.start();          // throws std::system_error when it cannot bind
///   ...
///   Server.stop();           // closes all connections and joins the thread
///
/// stop() sends as much queued data as flow control windows and sockets accept
/// without blocking, and waits up to 200 ms for the peers to read it. It must
/// not be called by a hook. A server can be started only once. Hooks must not
/// throw.
///
/// One I/O thread serves all connections and calls the hooks, which must not
/// block. When a connection sends a `hello` with a higher epoch of the same
/// (name, incarnation), the older connection is closed and its unread bytes are
/// discarded before `hello_ok` is sent. By then, every request of an older
/// epoch has been passed to OnRequest or never will be.

#ifndef CARDAMOM_INNER_INNER_SERVER_H
#define CARDAMOM_INNER_INNER_SERVER_H

#include "base/time.h"
#include "inner/peer.h"
#include "inner/server_stream.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

namespace wire {
class control_frame;
} // namespace wire

struct inner_server_options {
  std::string Host = "127.0.0.1";
  /// 0 selects a free port; see inner_server::port().
  uint16_t Port = 0;
  peer_identity Self;
  /// Called on the I/O thread for each request other than "/control", with its
  /// path and its single message. The stream may be kept and answered from any
  /// thread.
  std::function<void(std::shared_ptr<server_stream> Stream,
                     std::string_view Path, std::string_view Message)>
      OnRequest = {};
  /// Called for each heartbeat or document frame from a peer whose hello was
  /// accepted.
  std::function<void(const peer_identity &Peer,
                     const wire::control_frame &Frame)>
      OnControl = {};
  std::function<void(const peer_identity &Peer, uint64_t Epoch)> OnPeerUp = {};
  std::function<void(const peer_identity &Peer, std::string_view Reason)>
      OnPeerDown = {};
  /// A connection on which nothing was received for this long is closed.
  milliseconds SilenceTimeout{3000};
  size_t MaxConnections = 2048;
};

class inner_server {
public:
  explicit inner_server(inner_server_options Options);
  /// Stops the server.
  ~inner_server();
  inner_server(const inner_server &) = delete;
  inner_server &operator=(const inner_server &) = delete;

  void start();
  void stop();
  [[nodiscard]] uint16_t port() const;

  /// Sends a frame on the control stream of every connected peer. Thread-safe.
  void broadcastControl(const wire::control_frame &Frame);
  /// Sends a frame to one peer; does nothing if it is not connected.
  /// Thread-safe.
  void sendControl(const peer_identity &Peer, const wire::control_frame &Frame);
  [[nodiscard]] std::vector<peer_identity> peers() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_INNER_SERVER_H
