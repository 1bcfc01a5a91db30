#include "store/http_pool.h"

#include "http/event_loop.h"

#include <algorithm>

namespace cardamom {

/// Client with at most one connection, whose event loop runs only while a
/// request is in progress.
class http_pool::blocking_client {
public:
  explicit blocking_client(const http_pool_options &Options)
      : Client(Loop, {.ConnectTimeout = Options.ConnectTimeout,
                      .MaxIdlePerAddress = 1,
                      .MaxFetchedBytes = Options.MaxBodyBytes}) {}

  pool_result run(const std::string &Address, const http_request &Request,
                  milliseconds Timeout) {
    noticeClosedConnection();
    pool_result Result{.Detail = "cancelled"};
    const call_handle Call =
        Client.fetch(Address, Request, Timeout,
                     [&](const call_completion &End, http_response Response) {
                       Result = {.Result = End.Result,
                                 .Detail = End.Detail,
                                 .Response = std::move(Response)};
                       Loop.stop();
                     });
    Loop.run();
    Loop.restart();
    return Result;
  }

  /// May be called from any thread.
  void cancel() {
    Loop.post([this] { Loop.stop(); });
  }

private:
  /// The peer may have closed the connection since the last request. A timer
  /// ends the loop only after it has polled the socket.
  void noticeClosedConnection() {
    const timer_handle Timer =
        Loop.after(milliseconds(0), [this] { Loop.stop(); });
    Loop.run();
    Loop.restart();
  }

  event_loop Loop;
  http_client Client;
};

http_pool::http_pool(http_pool_options Options) : Options(std::move(Options)) {}

http_pool::~http_pool() = default;

std::shared_ptr<http_pool::blocking_client> http_pool::acquire() {
  std::lock_guard Lock(Mutex);
  if (Stopped)
    return nullptr;
  std::shared_ptr<blocking_client> Client;
  if (Idle.empty()) {
    Client = std::make_shared<blocking_client>(Options);
  } else {
    Client = std::move(Idle.back());
    Idle.pop_back();
  }
  Busy.push_back(Client);
  return Client;
}

void http_pool::release(const std::shared_ptr<blocking_client> &Client,
                        bool Reusable) {
  {
    std::lock_guard Lock(Mutex);
    std::erase(Busy, Client);
    if (Reusable && !Stopped && Idle.size() < Options.MaxIdle)
      Idle.push_back(Client);
  }
  Released.notify_all();
}

pool_result http_pool::run(const http_request &Request, milliseconds Timeout) {
  const std::shared_ptr<blocking_client> Client = acquire();
  if (!Client)
    return {.Detail = "stopped"};
  pool_result Result = Client->run(Options.Address, Request, Timeout);
  release(Client, Result.Result == call_result::Complete);
  return Result;
}

void http_pool::stop() {
  /// How often requests are cancelled. It has to repeat because the loop of a
  /// request that has just begun may not run yet.
  static constexpr milliseconds CancelInterval{10};
  std::unique_lock Lock(Mutex);
  Stopped = true;
  Idle.clear();
  while (!Busy.empty()) {
    for (const auto &Client : Busy)
      Client->cancel();
    Released.wait_for(Lock, CancelInterval);
  }
}

} // namespace cardamom
