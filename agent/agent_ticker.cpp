#include "agent/agent_state.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace cardamom {

static constexpr milliseconds TickInterval{100};
/// Bounds the number of ticks that frequent load changes cause.
static constexpr milliseconds MinTickInterval{20};
static constexpr milliseconds HeartbeatInterval{1000};
/// Minimum time between two heartbeats.
static constexpr milliseconds MinHeartbeatInterval{100};
static constexpr milliseconds CleanupInterval{1000};

void agent::state::requestHeartbeat(bool Forced) {
  {
    std::lock_guard Lock(TickMutex);
    LoadChanged = true;
    HeartbeatForced |= Forced;
  }
  TickCondition.notify_one();
}

void agent::state::tickLoop() {
  std::unique_lock Lock(TickMutex);
  while (!TickStopping) {
    const bool Changed = LoadChanged;
    const bool Forced = HeartbeatForced;
    LoadChanged = false;
    Lock.unlock();
    const time_point Now = steady_clock::now();
    tick(Now);
    const bool MinIntervalPassed = Now - LastHeartbeat >= MinHeartbeatInterval;
    const bool ShouldSend =
        Now - LastHeartbeat >= HeartbeatInterval ||
        (MinIntervalPassed &&
         (Forced || (Changed && hasSignificantLoadChange())));
    if (ShouldSend)
      sendHeartbeat(Now);
    Lock.lock();
    if (ShouldSend && Forced)
      HeartbeatForced = false;
    // A change within the minimum interval is considered again at the next
    // tick.
    if (!ShouldSend && !MinIntervalPassed)
      LoadChanged |= Changed;
    const auto IsStopping = [&] { return TickStopping; };
    TickCondition.wait_for(Lock, MinTickInterval, IsStopping);
    TickCondition.wait_for(Lock, TickInterval - MinTickInterval, [&] {
      return TickStopping || LoadChanged || HeartbeatForced;
    });
  }
}

void agent::state::tick(time_point Now) {
  PauseGuard.onTick(Now);
  Executor.tick(Now);
  const auto Settings = Documents.settings();
  const bool IsModel =
      Settings->Asset && Settings->Asset->Kind == asset_kind::Model;
  if (IsModel && !std::exchange(ReconcilerStarted, true))
    Reconciler.start();
  stopSeedClientWhenConfigured();
  if (Now - LastCleanup < CleanupInterval)
    return;
  LastCleanup = Now;
  Table.tick(Now);
  for (const std::string &Id : Table.orphans(Now))
    Executor.cancel(Id, "orphaned", Now);
}

wire::load_report agent::state::makeLoadReport() const {
  wire::load_report Load;
  Load.set_upstream(Options.Name);
  Executor.fillLoadReport(Load);
  const auto Settings = Documents.settings();
  const bool IsModel =
      Settings->Asset && Settings->Asset->Kind == asset_kind::Model;
  const observed_engine Observed = Reconciler.observed();
  Load.set_ready(Settings->Asset && (!IsModel || Observed.Ready));
  if (IsModel && Observed.StatusKnown)
    Load.set_observed_version(Observed.Status.Version);
  Load.set_draining(!drainReasons().empty());
  return Load;
}

wire::control_frame agent::state::makeHeartbeat() {
  wire::control_frame Frame;
  wire::heartbeat &Heartbeat = *Frame.mutable_heartbeat();
  Documents.exchange().addVersions(Heartbeat);
  *Heartbeat.mutable_load() = makeLoadReport();
  Heartbeat.set_draining(Heartbeat.load().draining());
  Heartbeat.set_sequence(++HeartbeatSequence);
  return Frame;
}

static uint32_t activeAndQueuedRuns(const wire::load_report &Load) {
  return Load.running() + Load.queued_live() + Load.queued_trainer_first() +
         Load.queued_trainer_second();
}

bool agent::state::hasSignificantLoadChange() const {
  const wire::load_report Load = makeLoadReport();
  // Small changes are sent with the next regular heartbeat, because each
  // heartbeat goes to all peers.
  const uint32_t Threshold = std::max(1U, Load.slots() / 8);
  const auto Difference = std::abs(int64_t(activeAndQueuedRuns(Load)) -
                                   activeAndQueuedRuns(LastSentLoad));
  return Difference >= Threshold || Load.ready() != LastSentLoad.ready() ||
         Load.draining() != LastSentLoad.draining() ||
         Load.slots() != LastSentLoad.slots() ||
         Load.observed_version() != LastSentLoad.observed_version();
}

void agent::state::sendHeartbeat(time_point Now) {
  const wire::control_frame Frame = makeHeartbeat();
  LastHeartbeat = Now;
  LastSentLoad = Frame.heartbeat().load();
  Server->broadcastControl(Frame);
  if (SeedClient)
    SeedClient->broadcastControl(Frame);
}

void agent::state::stopSeedClientWhenConfigured() {
  if (!SeedClient || !Documents.settings()->Config)
    return;
  SeedClient->stop();
  SeedClient.reset();
}

} // namespace cardamom
