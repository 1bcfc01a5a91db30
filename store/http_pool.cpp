#include "store/http_pool.h"

#include <algorithm>

namespace cardamom {

/// How often stop() interrupts requests. It has to repeat because a request
/// that has just acquired its connection has no open socket yet.
static constexpr milliseconds InterruptInterval{10};

http_pool::http_pool(ip_port Address, milliseconds Timeout, size_t MaxIdle)
    : Address(std::move(Address)), Timeout(Timeout), MaxIdle(MaxIdle) {}

std::unique_ptr<httplib::Client> http_pool::connect() const {
  auto Client = std::make_unique<httplib::Client>(Address.Ip, Address.Port);
  Client->set_keep_alive(true);
  Client->set_tcp_nodelay(true);
  // The paths are percent-encoded already; the library's own encoding would
  // leave '%' and '?' unencoded.
  Client->set_url_encode(false);
  Client->set_connection_timeout(Timeout);
  Client->set_write_timeout(Timeout);
  return Client;
}

std::unique_ptr<httplib::Client> http_pool::acquire() {
  std::lock_guard Lock(Mutex);
  if (Stopped)
    return nullptr;
  std::unique_ptr<httplib::Client> Client;
  if (Idle.empty()) {
    Client = connect();
  } else {
    Client = std::move(Idle.back());
    Idle.pop_back();
  }
  Busy.push_back(Client.get());
  return Client;
}

void http_pool::release(std::unique_ptr<httplib::Client> Client,
                        bool Reusable) {
  {
    std::lock_guard Lock(Mutex);
    Busy.erase(std::find(Busy.begin(), Busy.end(), Client.get()));
    if (Reusable && !Stopped && Idle.size() < MaxIdle)
      Idle.push_back(std::move(Client));
  }
  Released.notify_all();
}

httplib::Result http_pool::run(milliseconds ReadTimeout,
                               const request_function &Request) {
  auto Client = acquire();
  if (Client == nullptr)
    return {nullptr, httplib::Error::Canceled};
  Client->set_read_timeout(ReadTimeout);
  httplib::Result Result = Request(*Client);
  release(std::move(Client), bool(Result));
  return Result;
}

void http_pool::stop() {
  std::unique_lock Lock(Mutex);
  Stopped = true;
  Idle.clear();
  while (!Busy.empty()) {
    for (httplib::Client *Client : Busy)
      Client->stop();
    Released.wait_for(Lock, InterruptInterval);
  }
}

} // namespace cardamom
