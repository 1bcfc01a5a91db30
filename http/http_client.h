/// \file
/// Event-driven HTTP/1.1 client with persistent connections.
///
/// Usage:
///   http_client Client(Loop, {});
///   call_handle Call = Client.send("127.0.0.1:8080", Request,
///       {.OnHead = ..., .OnBody = ..., .OnEnd = [](const call_completion &End)
///       {}});
///   Call.reset(); // cancels: closes the connection, runs no hook
///
/// The client keeps reading from idle connections. It closes a connection that
/// the peer has closed or that receives data while no request is outstanding,
/// and never reuses it. TCP keep-alive detects unreachable peers.

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
  /// The complete response was received.
  Complete,
  /// The connection could not be established; nothing was sent.
  NotConnected,
  /// call_hooks::MayWrite refused after the connection was established; nothing
  /// was sent.
  Withheld,
  /// The connection ended before the first byte of the response, or fetch()
  /// timed out.
  NoResponse,
  /// The response was truncated or is not valid HTTP. This includes a body
  /// without length whose connection was reset, a status outside 100 to 599,
  /// and folded header lines.
  InvalidResponse,
};

std::string_view toString(call_result Result);

struct call_completion {
  call_result Result = call_result::NoResponse;
  /// The call used a connection that had already served another call.
  bool Reused = false;
  /// Description of the error, for logs.
  std::string Detail;
  /// fetch() only: the body exceeds http_client_options::MaxFetchedBytes.
  bool BodyTooLarge = false;
};

struct call_hooks {
  /// Id by which the peer's response is recognized; empty = none. The request
  /// is not sent on a connection on which one with this id has been sent
  /// before: a late copy of that response would pass for the new one.
  std::string RequestId;
  /// Asked before the request is written to a new connection, which may be long
  /// after send().
  std::function<bool()> MayWrite;
  /// Receives status and headers; Body is empty. A hook may destroy the call.
  std::function<void(const http_response &)> OnHead;
  std::function<void(std::string_view)> OnBody;
  /// Called once, after all other hooks, unless the handle is destroyed
  /// first.
  std::function<void(const call_completion &)> OnEnd;
};

class client_call_state;
using call_handle = std::shared_ptr<client_call_state>;

struct http_client_options {
  milliseconds ConnectTimeout{1000};
  /// A connection is closed after it has been idle for this long.
  milliseconds IdleTimeout{10000};
  /// Limit on idle connections per address.
  size_t MaxIdlePerAddress = 16;
  /// The connection is closed when the peer sends no TCP acknowledgement for
  /// about this long.
  milliseconds AckTimeout{2000};
  /// Limit on the bytes of a response before its body, including interim
  /// responses, and on those between two parts of its body or after it.
  size_t MaxHeaderBytes = 65536;
  /// Limit on the body that fetch() collects.
  size_t MaxFetchedBytes = size_t(8) << 20;
};

class http_client {
public:
  http_client(event_loop &Loop, http_client_options Options);
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// Sends Request to Address ("IP:port"). The request's headers are sent
  /// unchanged; Content-Length is added where needed. No hook runs before
  /// send() returns.
  [[nodiscard]] call_handle send(const std::string &Address,
                                 const http_request &Request, call_hooks Hooks);
  /// Like send(), but collects the body, and completes with NoResponse after
  /// Timeout and with InvalidResponse when the body is too large.
  [[nodiscard]] call_handle fetch(
      const std::string &Address, const http_request &Request,
      milliseconds Timeout,
      const std::function<void(const call_completion &, http_response)> &OnEnd,
      std::function<bool()> MayWrite = {});
  /// Closes the idle connections to Address.
  void closeIdleConnections(const std::string &Address);
  /// Number of connections opened so far.
  [[nodiscard]] size_t connectionsOpened() const;

  /// Implementation state, shared with the connections.
  struct state;

private:
  std::shared_ptr<state> State;
};

} // namespace cardamom

#endif // CARDAMOM_HTTP_HTTP_CLIENT_H
