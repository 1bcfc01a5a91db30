/// \file
/// Lock that prevents two agents on one VM from serving the same upstream.
///
/// The lock is a TCP port on 127.0.0.1 that the process keeps bound. It is
/// freed only by release() or when the process exits, so a process that is
/// paused still holds the lock.

#ifndef CARDAMOM_AGENT_PORT_LOCK_H
#define CARDAMOM_AGENT_PORT_LOCK_H

#include "base/time.h"

#include <atomic>
#include <cstdint>

namespace cardamom {

class port_lock {
public:
  port_lock() = default;
  /// Releases the port.
  ~port_lock();
  port_lock(const port_lock &) = delete;
  port_lock &operator=(const port_lock &) = delete;

  /// Binds the port (0 lets the system choose) and retries every 100 ms while
  /// another process holds it. Returns false if Stop was set before that.
  /// Throws std::system_error for errors other than a port in use.
  bool acquire(uint16_t Port, const std::atomic<bool> &Stop);
  void release();
  /// The bound port, or 0.
  [[nodiscard]] uint16_t port() const { return HeldPort; }

private:
  static constexpr milliseconds RetryInterval{100};

  bool tryBind(uint16_t Port);

  int Socket = -1;
  uint16_t HeldPort = 0;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_PORT_LOCK_H
