#include "agent/run_executor.h"

#include "agent/response_streams.h"
#include "base/metrics.h"

#include <algorithm>
#include <utility>

namespace cardamom {

/// Delay between attempts to append to a response that is at its size limit.
static constexpr milliseconds AppendRetryInterval{10};
/// Longest wait of a worker for a run, and of the cancellation thread for a
/// cancellation. Closing the queue ends the wait early.
static constexpr milliseconds QueuePopTimeout{60000};
static constexpr milliseconds RateInterval{1000};
static constexpr milliseconds MinRetryAfter{50};

static priority_class toPriorityClass(wire::request_class Class) {
  switch (Class) {
  case wire::TRAINER_FIRST:
    return priority_class::TrainerFirst;
  case wire::TRAINER_SECOND:
    return priority_class::TrainerSecond;
  default:
    return priority_class::Live;
  }
}

run_executor::run_executor(run_executor_options Options)
    : Options(std::move(Options)), Admission(this->Options.Admission),
      ReadyIds(this->Options.MaxWorkers), CancelIds(1024) {
  setSlots(this->Options.Admission.Slots);
}

run_executor::~run_executor() { stop(); }

void run_executor::start() {
  CancelThread = std::thread([this] { cancelLoop(); });
}

void run_executor::stop() {
  Stopping = true;
  ReadyIds.close();
  for (const std::string &Id : activeRunIds())
    CancelIds.tryPush(std::string(Id));
  std::vector<std::thread> ToJoin;
  {
    std::lock_guard Lock(Mutex);
    ToJoin.swap(Workers);
  }
  for (std::thread &Worker : ToJoin)
    Worker.join();
  CancelIds.close();
  if (CancelThread.joinable())
    CancelThread.join();
}

void run_executor::setSlots(unsigned Slots) {
  std::lock_guard Lock(Mutex);
  Admission.setSlots(std::min(Slots, Options.MaxWorkers));
  startReadyRuns(steady_clock::now());
}

wire::run_end
run_executor::makeRefusalWithDelay(std::string_view Reason,
                                   std::string_view Message) const {
  std::unique_lock Lock(Mutex);
  const milliseconds ServiceTime(int64_t(Admission.averageServiceMs()));
  Lock.unlock();
  return makeRefusal(Reason, Message, std::max(MinRetryAfter, ServiceTime));
}

void run_executor::submit(wire::run_request Request, time_point Now) {
  const std::string Id = Request.request_id();
  const milliseconds Remaining(Request.remaining_ms());
  const admission_request Candidate = {
      .Id = Id,
      .Class = toPriorityClass(Request.class_()),
      .TimeToDeadline = Remaining,
      .Preemptible = Request.idempotent() && Request.has_model()};
  wire::run_end End;
  if (engineRefuses(Request, End)) {
    Options.Table->finish(Id, std::move(End), Now);
    return;
  }
  std::unique_lock Lock(Mutex);
  const admission_refusal Refusal = Admission.tryEnqueue(Candidate, Now);
  if (Refusal == admission_refusal::None) {
    submitted_run &Run = Runs[Id];
    Run.Request = std::move(Request);
    Run.Deadline =
        Remaining > milliseconds(0) ? Now + Remaining : time_point::max();
    startReadyRuns(Now);
  }
  Lock.unlock();
  if (Refusal == admission_refusal::QueueFull)
    Options.Table->finish(
        Id, makeRefusalWithDelay("queue_full", "the queue is full"), Now);
  else if (Refusal == admission_refusal::DeadlineUnreachable)
    Options.Table->finish(
        Id,
        makeRefusalWithDelay("deadline_unreachable",
                             "the wait would exceed the deadline"),
        Now);
  if (Options.OnLoadChange)
    Options.OnLoadChange();
}

void run_executor::startReadyRuns(time_point Now) {
  while (auto Id = Admission.startNext(Now)) {
    submitted_run &Run = Runs.at(*Id);
    Run.Active = true;
    const std::chrono::duration<double, std::milli> QueueWait =
        Now - Run.SubmittedAt;
    metrics::get().histogram("queue_wait_ms").record(QueueWait.count());
    if (!Stopping && Workers.size() < Admission.activeCount())
      Workers.emplace_back([this] { workerLoop(); });
    ReadyIds.tryPush(std::move(*Id));
  }
  while (const auto Victim = Admission.pickPreemptionVictim()) {
    submitted_run &Run = Runs.at(*Victim);
    Run.Preempted = true;
    Run.CancelReason = "preempted";
    metrics::get().counter("runs_preempted_total").add();
    CancelIds.tryPush(std::string(*Victim));
  }
}

void run_executor::workerLoop() {
  while (!ReadyIds.closed() || ReadyIds.size() > 0)
    if (const auto Id = ReadyIds.pop(QueuePopTimeout))
      executeRun(*Id);
}

void run_executor::executeRun(const std::string &Id) {
  std::unique_lock Lock(Mutex);
  const wire::run_request Request = Runs.at(Id).Request;
  Lock.unlock();
  if (Options.OnLoadChange)
    Options.OnLoadChange();
  finishRun(Id, claimAndCall(Id, Request));
}

void run_executor::finishRun(const std::string &Id, wire::run_end End) {
  const time_point Now = steady_clock::now();
  const bool Completed = End.code() == wire::COMPLETED;
  {
    std::lock_guard Lock(Mutex);
    const submitted_run &Run = Runs.at(Id);
    if (End.code() == wire::CANCELLED && !Run.CancelReason.empty()) {
      End.set_reason(Run.CancelReason);
      if (Run.Preempted)
        End.set_code(wire::PREEMPTED);
    }
    Runs.erase(Id);
  }
  metrics::get()
      .counter("runs_ended_total", "code", wire::run_end_code_Name(End.code()))
      .add();
  Options.Table->finish(Id, std::move(End), Now);
  {
    std::lock_guard Lock(Mutex);
    Admission.onFinish(Id, Completed, Now);
    startReadyRuns(Now);
  }
  if (Options.OnLoadChange)
    Options.OnLoadChange();
}

bool run_executor::mustNotStart(const std::string &Id,
                                const wire::run_request &Request,
                                wire::run_end &End) {
  std::unique_lock Lock(Mutex);
  const submitted_run &Run = Runs.at(Id);
  const bool Cancelled = !Run.CancelReason.empty();
  const bool DeadlinePassed = Run.Deadline <= steady_clock::now();
  Lock.unlock();
  if (Cancelled) {
    End.set_code(wire::CANCELLED);
    return true;
  }
  if (DeadlinePassed) {
    End = makeRefusalWithDelay("deadline_unreachable",
                               "the deadline passed in the queue");
    return true;
  }
  return engineRefuses(Request, End);
}

bool run_executor::engineRefuses(const wire::run_request &Request,
                                 wire::run_end &End) const {
  if (!Request.has_model() || !Options.GetEngine)
    return false;
  const observed_engine Engine = Options.GetEngine();
  if (!Engine.Ready) {
    End = makeRefusalWithDelay("upstream_not_ready",
                               "the engine's state is unknown or its "
                               "last weight swap failed");
    return true;
  }
  if (Engine.Status.Version >= Request.model().min_version())
    return false;
  End = makeRefusalWithDelay("version_too_old",
                             "the engine has weight version " +
                                 std::to_string(Engine.Status.Version));
  return true;
}

wire::run_end run_executor::claimAndCall(const std::string &Id,
                                         const wire::run_request &Request) {
  wire::run_end End;
  if (mustNotStart(Id, Request, End))
    return End;
  if (Request.idempotent() || Request.idempotency_key().empty())
    return startAndCall(Id, Request);
  const claim_request Claim = {Request.has_model() ? Request.model().model()
                                                   : Request.plain().route(),
                               Request.idempotency_key(), Id};
  const claim_result Result = Options.Ledger->claim(Claim);
  switch (Result.Status) {
  case claim_status::Granted:
    break;
  case claim_status::Claimed:
    End.set_code(wire::KEY_CLAIMED);
    End.set_reason("key_claimed");
    End.set_holder_agent(Result.Holder.Agent);
    End.set_holder_incarnation(Result.Holder.Incarnation);
    End.set_holder_request_id(Result.Holder.RequestId);
    return End;
  case claim_status::StoreUnavailable:
    return makeRefusal("store_unavailable", "the key could not be claimed",
                       Result.RetryAfter);
  case claim_status::LedgerFull:
    return makeRefusal("ledger_full", "too many keys are claimed",
                       Result.RetryAfter);
  }
  End = startAndCall(Id, Request);
  // Released before the refusal is reported, so that a retry finds the key
  // free.
  if (End.code() == wire::REFUSED)
    Options.Ledger->release(Claim);
  return End;
}

wire::run_end run_executor::startAndCall(const std::string &Id,
                                         const wire::run_request &Request) {
  wire::run_end End;
  if (mustNotStart(Id, Request, End))
    return End;
  if (!Options.Table->start(Id)) {
    End.set_code(wire::CANCELLED);
    return End;
  }
  return callUpstream(Id, Request);
}

bool run_executor::appendWithRetry(const std::string &Id,
                                   std::string_view Bytes, uint64_t Version) {
  const time_point Deadline = steady_clock::now() + Options.AppendTimeout;
  while (true) {
    const append_result Result = Options.Table->append(Id, Bytes, Version);
    if (Result != append_result::Full)
      return Result == append_result::Ok;
    if (Stopping || steady_clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(AppendRetryInterval);
  }
}

wire::run_end run_executor::callUpstream(const std::string &Id,
                                         const wire::run_request &Request) {
  const response_sink Sink = {
      .OnHead =
          [&](wire::response_head Head) {
            Options.Table->setHead(Id, std::move(Head));
          },
      .OnBytes =
          [&](std::string_view Bytes) { return appendWithRetry(Id, Bytes, 0); },
      .OnToken =
          [&](std::string_view Text, uint64_t Version) {
            TokenCount.fetch_add(1, std::memory_order_relaxed);
            return appendWithRetry(Id, Text, Version);
          }};
  wire::run_end End =
      Request.has_model()
          ? Options.Client->runModel(Id, Request.model(),
                                     unsigned(Request.class_()), Sink)
          : Options.Client->runPlain(Id, Request.plain(), Sink);
  if (End.code() == wire::REFUSED)
    End = makeRefusalWithDelay(End.reason(), End.message());
  const bool Failed =
      End.code() == wire::REFUSED || End.code() == wire::UPSTREAM_FAILED;
  if (Failed && Request.has_model() && Options.OnEngineFailure)
    Options.OnEngineFailure();
  return End;
}

void run_executor::cancel(std::string_view Id, std::string_view Reason,
                          time_point Now) {
  {
    std::lock_guard Lock(Mutex);
    const auto It = Runs.find(Id);
    if (It == Runs.end())
      return;
    submitted_run &Run = It->second;
    if (Run.Active) {
      if (!Run.Request.idempotent() || !Run.CancelReason.empty())
        return;
      Run.CancelReason = Reason.empty() ? "cancelled" : Reason;
      CancelIds.tryPush(std::string(Id));
      return;
    }
    Admission.remove(Id);
    Runs.erase(It);
  }
  wire::run_end End;
  End.set_code(wire::CANCELLED);
  End.set_reason(std::string(Reason));
  Options.Table->finish(Id, std::move(End), Now);
  if (Options.OnLoadChange)
    Options.OnLoadChange();
}

void run_executor::cancelLoop() {
  while (!CancelIds.closed() || CancelIds.size() > 0)
    if (const auto Id = CancelIds.pop(QueuePopTimeout))
      Options.Client->cancel(*Id);
}

void run_executor::tick(time_point Now) {
  std::vector<std::string> Expired;
  {
    std::lock_guard Lock(Mutex);
    Expired = Admission.removeExpired(Now);
    for (const std::string &Id : Expired)
      Runs.erase(Id);
    // Repeated, because a cancellation has no effect if the call was not open
    // yet.
    for (const auto &[Id, Run] : Runs)
      if (Run.Active && !Run.CancelReason.empty())
        CancelIds.tryPush(std::string(Id));
    if (Now - LastRateUpdate >= RateInterval) {
      const std::chrono::duration<double> Elapsed = Now - LastRateUpdate;
      const uint64_t Count = TokenCount;
      TokensPerSecond = double(Count - LastTokenCount) / Elapsed.count();
      LastTokenCount = Count;
      LastRateUpdate = Now;
    }
  }
  for (const std::string &Id : Expired)
    Options.Table->finish(
        Id,
        makeRefusalWithDelay("deadline_unreachable",
                             "the deadline passed in the queue"),
        Now);
}

void run_executor::fillLoadReport(wire::load_report &Load) const {
  std::lock_guard Lock(Mutex);
  Load.set_running(uint32_t(Admission.activeCount()));
  Load.set_queued_live(uint32_t(Admission.waitingCount(priority_class::Live)));
  Load.set_queued_trainer_first(
      uint32_t(Admission.waitingCount(priority_class::TrainerFirst)));
  Load.set_queued_trainer_second(
      uint32_t(Admission.waitingCount(priority_class::TrainerSecond)));
  Load.set_slots(Admission.slots());
  Load.set_service_ms(Admission.averageServiceMs());
  Load.set_tokens_per_second(TokensPerSecond);
}

std::vector<std::string> run_executor::activeRunIds() const {
  std::lock_guard Lock(Mutex);
  std::vector<std::string> Ids;
  for (const auto &[Id, Run] : Runs)
    if (Run.Active)
      Ids.push_back(Id);
  return Ids;
}

} // namespace cardamom
