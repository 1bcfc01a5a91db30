/// \file
/// Event-driven HTTP/1.1 client with kept connections.
///
/// Use:
///   http_client Client(Loop, {});
///   call_handle Call = Client.send("127.0.0.1:8080", Request,
///       {.OnHead = ..., .OnBody = ..., .OnEnd = [](const call_end &End) {}});
///   Call.reset(); // gives up: closes the connection, no hook is called
///
/// Kept connections are watched: one that the peer closes, or on which bytes
/// arrive without a request, is dropped and never used for a request. Dead
/// peers are found by TCP keep-alive.

#ifndef CARDAMOM_HTTP_HTTP_CLIENT_H
#define CARDAMOM_HTTP_HTTP_CLIENT_H

#include "base/time.h"
#include "http/http_message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cardamom {

class event_loop;

enum class call_result {
  /// The whole response has arrived.
  Complete,
  /// No connection; no byte of the request was sent.
  NotConnected,
  /// The connection ended before the first byte of a response.
  NoResponse,
  /// The response ended early, or is not HTTP.
  InvalidResponse,
};

std::string_view toString(call_result Result);

struct call_completion {
  call_result Result = call_result::NoResponse;
  /// The connection had served an earlier request.
  bool Reused = false;
  /// What went wrong, for logs.
  std::string Detail;
};

struct call_hooks {
  /// Status and headers; Body is empty. A handler may destroy the call.
  std::function<void(const http_response &)> OnHead;
  std::function<void(std::string_view)> OnBody;
  /// Called once, last. Not called after the handle was destroyed.
  std::function<void(const call_completion &)> OnEnd;
};

class client_call_state;
using call_handle = std::shared_ptr<client_call_state>;

struct http_client_options {
  milliseconds ConnectTimeout{1000};
  /// Kept connections that have been idle for longer are closed.
  milliseconds IdleTimeout{10000};
  /// Kept connections without a request, per address.
  size_t MaxIdlePerAddress = 16;
  /// A peer that acknowledges nothing for about this long is taken for gone.
  milliseconds AckTimeout{2000};
  size_t MaxHeaderBytes = 65536;
};

class http_client {
public:
  http_client(event_loop &Loop, http_client_options Options);
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// Sends Request to Address ("IP:port"). The request's headers are sent as
  /// they are, with Content-Length added. No hook is called before send()
  /// returns.
  [[nodiscard]] call_handle send(const std::string &Address,
                                 const http_request &Request, call_hooks Hooks);
  /// Like send(), collects the body, and ends with NoAnswer after Timeout.
  [[nodiscard]] call_handle fetch(
      const std::string &Address, const http_request &Request,
      milliseconds Timeout,
      const std::function<void(const call_completion &, http_response)> &OnEnd);
  /// Closes the kept connections to Address.
  void closeIdleConnections(const std::string &Address);
  /// Connections opened so far.
  [[nodiscard]] size_t connectionsOpened() const;

  /// Internals, shared with the connections.
  struct state;

private:
  std::shared_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_HTTP_HTTP_CLIENT_H
