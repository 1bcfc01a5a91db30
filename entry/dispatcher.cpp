#include "entry/dispatcher.h"

#include "entry/dispatcher_request.h"
#include "policy/rendezvous.h"

#include <algorithm>
#include <utility>

namespace cardamom {

// Interval at which a request without an eligible upstream looks for one again.
static constexpr milliseconds NoUpstreamPollInterval{20};
// Upper limit of one wait of the event loop. Timers and events end it earlier.
static constexpr milliseconds MaxSleep{1000};

static inner_stream_hooks discardResponse() {
  return {.OnMessage = [](std::string_view) {},
          .OnClose = [](inner_stream_end, std::string_view) {}};
}

dispatcher::dispatcher(dispatcher_options Options)
    : Options(std::move(Options)), Router({.Random = this->Options.Random}),
      RetryBudget([this] {
        retry_budget_options Budget = this->Options.RetryBudget;
        if (!Budget.Random)
          Budget.Random = this->Options.Random;
        return Budget;
      }()) {}

dispatcher::~dispatcher() = default;

bool dispatcher::post(task Task) {
  {
    std::lock_guard Lock(QueueMutex);
    if (Stopping)
      return false;
    TaskQueue.push_back(std::move(Task));
  }
  QueueChanged.notify_one();
  return true;
}

void dispatcher::withRequest(
    dispatch_id Id, std::function<void(request &, time_point)> Action) {
  post([this, Id, Action = std::move(Action)](time_point Now) {
    const auto It = Requests.find(Id);
    if (It != Requests.end() && It->second->Phase != request_phase::Ended)
      Action(*It->second, Now);
  });
}

dispatch_id dispatcher::start(dispatch_call Call, dispatch_sink Sink) {
  const dispatch_id Id = NextId.fetch_add(1);
  InFlight.fetch_add(1);
  auto R = std::make_shared<request>();
  R->Id = Id;
  R->ExcludedUpstreams = Call.ExcludedUpstreams;
  R->Call = std::move(Call);
  R->Sink = std::move(Sink);
  const bool Accepted = post([this, R](time_point Now) {
    request &Stored =
        *(Requests[R->Id] = std::make_unique<request>(std::move(*R)));
    RetryBudget.onRequest(Now);
    Stored.NoUpstreamDeadline = Now + Options.NoUpstreamTimeout;
    if (Stored.Call.AdoptFromUpstream.empty())
      tryNextUpstream(Stored, Now);
    else
      adoptRun(Stored, Now);
  });
  if (!Accepted)
    finish(*R, outcome_kind::NeverSent,
           {.Certainty = run_certainty::NotRun,
            .Reason = "shutting_down",
            .Message = "this entry is shutting down",
            .RetryAfter = milliseconds(100)});
  return Id;
}

void dispatcher::cancel(dispatch_id Id) {
  withRequest(Id, [this](request &R, time_point Now) {
    if (R.Phase == request_phase::Waiting) {
      finish(R, outcome_kind::Cancelled, R.Verdict);
      return;
    }
    R.CancelSent = true;
    sendCancel(R);
  });
}

void dispatcher::finishCancelled(request &R) {
  verdict Verdict = R.Verdict;
  if (R.Phase != request_phase::Waiting)
    Verdict = combineVerdicts(
        Verdict, classify(makeOutcome(R, outcome_kind::Cancelled)));
  finish(R, outcome_kind::Cancelled, std::move(Verdict));
}

// Calls OnEnd now but follows the run in the background until it ends, because
// the agent cannot shut down before its runs have ended.
void dispatcher::continueInBackground(request &R, time_point Now) {
  static constexpr milliseconds BackgroundLimit{15000};
  if (R.Call.Request->idempotent()) {
    R.CancelSent = true;
    sendCancel(R);
  }
  dispatch_result Result;
  Result.Kind = outcome_kind::Cancelled;
  Result.Verdict = combineVerdicts(
      R.Verdict, classify(makeOutcome(R, outcome_kind::Cancelled)));
  Result.RequestId = R.RunId;
  R.Sink.OnEnd(Result);
  R.Sink = {};
  R.Sink.OnEnd = [](const dispatch_result &) {};
  R.Abandoned = true;
  R.Call.MaxAttempts = 0;
  R.Call.ManualFlowControl = false;
  if (R.Stream != 0)
    Options.Consume(R.Stream, std::exchange(R.Unconsumed, 0));
  if (R.Call.Request->idempotent())
    R.Call.Deadline = std::min(R.Call.Deadline, Now + BackgroundLimit);
  scheduleWake(R,
               R.Phase == request_phase::Reconnecting ? Now : R.Call.Deadline);
}

void dispatcher::abandon(dispatch_id Id) {
  withRequest(Id, [this](request &R, time_point Now) {
    // A retry with the same idempotency key may still ask for the response.
    const bool Repeatable = !R.Call.Request->idempotent() &&
                            !R.Call.Request->idempotency_key().empty();
    if (R.Phase == request_phase::Waiting || Repeatable)
      finishCancelled(R);
    else if (!R.Abandoned)
      continueInBackground(R, Now);
  });
}

void dispatcher::detach(dispatch_id Id) {
  withRequest(Id, [this](request &R, time_point) { finishCancelled(R); });
}

void dispatcher::consume(dispatch_id Id, size_t Bytes) {
  withRequest(Id, [this, Bytes](request &R, time_point) {
    const size_t Released = std::min(Bytes, R.Unconsumed);
    R.Unconsumed -= Released;
    if (Released > 0 && R.Stream != 0)
      Options.Consume(R.Stream, Released);
  });
}

void dispatcher::acknowledge(std::string Address, std::string RequestId) {
  post([this, Address = std::move(Address),
        RequestId = std::move(RequestId)](time_point) {
    wire::ack_request Ack;
    Ack.add_request_ids(RequestId);
    Options.OpenStream(Address, "/ack", Ack.SerializeAsString(),
                       discardResponse());
  });
}

void dispatcher::onPeerUp(std::string_view Address, const peer_identity &Peer,
                          uint64_t Epoch) {
  post([this, Address = std::string(Address), Incarnation = Peer.Incarnation,
        Epoch](time_point Now) {
    Peers[Address] = {
        .Connected = true, .Incarnation = Incarnation, .Epoch = Epoch};
    onPeerConnected(Address, Now);
  });
}

void dispatcher::onPeerDown(std::string_view Address) {
  post([this, Address = std::string(Address)](time_point) {
    Peers[Address].Connected = false;
  });
}

void dispatcher::scheduleWake(request &R, time_point At) {
  R.WakeAt = std::min(At, R.Call.Deadline);
  Timers.emplace(R.WakeAt, R.Id);
}

void dispatcher::poll(time_point Now) {
  std::deque<task> Due;
  {
    std::lock_guard Lock(QueueMutex);
    Due.swap(TaskQueue);
  }
  for (task &Task : Due)
    Task(Now);
  while (!Timers.empty() && Timers.begin()->first <= Now) {
    const auto [At, Id] = *Timers.begin();
    Timers.erase(Timers.begin());
    const auto It = Requests.find(Id);
    if (It != Requests.end() && It->second->WakeAt == At)
      onTimer(*It->second, Now);
  }
  std::erase_if(Requests, [](const auto &Item) {
    return Item.second->Phase == request_phase::Ended;
  });
}

void dispatcher::run() {
  while (true) {
    poll(steady_clock::now());
    std::unique_lock Lock(QueueMutex);
    if (Stopping)
      break;
    time_point Until = steady_clock::now() + MaxSleep;
    if (!Timers.empty())
      Until = std::min(Until, Timers.begin()->first);
    QueueChanged.wait_until(Lock, Until,
                            [&] { return Stopping || !TaskQueue.empty(); });
  }
  // No further tasks are accepted. Handle those that are already queued.
  poll(steady_clock::now());
  cancelAll();
}

void dispatcher::cancelAll() {
  for (auto &[Id, R] : Requests)
    if (R->Phase != request_phase::Ended)
      finishCancelled(*R);
  Requests.clear();
}

void dispatcher::stop() {
  {
    std::lock_guard Lock(QueueMutex);
    Stopping = true;
  }
  QueueChanged.notify_one();
}

void dispatcher::setEntryCount(size_t Entries) {
  std::lock_guard Lock(RouterMutex);
  Router.setEntryCount(double(std::max<size_t>(1, Entries)));
}

void dispatcher::trace(const request &R, std::string_view Event,
                       std::string_view Detail, time_point Now) {
  if (Options.Trace)
    Options.Trace(R.Call.Request->request_id(), Event, Detail, Now);
}

double dispatcher::predictMs(std::string_view Pool, double Work,
                             uint64_t MinVersion, const std::string &Except,
                             time_point Now) {
  const std::vector<upstream_view> Views = Options.UpstreamsOfPool(Pool);
  route_request Request;
  Request.Work = Work;
  Request.MinVersion = MinVersion;
  Request.ExcludedUpstreams = std::span(&Except, 1);
  Request.OwnFailureDomain = Options.OwnFailureDomain;
  std::lock_guard Lock(RouterMutex);
  const auto Best = Router.pick(Request, Views, Now);
  return Best ? Router.predictedFinishMs(Request, Views[*Best], Now) : -1;
}

double dispatcher::predictMsOn(const upstream_view &Upstream, double Work,
                               time_point Now) {
  route_request Request;
  Request.Work = Work;
  Request.OwnFailureDomain = Options.OwnFailureDomain;
  std::lock_guard Lock(RouterMutex);
  return Router.predictedFinishMs(Request, Upstream, Now);
}

// Selects an upstream by rendezvous hashing: each key has its own order of
// upstreams, so removing an upstream moves only its own keys.
static std::optional<upstream_view>
upstreamForKey(std::string_view Key, const std::vector<upstream_view> &Views,
               const std::vector<std::string> &Exclude) {
  std::optional<upstream_view> Best;
  uint64_t BestScore = 0;
  for (const upstream_view &View : Views) {
    if (!View.Connected || View.Draining ||
        std::find(Exclude.begin(), Exclude.end(), View.Name) != Exclude.end())
      continue;
    const uint64_t Score = rendezvousScore(Key, View.Name);
    if (Best && Score <= BestScore)
      continue;
    Best = View;
    BestScore = Score;
  }
  return Best;
}

std::optional<upstream_view> dispatcher::chooseUpstream(request &R,
                                                        time_point Now) {
  const std::vector<upstream_view> Views = Options.UpstreamsOfPool(R.Call.Pool);
  const wire::run_request &Request = *R.Call.Request;
  if (!Request.idempotent() && !Request.idempotency_key().empty())
    return upstreamForKey(Request.idempotency_key(), Views,
                          R.ExcludedUpstreams);
  route_request Route = R.routeRequest();
  Route.OwnFailureDomain = Options.OwnFailureDomain;
  std::lock_guard Lock(RouterMutex);
  const auto Index = Router.pick(Route, Views, Now);
  if (!Index)
    return std::nullopt;
  return Views[*Index];
}

void dispatcher::tryNextUpstream(request &R, time_point Now) {
  R.Phase = request_phase::Waiting;
  std::optional<upstream_view> Upstream = chooseUpstream(R, Now);
  if (!Upstream &&
      R.ExcludedUpstreams.size() > R.Call.ExcludedUpstreams.size()) {
    // No untried upstream is eligible. Allow those used by earlier attempts.
    R.ExcludedUpstreams = R.Call.ExcludedUpstreams;
    Upstream = chooseUpstream(R, Now);
  }
  if (Upstream) {
    sendRun(R, *Upstream, Now);
    return;
  }
  if (Now >= R.NoUpstreamDeadline || Now >= R.Call.Deadline) {
    finish(R, outcome_kind::NeverSent, R.Verdict);
    return;
  }
  scheduleWake(R, Now + NoUpstreamPollInterval);
}

void dispatcher::sendRun(request &R, const upstream_view &Upstream,
                         time_point Now) {
  ++R.Attempt;
  R.Upstream = Upstream.Name;
  R.Address = Options.AddressOf(Upstream.Name).value_or("");
  const peer_state &Peer = Peers[R.Address];
  R.Incarnation = Peer.Incarnation;
  R.SentEpoch = Peer.Epoch;
  R.RunId = R.runIdForAttempt();
  R.AttachedToKeyHolder = R.Attaching = R.CancelSent = false;
  R.AttachAttempts = 0;
  R.HeadRelayed = R.OutputComplete = false;
  R.NextOffset = 0;
  R.Spans.clear();
  R.SentAt = Now;
  R.CountedByRouter = true;
  {
    std::lock_guard Lock(RouterMutex);
    Router.onDispatch(R.Upstream, R.routeRequest(), Now);
  }
  trace(R, "sent", R.Upstream, Now);
  if (R.Sink.OnAttempt)
    R.Sink.OnAttempt(R.Upstream);
  if (!Peer.Connected) {
    attemptEnded(R, makeOutcome(R, outcome_kind::NeverSent), Now);
    return;
  }
  wire::run_request Request = *R.Call.Request;
  Request.set_request_id(R.RunId);
  Request.set_attempt(R.Attempt);
  Request.set_agent_incarnation(R.Incarnation);
  Request.set_config_version(Options.ConfigVersion());
  const auto Remaining =
      std::chrono::duration_cast<milliseconds>(R.Call.Deadline - Now).count();
  Request.set_remaining_ms(uint32_t(std::max<int64_t>(1, Remaining)));
  scheduleWake(R, R.Call.Deadline);
  openStream(R, "/run", Request.SerializeAsString());
}

void dispatcher::adoptRun(request &R, time_point Now) {
  R.Attempt = 1;
  R.Upstream = R.Call.AdoptFromUpstream;
  R.Address = Options.AddressOf(R.Upstream).value_or("");
  R.RunId = R.Call.Request->request_id();
  R.Incarnation = Peers[R.Address].Incarnation;
  // It is unknown over which connection the earlier entry sent the run. The
  // maximum epoch prevents classify() from taking a missing record as proof of
  // not_run.
  R.SentEpoch = ~uint64_t(0);
  R.SentAt = R.BrokenAt = Now;
  R.CountedByRouter = true;
  {
    std::lock_guard Lock(RouterMutex);
    Router.onDispatch(R.Upstream, R.routeRequest(), Now);
  }
  if (R.Sink.OnAttempt)
    R.Sink.OnAttempt(R.Upstream);
  attach(R, Now);
}

void dispatcher::openStream(request &R, std::string_view Path,
                            const std::string &Message) {
  R.Phase = request_phase::Streaming;
  R.Unconsumed = 0;
  const dispatch_id Id = R.Id;
  const uint64_t Serial = ++R.StreamSerial;
  inner_stream_hooks Hooks;
  Hooks.OnMessage = [this, Id, Serial](std::string_view Text) {
    withRequest(Id, [this, Serial, Text = std::string(Text)](request &Current,
                                                             time_point Now) {
      if (Current.StreamSerial == Serial)
        onMessage(Current, Text, Now);
    });
  };
  Hooks.OnClose = [this, Id, Serial](inner_stream_end End,
                                     std::string_view Reason) {
    withRequest(Id, [this, Serial, End, Reason = std::string(Reason)](
                        request &Current, time_point Now) {
      if (Current.StreamSerial == Serial)
        onStreamClosed(Current, End, Reason, Now);
    });
  };
  R.Stream = Options.OpenStream(R.Address, Path, Message, std::move(Hooks));
  Options.HoldWindow(R.Stream);
}

void dispatcher::sendCancel(const request &R) {
  wire::cancel_request Cancel;
  Cancel.add_request_ids(R.RunId);
  Cancel.set_reason("cancelled_by_entry");
  Options.OpenStream(R.Address, "/cancel", Cancel.SerializeAsString(),
                     discardResponse());
}

} // namespace cardamom
