/// \file
/// Status and orders of one model engine over HTTP. Formats: "Model engine" in
/// docs/platform-formats.md. Calls block for up to the timeout and never throw
/// for failures of the engine. Thread-safe.

#ifndef CARDAMOM_AGENT_ENGINE_CLIENT_H
#define CARDAMOM_AGENT_ENGINE_CLIENT_H

#include "base/time.h"

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
  /// IP:port of the weight store.
  std::string Source;
  bool operator==(const weight_order &) const = default;
};

enum class order_result {
  Accepted,
  /// The engine has seen a higher fencing token.
  StaleFencingToken,
  /// No answer or another status: the status tells what came of it.
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
                                       uint64_t Fence) const;
  /// Cancels a run. Returns whether the engine confirmed it.
  [[nodiscard]] bool cancel(std::string_view RequestId) const;

private:
  engine_client_options Options;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_ENGINE_CLIENT_H
