/// \file
/// Keeps the weights of one engine at the wanted version.
///
/// Use:
///   order_giver Giver({.Upstream = Name, .Status = ..., .Order = ...,
///                      .Get = ..., .Put = ...});
///   Giver.setTarget(weight_order{Model, Version, Source});
///   Giver.start();               // polls; or call tick() from a test
///   if (Giver.observed().Ready) run();
///
/// The owner holds the order port, so that no other process of the VM gives
/// orders. Only the engine's own status says which version it has. A failed or
/// unknown swap makes the engine not ready; the order is repeated with
/// back-off. Retiring or draining does not stop orders: work that is still
/// running wants current weights.

#ifndef CARDAMOM_AGENT_WEIGHT_RECONCILER_H
#define CARDAMOM_AGENT_WEIGHT_RECONCILER_H

#include "agent/engine_client.h"
#include "base/time.h"
#include "store/store_client.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace cardamom {

/// What the engine last said of itself.
struct observed_engine {
  /// Whether model work may be sent: the status is known and not failed.
  bool Ready = false;
  bool StatusKnown = false;
  engine_status Status;
};

struct weight_reconciler_options {
  std::string Upstream;
  std::function<std::optional<engine_status>()> GetStatus;
  std::function<order_result(const weight_order &Order, uint64_t Fence)>
      SendOrder;
  std::function<store_result(std::string_view Key)> Get;
  std::function<store_result(std::string_view Key, std::string_view Value,
                             uint64_t IfVersion)>
      Put;
  /// Called without the lock when observed() has changed.
  std::function<void()> OnChange;
  milliseconds PollInterval{200};
  /// Delay before an order is repeated; doubles up to BackoffMax.
  milliseconds MinBackoff{500};
  milliseconds MaxBackoff{5000};
  /// A load that takes longer is ordered again.
  milliseconds LoadTimeout{30000};
};

class weight_reconciler {
public:
  explicit weight_reconciler(weight_reconciler_options Options);
  /// Stops the thread.
  ~weight_reconciler();
  weight_reconciler(const weight_reconciler &) = delete;
  weight_reconciler &operator=(const weight_reconciler &) = delete;

  void start();
  void stop();

  void setTarget(const weight_order &Target);
  /// Whether the engine refuses old fencing tokens. Until this is called no
  /// order is given.
  void setChecksFence(bool ChecksFence);
  /// The engine is not ready until its next status, which is asked for at
  /// once.
  void markUnknown();
  [[nodiscard]] observed_engine observed() const;
  [[nodiscard]] std::optional<weight_order> target() const;
  /// 0 while there is no token.
  [[nodiscard]] uint64_t fencingToken() const;

  /// Polls the status and gives an order when one is due.
  void tick(time_point Now);

private:
  void updateObserved(const std::optional<engine_status> &Status,
                      time_point Now);
  [[nodiscard]] bool isOrderDue(time_point Now) const;
  /// Returns whether orders may be given now.
  bool ensureFencingToken(time_point Now);
  void sendOrder(time_point Now);
  void pollLoop();

  weight_reconciler_options Options;
  mutable std::mutex Mutex;
  std::condition_variable WakeCondition;
  bool Stopping = false;
  bool PollNow = false;
  std::optional<weight_order> Target;
  std::optional<bool> ChecksFence;
  observed_engine Observed;
  /// Version of "fence/<upstream>" that this process wrote. The store's
  /// versions rise even when the object is deleted between two writes.
  uint64_t FencingToken = 0;
  time_point NextTokenAttempt;
  time_point NextOrderAttempt;
  milliseconds Backoff{0};
  std::optional<time_point> LoadingSince;
  std::thread Thread;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_WEIGHT_RECONCILER_H
