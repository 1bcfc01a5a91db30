#include "agent/order_giver.h"

#include "base/log.h"
#include "base/metrics.h"

#include <algorithm>
#include <utility>

namespace cardamom {

/// Delay before the store is asked again for a fencing token.
static constexpr milliseconds FenceRetry{1000};

order_giver::order_giver(order_giver_options Options)
    : Options(std::move(Options)), Backoff(this->Options.BackoffMin) {}

order_giver::~order_giver() { stop(); }

void order_giver::start() {
  Thread = std::thread([this] { loop(); });
}

void order_giver::stop() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  if (Thread.joinable())
    Thread.join();
}

void order_giver::loop() {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    PollNow = false;
    Lock.unlock();
    tick(steady_clock::now());
    Lock.lock();
    Wake.wait_for(Lock, Options.PollInterval,
                  [&] { return Stopping || PollNow; });
  }
}

void order_giver::setTarget(const weight_order &New) {
  {
    std::lock_guard Lock(Mutex);
    if (Target == New)
      return;
    Target = New;
    Backoff = Options.BackoffMin;
    OrderRetryAt = {};
    PollNow = true;
  }
  Wake.notify_all();
}

void order_giver::setChecksFence(bool Checks) {
  std::lock_guard Lock(Mutex);
  ChecksFence = Checks;
}

void order_giver::markUnknown() {
  {
    std::lock_guard Lock(Mutex);
    Observed.Known = false;
    Observed.Ready = false;
    PollNow = true;
  }
  Wake.notify_all();
}

observed_engine order_giver::observed() const {
  std::lock_guard Lock(Mutex);
  return Observed;
}

std::optional<weight_order> order_giver::target() const {
  std::lock_guard Lock(Mutex);
  return Target;
}

uint64_t order_giver::fence() const {
  std::lock_guard Lock(Mutex);
  return Fence;
}

void order_giver::observe(const std::optional<engine_status> &Status,
                          time_point Now) {
  bool Changed = false;
  {
    std::lock_guard Lock(Mutex);
    const observed_engine Before = Observed;
    Observed.Known = Status.has_value();
    if (Status)
      Observed.Status = *Status;
    Observed.Ready = Status && Status->State != engine_state::Failed;
    if (!Status || Status->State != engine_state::Loading)
      LoadingSince.reset();
    else if (!LoadingSince)
      LoadingSince = Now;
    Changed =
        Observed.Ready != Before.Ready || Observed.Status != Before.Status;
  }
  if (!Changed)
    return;
  const observed_engine After = observed();
  logInfo("engine_changed",
          {{"upstream", Options.Upstream},
           {"ready", After.Ready ? "true" : "false"},
           {"version", std::to_string(After.Status.Version)}});
  if (Options.OnChange)
    Options.OnChange();
}

bool order_giver::due(time_point Now) const {
  std::lock_guard Lock(Mutex);
  if (!Target || !ChecksFence || !Observed.Known || Now < OrderRetryAt)
    return false;
  const engine_status &Status = Observed.Status;
  if (Status.State == engine_state::Failed)
    return true;
  if (LoadingSince)
    return Now - *LoadingSince >= Options.LoadTimeout;
  // Never back to an older version: the target may lag behind.
  return Status.Model != Target->Model || Status.Version < Target->Version;
}

bool order_giver::ensureFence(time_point Now) {
  {
    std::lock_guard Lock(Mutex);
    if (!*ChecksFence || Fence != 0)
      return true;
    if (Now < FenceRetryAt)
      return false;
    FenceRetryAt = Now + FenceRetry;
  }
  const std::string Key = "fence/" + Options.Upstream;
  const store_result Present = Options.Get(Key);
  if (Present.Status != store_status::Ok &&
      Present.Status != store_status::NotFound)
    return false;
  const uint64_t IfVersion =
      Present.Status == store_status::Ok ? Present.Version : 0;
  // The value is of no use: the version is the token. After a lost answer the
  // next try writes again; the token it skips is never used.
  const store_result Written = Options.Put(Key, "{}", IfVersion);
  if (Written.Status != store_status::Ok)
    return false;
  std::lock_guard Lock(Mutex);
  Fence = Written.Version;
  return true;
}

void order_giver::giveOrder(time_point Now) {
  std::unique_lock Lock(Mutex);
  const weight_order Order = *Target;
  const uint64_t Token = Fence;
  OrderRetryAt = Now + Backoff;
  Backoff = std::min(Backoff * 2, Options.BackoffMax);
  Lock.unlock();
  const order_result Result = Options.Order(Order, Token);
  const char *Outcome = Result == order_result::Accepted   ? "accepted"
                        : Result == order_result::OldFence ? "old_fence"
                                                           : "unknown";
  metrics::get().counter("orders_total", "result", Outcome).add();
  logInfo("weights_ordered", {{"upstream", Options.Upstream},
                              {"version", std::to_string(Order.Version)},
                              {"result", Outcome}});
  if (Result != order_result::OldFence)
    return;
  // This process holds the order port, so the other token is of the past.
  Lock.lock();
  Fence = 0;
}

void order_giver::tick(time_point Now) {
  observe(Options.Status(), Now);
  if (due(Now) && ensureFence(Now))
    giveOrder(Now);
  std::lock_guard Lock(Mutex);
  const bool Reached = Target && Observed.Ready && !LoadingSince &&
                       Observed.Status.Model == Target->Model &&
                       Observed.Status.Version >= Target->Version;
  if (Reached)
    Backoff = Options.BackoffMin;
}

} // namespace cardamom
