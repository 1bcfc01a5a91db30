/// \file
/// Pool of persistent HTTP connections to one address, for threads that wait
/// for each response.

#ifndef CARDAMOM_STORE_HTTP_POOL_H
#define CARDAMOM_STORE_HTTP_POOL_H

#include "base/time.h"
#include "http/http_client.h"
#include "http/http_message.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cardamom {

/// How a request ended; Response is valid if Result is Complete.
struct pool_result {
  call_result Result = call_result::NoResponse;
  std::string Detail;
  http_response Response;
};

struct http_pool_options {
  /// "IP:port".
  std::string Address;
  milliseconds ConnectTimeout{2000};
  /// Limit on connections that stay open between requests.
  size_t MaxIdle = 4;
  /// A larger body ends the request as invalid.
  size_t MaxBodyBytes = size_t(16) << 20;
};

/// Thread-safe. Each request has exclusive use of a connection.
class http_pool {
public:
  explicit http_pool(http_pool_options Options);
  ~http_pool();

  /// Sends Request and waits up to Timeout for the whole response. Ends with
  /// NoResponse after stop().
  pool_result run(const http_request &Request, milliseconds Timeout);

  /// Aborts requests in progress and rejects all later ones. Returns when none
  /// is in progress.
  void stop();

private:
  class blocking_client;

  std::shared_ptr<blocking_client> acquire();
  void release(const std::shared_ptr<blocking_client> &Client, bool Reusable);

  const http_pool_options Options;
  std::mutex Mutex;
  std::condition_variable Released;
  std::vector<std::shared_ptr<blocking_client>> Idle;
  std::vector<std::shared_ptr<blocking_client>> Busy;
  bool Stopped = false;
};

} // namespace cardamom

#endif // CARDAMOM_STORE_HTTP_POOL_H
