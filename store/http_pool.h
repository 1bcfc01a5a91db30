/// \file
/// Pool of persistent HTTP connections to one address.

#ifndef CARDAMOM_STORE_HTTP_POOL_H
#define CARDAMOM_STORE_HTTP_POOL_H

#include "base/identifier.h"
#include "base/time.h"

#include <condition_variable>
#include <functional>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <vector>

namespace cardamom {

/// Thread-safe. Each request has exclusive use of a connection; up to MaxIdle
/// connections stay open between requests.
class http_pool {
public:
  http_pool(ip_port Address, milliseconds Timeout, size_t MaxIdle);

  using request_function = std::function<httplib::Result(httplib::Client &)>;

  /// Runs Request on a connection; each read waits up to ReadTimeout. Returns
  /// Error::Canceled after stop().
  httplib::Result run(milliseconds ReadTimeout,
                      const request_function &Request);

  /// Aborts requests in progress and rejects all later ones. Returns when none
  /// is in progress.
  void stop();

private:
  std::unique_ptr<httplib::Client> acquire();
  void release(std::unique_ptr<httplib::Client> Client, bool Reusable);
  [[nodiscard]] std::unique_ptr<httplib::Client> connect() const;

  const ip_port Address;
  const milliseconds Timeout;
  const size_t MaxIdle;
  std::mutex Mutex;
  std::condition_variable Released;
  std::vector<std::unique_ptr<httplib::Client>> Idle;
  std::vector<httplib::Client *> Busy;
  bool Stopped = false;
};

} // namespace cardamom

#endif // CARDAMOM_STORE_HTTP_POOL_H
