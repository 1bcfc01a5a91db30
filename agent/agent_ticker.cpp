#include "agent/agent_state.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace cardamom {

static constexpr milliseconds TickInterval{100};
/// Bounds the work that frequent changes of load cause.
static constexpr milliseconds MinTickInterval{20};
static constexpr milliseconds HeartbeatInterval{1000};
/// Shortest time between two heartbeats.
static constexpr milliseconds HeartbeatGap{100};
static constexpr milliseconds RetentionInterval{1000};

void agent::state::requestHeartbeat(bool Forced) {
  {
    std::lock_guard Lock(TickMutex);
    LoadChanged = true;
    HeartbeatForced |= Forced;
  }
  TickWake.notify_one();
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
    const bool GapPassed = Now - LastHeartbeat >= HeartbeatGap;
    const bool Sent = Now - LastHeartbeat >= HeartbeatInterval ||
                      (GapPassed && (Forced || (Changed && loadDiffers())));
    if (Sent)
      sendHeartbeat(Now);
    Lock.lock();
    if (Sent && Forced)
      HeartbeatForced = false;
    // A change that came within the gap is looked at again.
    if (!Sent && !GapPassed)
      LoadChanged |= Changed;
    const auto IsStopping = [&] { return TickStopping; };
    TickWake.wait_for(Lock, MinTickInterval, IsStopping);
    TickWake.wait_for(Lock, TickInterval - MinTickInterval, [&] {
      return TickStopping || LoadChanged || HeartbeatForced;
    });
  }
}

void agent::state::tick(time_point Now) {
  Guard.onTick(Now);
  Executor.tick(Now);
  const auto Settings = Documents.settings();
  const bool IsModel =
      Settings->Asset && Settings->Asset->Kind == asset_kind::Model;
  if (IsModel && !std::exchange(OrdersStarted, true))
    Orders.start();
  stopSeedsWhenConfigured();
  if (Now - LastRetention < RetentionInterval)
    return;
  LastRetention = Now;
  Table.tick(Now);
  for (const std::string &Id : Table.orphans(Now))
    Executor.cancel(Id, "orphaned", Now);
}

wire::load_report agent::state::makeLoad() const {
  wire::load_report Load;
  Load.set_upstream(Options.Name);
  Executor.fillLoad(Load);
  const auto Settings = Documents.settings();
  const bool IsModel =
      Settings->Asset && Settings->Asset->Kind == asset_kind::Model;
  const observed_engine Observed = Orders.observed();
  Load.set_ready(Settings->Asset && (!IsModel || Observed.Ready));
  if (IsModel && Observed.Known)
    Load.set_observed_version(Observed.Status.Version);
  Load.set_draining(!drainReasons().empty());
  return Load;
}

wire::control_frame agent::state::makeHeartbeat() {
  wire::control_frame Frame;
  wire::heartbeat &Heartbeat = *Frame.mutable_heartbeat();
  Documents.exchange().addVersions(Heartbeat);
  *Heartbeat.mutable_load() = makeLoad();
  Heartbeat.set_draining(Heartbeat.load().draining());
  Heartbeat.set_sequence(++HeartbeatSequence);
  return Frame;
}

static uint32_t work(const wire::load_report &Load) {
  return Load.running() + Load.queued_live() + Load.queued_trainer_first() +
         Load.queued_trainer_second();
}

bool agent::state::loadDiffers() const {
  const wire::load_report Load = makeLoad();
  // Small changes wait for the next second: each heartbeat goes to all peers.
  const uint32_t Step = std::max(1U, Load.slots() / 8);
  const auto Difference = std::abs(int64_t(work(Load)) - work(LastLoad));
  return Difference >= Step || Load.ready() != LastLoad.ready() ||
         Load.draining() != LastLoad.draining() ||
         Load.slots() != LastLoad.slots() ||
         Load.observed_version() != LastLoad.observed_version();
}

void agent::state::sendHeartbeat(time_point Now) {
  const wire::control_frame Frame = makeHeartbeat();
  LastHeartbeat = Now;
  LastLoad = Frame.heartbeat().load();
  Server->broadcastControl(Frame);
  if (Seeds)
    Seeds->broadcastControl(Frame);
}

void agent::state::stopSeedsWhenConfigured() {
  if (!Seeds || !Documents.settings()->Config)
    return;
  Seeds->stop();
  Seeds.reset();
}

} // namespace cardamom
