/// \file
/// Event-driven HTTP/1.1 server.
///
/// Use:
///   http_server Server(Loop, {.Listen = "127.0.0.1:7100",
///                             .OnRequest = [](exchange_ptr Exchange) {
///                               Exchange->answer({.Status = 200});
///                             }});
///   ...
///   Server.drain(); // closes idle connections, and others after their answer
///
/// While a request is being handled its connection is watched, so that the
/// handler learns at once when the caller goes away. Each connection costs two
/// buffers; requests on one connection are handled one after another.

#ifndef CARDAMOM_HTTP_HTTP_SERVER_H
#define CARDAMOM_HTTP_HTTP_SERVER_H

#include "base/time.h"
#include "http/http_message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cardamom {

class event_loop;
class server_connection_state;

/// One request and the means to answer it. Answer it exactly once, with
/// answer() or with startStream() ... finishStream(). All calls after the
/// caller went away are ignored.
class http_exchange {
public:
  http_exchange(std::shared_ptr<server_connection_state> Connection,
                http_request Request, time_point ReceivedAt);
  ~http_exchange();
  http_exchange(const http_exchange &) = delete;
  http_exchange &operator=(const http_exchange &) = delete;

  [[nodiscard]] const http_request &request() const { return Request; }
  [[nodiscard]] time_point receivedAt() const { return ReceivedAt; }

  /// Handles the request as one for another target.
  void setTarget(std::string Target) { Request.Target = std::move(Target); }

  void respond(http_response Response);
  /// Sends status and headers of a response whose body follows in chunks.
  void startStream(http_response Head);
  void writeStream(std::string_view Data);
  void finishStream();
  /// Closes the connection, so that an unfinished answer cannot look complete.
  void abort();
  [[nodiscard]] bool responseStarted() const { return ResponseStarted; }

  /// Called at most once, when the caller goes away before the end of the
  /// answer.
  std::function<void()> OnClientDisconnect;

private:
  friend class server_connection_state;
  std::shared_ptr<server_connection_state> Connection;
  http_request Request;
  time_point ReceivedAt;
  bool ResponseStarted = false;
  bool ResponseFinished = false;
};

using exchange_ptr = std::shared_ptr<http_exchange>;

/// Bounds on what a caller may send; a zero duration means no bound.
struct http_server_limits {
  size_t HeaderBytes = 16384;
  size_t BodyBytes = size_t(32) << 20;
  milliseconds HeaderTimeout{3000};
  milliseconds IdleTimeout{15000};
};

struct http_server_options {
  /// "IP:port".
  std::string Listen;
  http_server_limits Limits;
  /// Open connections; further ones wait in the kernel's queue.
  size_t MaxConnections = 2000;
  std::function<void(exchange_ptr)> OnRequest;
};

class http_server {
public:
  /// Throws std::runtime_error that names the address when it cannot listen.
  http_server(event_loop &Loop, http_server_options Options);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  void setLimits(const http_server_limits &Limits);
  /// Announces the end of each connection with its next answer, and closes
  /// connections without a request once they have been idle for IdleFor.
  void drain(milliseconds IdleFor);
  /// Requests without a complete answer.
  [[nodiscard]] size_t requestsInFlight() const;
  [[nodiscard]] size_t connections() const;

  /// Internals, shared with the connections.
  struct state;

private:
  std::shared_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_HTTP_HTTP_SERVER_H
