/// \file
/// Keeps the weights of one engine at the target version.
///
/// Use:
///   weight_reconciler Reconciler({.Upstream = Name, .GetStatus = ...,
///                                 .SendOrder = ..., .Get = ..., .Put = ...});
///   Reconciler.setTarget(weight_order{Model, Version, Source});
///   Reconciler.start();          // polls; tests call tick() instead
///   if (Reconciler.observed().Ready) run();
///
/// The owner must hold the order port, so that no other process on the VM sends
/// orders to the engine. The loaded version is taken only from the engine's own
/// status. While the last load has failed or the status is unknown, the engine
/// is not ready. A failed load is ordered again with exponential backoff.
/// Orders continue while the upstream retires or drains, because runs in
/// progress still need current weights.

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

/// State of the engine as of its last status response.
struct observed_engine {
  /// Whether model calls may be sent: the status is known and not failed.
  bool Ready = false;
  bool StatusKnown = false;
  engine_status Status;
};

struct weight_reconciler_options {
  std::string Upstream;
  std::function<std::optional<engine_status>()> GetStatus;
  std::function<order_result(const weight_order &Order, uint64_t FencingToken)>
      SendOrder;
  std::function<store_result(std::string_view Key)> Get;
  std::function<store_result(std::string_view Key, std::string_view Value,
                             uint64_t IfVersion)>
      Put;
  /// Called without the lock after observed() has changed.
  std::function<void()> OnChange;
  milliseconds PollInterval{200};
  /// Delay before an order is sent again; doubles up to MaxBackoff.
  milliseconds MinBackoff{500};
  milliseconds MaxBackoff{5000};
  /// A load that takes longer than this is ordered again.
  milliseconds LoadTimeout{30000};
};

class weight_reconciler {
public:
  explicit weight_reconciler(weight_reconciler_options Options);
  /// Stops the polling thread.
  ~weight_reconciler();
  weight_reconciler(const weight_reconciler &) = delete;
  weight_reconciler &operator=(const weight_reconciler &) = delete;

  void start();
  void stop();

  void setTarget(const weight_order &Target);
  /// Whether the engine rejects stale fencing tokens. No order is sent before
  /// the first call.
  void setChecksFence(bool ChecksFence);
  /// Marks the engine as not ready until its next status, which is polled
  /// immediately.
  void markUnknown();
  [[nodiscard]] observed_engine observed() const;
  [[nodiscard]] std::optional<weight_order> target() const;
  /// 0 if no token has been obtained.
  [[nodiscard]] uint64_t fencingToken() const;

  /// Polls the status and sends an order if one is due.
  void tick(time_point Now);

private:
  void updateObserved(const std::optional<engine_status> &Status,
                      time_point Now);
  [[nodiscard]] bool isOrderDue(time_point Now) const;
  /// Returns whether an order may be sent now.
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
  /// Version of the object "fence/<upstream>" after this process wrote it. The
  /// store's versions increase even if the object is deleted between two
  /// writes.
  uint64_t FencingToken = 0;
  time_point NextTokenAttempt;
  time_point NextOrderAttempt;
  milliseconds Backoff{0};
  std::optional<time_point> LoadingSince;
  std::thread Thread;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_WEIGHT_RECONCILER_H
