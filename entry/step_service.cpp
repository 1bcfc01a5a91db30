#include "entry/step_service.h"

#include "base/metrics.h"
#include "entry/dispatcher.h"
#include "entry/forwarding.h"
#include "entry/request_parsing.h"
#include "entry/retained_runs.h"
#include "entry/upstream_directory.h"
#include "inner/gen/messages.pb.h"
#include "store/store_client.h"

#include <future>
#include <nlohmann/json.hpp>
#include <utility>

namespace cardamom {

using json = nlohmann::json;

static constexpr size_t TaskQueueSize = 16384;
static constexpr size_t StoreQueueSize = 256;
static constexpr milliseconds TickInterval{20};
static constexpr milliseconds StatusInterval{200};
// Longer than the longest wait of a draw.
static constexpr milliseconds CallTimeout{75000};

static verdict notRun(std::string Reason, std::string Message) {
  return {.Certainty = run_certainty::NotRun,
          .Reason = std::move(Reason),
          .Message = std::move(Message),
          .RetryAfter = milliseconds(300)};
}

static step_answer shuttingDown() {
  return {errorReply(notRun("shutting_down", "this entry is shutting down")),
          {}};
}

step_service::step_service(step_service_options Options)
    : Options(std::move(Options)), TaskQueue(TaskQueueSize),
      StoreQueue(StoreQueueSize) {}

step_service::~step_service() { stop(); }

void step_service::start() {
  LoopThread = std::thread([this] { runLoop(); });
  StoreThread = std::thread([this] { runStoreCalls(); });
}

void step_service::stop() {
  if (Stopping.exchange(true))
    return;
  TaskQueue.close();
  StoreQueue.close();
  if (LoopThread.joinable())
    LoopThread.join();
  if (StoreThread.joinable())
    StoreThread.join();
  // Tasks that did not run own the promises of waiting calls. Destroying them
  // answers these calls.
  while (TaskQueue.pop(milliseconds(0)))
    continue;
}

bool step_service::post(task Task) { return TaskQueue.push(std::move(Task)); }

void step_service::runLoop() {
  time_point NextTick = steady_clock::now();
  time_point NextStatus = NextTick;
  while (!Stopping) {
    const time_point Now = steady_clock::now();
    if (Now >= NextTick) {
      tick(Now);
      NextTick = Now + TickInterval;
    }
    if (Now >= NextStatus) {
      publishStatus();
      NextStatus = Now + StatusInterval;
    }
    const auto UntilTick = std::chrono::duration_cast<milliseconds>(
        NextTick - steady_clock::now());
    if (auto Task = TaskQueue.pop(std::max(milliseconds(1), UntilTick)))
      (*Task)(steady_clock::now());
  }
  Owners.clear();
}

void step_service::runStoreCalls() {
  while (true) {
    auto Call = StoreQueue.pop(milliseconds(1000));
    if (Call)
      (*Call)();
    else if (StoreQueue.closed())
      return;
  }
}

void step_service::tick(time_point Now) {
  for (auto &[Name, Owner] : Owners)
    Owner->tick(Now);
}

void step_service::publishStatus() {
  json Status = json::array();
  std::string ReleaseWait;
  for (auto &[Name, Owner] : Owners) {
    Status.push_back(Owner->status());
    if (ReleaseWait.empty() && Releasing)
      ReleaseWait = Owner->waitingFor();
  }
  std::lock_guard Lock(StatusMutex);
  StatusJson = Status.dump();
  ReleaseWaitsFor = std::move(ReleaseWait);
}

json step_service::status() const {
  std::lock_guard Lock(StatusMutex);
  return json::parse(StatusJson);
}

std::string step_service::waitingFor() const {
  std::lock_guard Lock(StatusMutex);
  return ReleaseWaitsFor;
}

void step_service::release() {
  {
    std::lock_guard Lock(StatusMutex);
    ReleaseWaitsFor = "release of the trainers' leases";
  }
  const bool Posted = post([this](time_point Now) {
    Releasing = true;
    for (auto &[Name, Owner] : Owners)
      Owner->release(Now);
    publishStatus();
  });
  if (Posted)
    return;
  std::lock_guard Lock(StatusMutex);
  ReleaseWaitsFor.clear();
}

step_owner &step_service::ownerOf(const std::string &Trainer) {
  std::unique_ptr<step_owner> &Owner = Owners[Trainer];
  if (!Owner)
    Owner = std::make_unique<step_owner>(ownerOptions(Trainer));
  return *Owner;
}

trainer_lease_options step_service::leaseOptions(const std::string &Trainer) {
  trainer_lease_options Lease;
  Lease.Key = "trainers/" + Trainer;
  Lease.Self.Owner = Options.Name;
  Lease.Self.Address = Options.Address;
  Lease.Self.Incarnation = Options.Incarnation;
  Lease.Duration = Options.Lease;
  Lease.RenewInterval = Options.Lease * 3 / 10;
  using store_callback = trainer_lease_options::store_callback;
  const auto Call = [this](std::function<store_result()> StoreCall,
                           const store_callback &Answer) {
    const bool Accepted = StoreQueue.tryPush(
        [this, StoreCall = std::move(StoreCall), Answer](/* on StoreThread */) {
          post([Result = StoreCall(), Answer](time_point Now) {
            Answer(Result, Now);
          });
        });
    if (!Accepted)
      post([Answer](time_point Now) { Answer({}, Now); });
  };
  Lease.Get = [this, Call](const std::string &Key,
                           const store_callback &Answer) {
    Call([this, Key] { return Options.Store->get(Key); }, Answer);
  };
  Lease.Put = [this, Call](const std::string &Key, const std::string &Value,
                           uint64_t IfVersion, const store_callback &Answer) {
    Call([this, Key, Value,
          IfVersion] { return Options.Store->put(Key, Value, IfVersion); },
         Answer);
  };
  return Lease;
}

step_owner_options step_service::ownerOptions(const std::string &Trainer) {
  step_owner_options Owner;
  Owner.Trainer = Trainer;
  Owner.Lease = leaseOptions(Trainer);
  Owner.Straggler.MaxMoves = Options.StragglerMoves;
  Owner.Config = [this] { return Options.Directory->config(); };
  Owner.Dispatch = [this](dispatch_call Call,
                          const std::shared_ptr<run_progress> &Progress,
                          step_owner_options::run_callback OnEnd) {
    return dispatch(std::move(Call), Progress, std::move(OnEnd));
  };
  Owner.Cancel = [this](dispatch_id Id) { Options.Dispatcher->cancel(Id); };
  Owner.Abandon = [this](dispatch_id Id) { Options.Dispatcher->abandon(Id); };
  Owner.Detach = [this](dispatch_id Id) { Options.Dispatcher->detach(Id); };
  Owner.Acknowledge = [this](const std::string &Address,
                             const std::string &RunId) {
    Options.Dispatcher->acknowledge(Address, RunId);
  };
  Owner.FindRuns = [this](const std::string &Pool, const std::string &Prefix,
                          step_owner_options::find_callback OnFound) {
    findRuns(Pool, Prefix, std::move(OnFound));
  };
  Owner.PredictMs = [this](const std::string &Pool, double Work,
                           uint64_t MinVersion, const std::string &Except,
                           time_point Now) {
    return Options.Dispatcher->predictMs(Pool, Work, MinVersion, Except, Now);
  };
  Owner.UpstreamsOfPool = [this](const std::string &Pool) {
    return Options.Directory->upstreamsOfPool(Pool);
  };
  Owner.NewestWeights = [this, Trainer] {
    return Options.WeightsVersion(Trainer);
  };
  Owner.NewRequestId = randomId;
  return Owner;
}

dispatch_id
step_service::dispatch(dispatch_call Call,
                       const std::shared_ptr<run_progress> &Progress,
                       step_owner_options::run_callback OnEnd) {
  const auto Text = std::make_shared<std::string>();
  dispatch_sink Sink;
  Sink.OnAttempt = [Text, Progress](std::string_view Upstream) {
    Text->clear();
    Progress->onSent(Upstream);
  };
  Sink.OnData = [Text](std::string_view Bytes) { Text->append(Bytes); };
  Sink.OnSpan = [Progress](const token_span &Span) { Progress->addSpan(Span); };
  Sink.OnRestart = [] { return true; };
  Sink.OnEnd = [this, Text,
                OnEnd = std::move(OnEnd)](const dispatch_result &Result) {
    post([OnEnd, Run = run_result{Result, std::move(*Text)}](time_point Now) {
      OnEnd(Run, Now);
    });
  };
  return Options.Dispatcher->start(std::move(Call), std::move(Sink));
}

void step_service::findRuns(const std::string &Pool, const std::string &Prefix,
                            step_owner_options::find_callback OnFound) {
  findRetainedRuns(
      *Options.Client, Options.Directory->addressesOfPool(Pool), Prefix,
      [this, OnFound = std::move(OnFound)](std::vector<retained_run> Runs) {
        post([OnFound, Runs = std::move(Runs)](time_point Now) {
          OnFound(Runs, Now);
        });
      });
}

http_reply step_service::publishWeights(const trainer_call &Call) {
  const weights_request Weights = parseWeights(Call.Body);
  const auto Config = Options.Directory->config();
  const trainer_rule *Rule = Config->findTrainer(Call.Trainer);
  const json Document = {{"trainer", Call.Trainer},
                         {"model", Rule->Model},
                         {"version", Weights.Version},
                         {"source", Weights.Source}};
  // A caller that lost the response repeats the call. Its document is then
  // already installed, which is not an error.
  const std::string Body = Document.dump();
  if (!Options.InstallWeights(Call.Trainer, Weights.Version, Body) &&
      !Options.HoldsWeights(Call.Trainer, Weights.Version, Body))
    throw input_error(409, "version_not_higher", "version",
                      "a version higher than the trainer's newest version");
  http_reply Reply;
  Reply.Body = json{{"version", Weights.Version}}.dump();
  return Reply;
}

/// Promise of a call's answer. It is fulfilled on destruction at the latest, so
/// that no HTTP thread waits for a loop that has ended.
struct pending_answer {
  std::promise<step_answer> Promise;
  bool Answered = false;
  void respond(step_answer Answer) {
    if (!std::exchange(Answered, true))
      Promise.set_value(std::move(Answer));
  }
  ~pending_answer() { respond(shuttingDown()); }
};

step_answer step_service::callLocally(const trainer_call &Call) {
  if (TaskQueue.size() > TaskQueueSize / 2)
    return {errorReply(notRun("step_loop_busy", "too many calls are waiting")),
            {}};
  auto Pending = std::make_shared<pending_answer>();
  auto Future = Pending->Promise.get_future();
  const bool Posted = post([this, Call, Pending](time_point Now) {
    ownerOf(Call.Trainer)
        .call(
            Call, false,
            [Pending](step_answer Answer) {
              Pending->respond(std::move(Answer));
            },
            Now);
  });
  Pending.reset();
  if (!Posted || Future.wait_for(CallTimeout) != std::future_status::ready)
    return shuttingDown();
  return Future.get();
}

http_reply step_service::call(const trainer_call &Call) {
  if (Call.Kind == trainer_call::kind::Weights)
    return publishWeights(Call);
  const step_answer Answer = callLocally(Call);
  if (Answer.ForwardTo.empty())
    return Answer.Reply;
  metrics::get().counter("trainer_calls_forwarded_total").add();
  return forwardTrainerCall(*Options.Client, Answer.ForwardTo, Call);
}

void step_service::handleForwarded(trainer_call Call,
                                   std::function<void(http_reply)> Answer) {
  const auto Config = Options.Directory->config();
  if (!Config || !Config->findTrainer(Call.Trainer) ||
      Call.Kind == trainer_call::kind::Weights) {
    Answer(errorReply(
        notRun("not_owner",
               "this entry's configuration does not contain the trainer")));
    return;
  }
  const auto SharedCallback =
      std::make_shared<std::function<void(http_reply)>>(std::move(Answer));
  const auto SendReply = [SharedCallback](step_answer Result) {
    if (*SharedCallback)
      std::exchange(*SharedCallback, nullptr)(std::move(Result.Reply));
  };
  task Task = [this, Call = std::move(Call), SendReply](time_point Now) {
    ownerOf(Call.Trainer).call(Call, true, SendReply, Now);
  };
  if (TaskQueue.size() > TaskQueueSize / 2 ||
      !TaskQueue.tryPush(std::move(Task)))
    SendReply(
        {errorReply(notRun("step_loop_busy", "too many calls are waiting")),
         {}});
}

} // namespace cardamom
