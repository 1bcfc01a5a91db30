/// \file
/// Lock of an upstream against a second agent on the same VM.
///
/// The lock is a TCP port on 127.0.0.1 that stays bound for the life of the
/// process. The system frees it only when the process has exited, so that a
/// paused holder still holds it.

#ifndef CARDAMOM_AGENT_PORT_LOCK_H
#define CARDAMOM_AGENT_PORT_LOCK_H

#include "base/time.h"

#include <atomic>
#include <cstdint>

namespace cardamom {

class port_lock {
public:
  port_lock() = default;
  /// Frees the port.
  ~port_lock();
  port_lock(const port_lock &) = delete;
  port_lock &operator=(const port_lock &) = delete;

  /// Binds the port (0 lets the system choose), trying again every 100 ms
  /// while another process holds it. Returns false when Stop was set first.
  /// Throws std::system_error for errors other than a port in use.
  bool acquire(uint16_t Port, const std::atomic<bool> &Stop);
  void release();
  /// The port held, or 0.
  [[nodiscard]] uint16_t port() const { return HeldPort; }

private:
  static constexpr milliseconds RetryInterval{100};

  bool tryBind(uint16_t Port);

  int Socket = -1;
  uint16_t HeldPort = 0;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_PORT_LOCK_H
