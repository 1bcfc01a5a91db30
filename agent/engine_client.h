/// \file
/// HTTP client for the status, weight orders and cancellations of one model
/// engine. Formats: "Model engine" in docs/platform-formats.md. Calls block for
/// up to the timeout and do not throw if the engine fails. A response of more
/// than 1 MiB counts as a failure. Thread-safe.

#ifndef CARDAMOM_AGENT_ENGINE_CLIENT_H
#define CARDAMOM_AGENT_ENGINE_CLIENT_H

#include "base/time.h"
#include "store/http_pool.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamom {

enum class engine_state { Ready, Loading, Failed };

struct engine_status {
  std::string Model;
  uint64_t Version = 0;
  engine_state State = engine_state::Failed;
  bool operator==(const engine_status &) const = default;
};

struct weight_order {
  std::string Model;
  uint64_t Version = 0;
  /// IP:port of the server from which the weights are loaded.
  std::string Source;
  bool operator==(const weight_order &) const = default;
};

enum class order_result {
  Accepted,
  /// The engine has seen a higher fencing token.
  StaleFencingToken,
  /// No response or an unexpected status. The engine's status shows whether the
  /// order took effect.
  Unknown,
};

struct engine_client_options {
  /// IP:port.
  std::string Address;
  milliseconds Timeout{1000};
};

class engine_client {
public:
  explicit engine_client(engine_client_options Options);

  [[nodiscard]] std::optional<engine_status> status() const;
  [[nodiscard]] order_result sendOrder(const weight_order &Order,
                                       uint64_t FencingToken) const;
  /// Cancels a run. Returns whether the engine confirmed the cancellation.
  [[nodiscard]] bool cancel(std::string_view RequestId) const;

private:
  pool_result get(std::string Target) const;
  pool_result post(std::string Target, std::string Body) const;

  engine_client_options Options;
  mutable http_pool Pool;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_ENGINE_CLIENT_H
