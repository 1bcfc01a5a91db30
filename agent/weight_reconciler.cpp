#include "agent/weight_reconciler.h"

#include "base/log.h"
#include "base/metrics.h"

#include <algorithm>
#include <utility>

namespace cardamom {

/// Delay between attempts to obtain a fencing token from the store.
static constexpr milliseconds TokenRetryDelay{1000};

weight_reconciler::weight_reconciler(weight_reconciler_options Options)
    : Options(std::move(Options)), Backoff(this->Options.MinBackoff) {}

weight_reconciler::~weight_reconciler() { stop(); }

void weight_reconciler::start() {
  Thread = std::thread([this] { pollLoop(); });
}

void weight_reconciler::stop() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  WakeCondition.notify_all();
  if (Thread.joinable())
    Thread.join();
}

void weight_reconciler::pollLoop() {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    PollNow = false;
    Lock.unlock();
    tick(steady_clock::now());
    Lock.lock();
    WakeCondition.wait_for(Lock, Options.PollInterval,
                           [&] { return Stopping || PollNow; });
  }
}

void weight_reconciler::setTarget(const weight_order &NewTarget) {
  {
    std::lock_guard Lock(Mutex);
    if (Target == NewTarget)
      return;
    Target = NewTarget;
    Backoff = Options.MinBackoff;
    NextOrderAttempt = {};
    PollNow = true;
  }
  WakeCondition.notify_all();
}

void weight_reconciler::setChecksFence(bool Checks) {
  std::lock_guard Lock(Mutex);
  ChecksFence = Checks;
}

void weight_reconciler::markUnknown() {
  {
    std::lock_guard Lock(Mutex);
    Observed.StatusKnown = false;
    Observed.Ready = false;
    PollNow = true;
  }
  WakeCondition.notify_all();
}

observed_engine weight_reconciler::observed() const {
  std::lock_guard Lock(Mutex);
  return Observed;
}

std::optional<weight_order> weight_reconciler::target() const {
  std::lock_guard Lock(Mutex);
  return Target;
}

uint64_t weight_reconciler::fencingToken() const {
  std::lock_guard Lock(Mutex);
  return FencingToken;
}

void weight_reconciler::updateObserved(
    const std::optional<engine_status> &Status, time_point Now) {
  bool Changed = false;
  {
    std::lock_guard Lock(Mutex);
    const observed_engine Previous = Observed;
    Observed.StatusKnown = Status.has_value();
    if (Status)
      Observed.Status = *Status;
    Observed.Ready = Status && Status->State != engine_state::Failed;
    if (!Status || Status->State != engine_state::Loading)
      LoadingSince.reset();
    else if (!LoadingSince)
      LoadingSince = Now;
    Changed =
        Observed.Ready != Previous.Ready || Observed.Status != Previous.Status;
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

bool weight_reconciler::isOrderDue(time_point Now) const {
  std::lock_guard Lock(Mutex);
  if (!Target || !ChecksFence || !Observed.StatusKnown ||
      Now < NextOrderAttempt)
    return false;
  const engine_status &Status = Observed.Status;
  if (Status.State == engine_state::Failed)
    return true;
  if (LoadingSince)
    return Now - *LoadingSince >= Options.LoadTimeout;
  // The engine is never told to load an older version, because the known target
  // may be out of date.
  return Status.Model != Target->Model || Status.Version < Target->Version;
}

bool weight_reconciler::ensureFencingToken(time_point Now) {
  {
    std::lock_guard Lock(Mutex);
    if (!*ChecksFence || FencingToken != 0)
      return true;
    if (Now < NextTokenAttempt)
      return false;
    NextTokenAttempt = Now + TokenRetryDelay;
  }
  const std::string Key = "fence/" + Options.Upstream;
  const store_result Current = Options.Get(Key);
  if (Current.Status != store_status::Ok &&
      Current.Status != store_status::NotFound)
    return false;
  const uint64_t IfVersion =
      Current.Status == store_status::Ok ? Current.Version : 0;
  // Only the object's version matters: it is the token. If the response is
  // lost, the next attempt writes again, and the version in between is never
  // used as a token.
  const store_result Written = Options.Put(Key, "{}", IfVersion);
  if (Written.Status != store_status::Ok)
    return false;
  std::lock_guard Lock(Mutex);
  FencingToken = Written.Version;
  return true;
}

void weight_reconciler::sendOrder(time_point Now) {
  std::unique_lock Lock(Mutex);
  const weight_order Order = *Target;
  const uint64_t Token = FencingToken;
  NextOrderAttempt = Now + Backoff;
  Backoff = std::min(Backoff * 2, Options.MaxBackoff);
  Lock.unlock();
  const order_result Result = Options.SendOrder(Order, Token);
  const char *Outcome = Result == order_result::Accepted ? "accepted"
                        : Result == order_result::StaleFencingToken
                            ? "old_fence"
                            : "unknown";
  metrics::get().counter("orders_total", "result", Outcome).add();
  logInfo("weights_ordered", {{"upstream", Options.Upstream},
                              {"version", std::to_string(Order.Version)},
                              {"result", Outcome}});
  if (Result != order_result::StaleFencingToken)
    return;
  // This process holds the order port, so the higher token belongs to a process
  // that has exited. A new token is obtained.
  Lock.lock();
  FencingToken = 0;
}

void weight_reconciler::tick(time_point Now) {
  updateObserved(Options.GetStatus(), Now);
  if (isOrderDue(Now) && ensureFencingToken(Now))
    sendOrder(Now);
  std::lock_guard Lock(Mutex);
  const bool TargetReached = Target && Observed.Ready && !LoadingSince &&
                             Observed.Status.Model == Target->Model &&
                             Observed.Status.Version >= Target->Version;
  if (TargetReached)
    Backoff = Options.MinBackoff;
}

} // namespace cardamom
