/// \file
/// Server side of the inner protocol (HTTP/2 cleartext by nghttp2).
///
/// Use:
///   inner_server Server({.Host = "127.0.0.1", .Port = 7100, .Self = Self,
///                        .OnRequest = ..., .OnControl = ...});
///   Server.start();          // throws std::system_error when it cannot bind
///   ...
///   Server.stop();           // closes all connections and joins the thread
///
/// stop() sends what windows and sockets take at once, waits up to 200 ms for
/// the peers to read it, and must not be called by a hook. A server is started
/// once. Hooks must not throw.
///
/// One I/O thread parses all connections and calls the hooks, which must not
/// block. A connection whose `hello` carries a higher epoch of the same
/// (name, incarnation) closes the older connections, and discards their unread
/// bytes, before `hello_ok` is sent: every request of an older epoch has been
/// given to OnRequest by then, or never will be.

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
  /// 0 lets the system choose; see inner_server::port().
  uint16_t Port = 0;
  peer_identity Self;
  /// A request other than "/control": its path and its only message. Called on
  /// the I/O thread. The stream may be kept and answered from any thread.
  std::function<void(std::shared_ptr<server_stream> Stream,
                     std::string_view Path, std::string_view Message)>
      OnRequest = {};
  /// A heartbeat or document frame of a peer whose hello was accepted.
  std::function<void(const peer_identity &Peer,
                     const wire::control_frame &Frame)>
      OnControl = {};
  std::function<void(const peer_identity &Peer, uint64_t Epoch)> OnPeerUp = {};
  std::function<void(const peer_identity &Peer, std::string_view Reason)>
      OnPeerDown = {};
  /// A peer that sent nothing for this long is silent; its connection closes.
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
  /// Sends to one peer; does nothing when it is not connected. Thread-safe.
  void sendControl(const peer_identity &Peer, const wire::control_frame &Frame);
  [[nodiscard]] std::vector<peer_identity> peers() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_INNER_SERVER_H
