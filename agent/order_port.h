/// \file
/// Lock of an upstream against a second agent on the same VM.
///
/// The lock is a TCP port on 127.0.0.1 that stays bound for the life of the
/// process. The system frees it only when the process has exited, so that a
/// paused holder still holds it.

#ifndef CARDAMOM_AGENT_ORDER_PORT_H
#define CARDAMOM_AGENT_ORDER_PORT_H

#include "base/time.h"

#include <atomic>
#include <cstdint>

namespace cardamom {

class order_port {
public:
  order_port() = default;
  /// Frees the port.
  ~order_port();
  order_port(const order_port &) = delete;
  order_port &operator=(const order_port &) = delete;

  /// Binds the port (0 lets the system choose), trying again every 100 ms
  /// while another process holds it. Returns false when Stop was set first.
  /// Throws std::system_error for errors other than a port in use.
  bool acquire(uint16_t Port, const std::atomic<bool> &Stop);
  void release();
  /// The port held, or 0.
  [[nodiscard]] uint16_t port() const { return Held; }

private:
  static constexpr milliseconds RetryInterval{100};

  bool tryBind(uint16_t Port);

  int Socket = -1;
  uint16_t Held = 0;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_ORDER_PORT_H
