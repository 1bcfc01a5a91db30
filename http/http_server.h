/// \file
/// Event-driven HTTP/1.1 server.
///
/// Usage:
///   http_server Server(Loop, {.Listen = "127.0.0.1:7100",
///                             .OnRequest = [](exchange_ptr Exchange) {
///                               Exchange->respond({.Status = 200});
///                             }});
///   ...
///   Server.drain(milliseconds(500)); // closes connections that are idle for
///                                    // 500 ms, and others after their next
///                                    // response
///
/// The server keeps reading from a connection while its request is handled, to
/// notify the handler immediately when the client disconnects. Each connection
/// has two buffers; requests on one connection are handled sequentially.

#ifndef CARDAMOM_HTTP_HTTP_SERVER_H
#define CARDAMOM_HTTP_HTTP_SERVER_H

#include "base/time.h"
#include "http/http_message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

class event_loop;
class server_connection_state;

/// A request and its response. Respond exactly once, with respond() or with
/// startStream() ... finishStream(). All calls are ignored after the client has
/// disconnected.
class http_exchange {
public:
  http_exchange(std::shared_ptr<server_connection_state> Connection,
                http_request Request, time_point ReceivedAt);
  ~http_exchange();
  http_exchange(const http_exchange &) = delete;
  http_exchange &operator=(const http_exchange &) = delete;

  [[nodiscard]] const http_request &request() const { return Request; }
  [[nodiscard]] time_point receivedAt() const { return ReceivedAt; }

  /// Headers of the request, to remove what later stages must not see.
  header_list &requestHeaders() { return Request.Headers; }
  /// Replaces the request target (path and query).
  void setTarget(std::string Target) { Request.Target = std::move(Target); }

  void respond(http_response Response);
  /// Sends the status and headers of a response with a chunked body.
  void startStream(http_response Head);
  void writeStream(std::string_view Data);
  void finishStream();
  /// Closes the connection, so that an unfinished response cannot be taken for
  /// a complete one.
  void abort();
  [[nodiscard]] bool responseStarted() const { return ResponseStarted; }

  /// Called at most once, when the client disconnects before the response has
  /// been finished.
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

/// Limits on client requests; a zero duration disables the timeout.
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
  /// Limit on open connections; further ones wait in the kernel's accept queue.
  size_t MaxConnections = 2000;
  /// May throw; see handleExchange().
  std::function<void(exchange_ptr)> OnRequest;
};

/// Runs Task, which handles the exchange. An exception ends the exchange
/// instead of the process: it is logged and counted in
/// request_exceptions_total, and the client gets status 500, or a closed
/// connection if the response has been started.
void handleExchange(const exchange_ptr &Exchange,
                    const std::function<void()> &Task);

class http_server {
public:
  /// Throws std::runtime_error that names the address if it cannot listen.
  http_server(event_loop &Loop, http_server_options Options);
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  void setLimits(const http_server_limits &Limits);
  /// Closes each connection after its next response, which carries
  /// "Connection: close", and closes connections that have been idle for
  /// IdleFor.
  void drain(milliseconds IdleFor);
  /// Refuses new connections from now on.
  void refuseConnections();
  /// Number of requests without a complete response.
  [[nodiscard]] size_t requestsInFlight() const;
  [[nodiscard]] size_t connections() const;
  /// The requests without a complete response.
  [[nodiscard]] std::vector<std::shared_ptr<http_exchange>>
  unfinishedExchanges() const;

  /// Implementation state, shared with the connections.
  struct state;

private:
  std::shared_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_HTTP_HTTP_SERVER_H
