#include "jobs/job_request_handler.h"

#include "base/json_text.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/percent_encoding.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "jobs/inner_paths.h"
#include "jobs/job_document.h"
#include "jobs/pool_leadership.h"

#include <algorithm>
#include <cstdio>
#include <stdexcept>

namespace cardamom {

static constexpr unsigned StatusOk = 200;
static constexpr unsigned StatusAccepted = 202;
static constexpr unsigned StatusBadRequest = 400;
static constexpr unsigned StatusNotFound = 404;
static constexpr unsigned StatusTooLarge = 413;
static constexpr unsigned StatusUnavailable = 503;
static constexpr unsigned StatusTimeout = 504;
static constexpr std::string_view JsonContentType = "application/json";
static constexpr std::string_view BinaryContentType =
    "application/octet-stream";
/// Delay before a submission whose outcome is unknown is retried.
static constexpr milliseconds SubmitRetryDelay{40};
static constexpr milliseconds NoticeTimeout{500};

/// A call that has not been answered yet.
struct job_request_handler::pending_call {
  exchange_ptr Exchange;
  /// Name of the stored job, which depends on Owner.
  std::string JobId;
  job_call Call;
  /// Pools whose schedulers have not been tried yet.
  std::vector<std::string> Pools;
  job_caller Caller;
  /// Owner of the job that is looked for or submitted; empty = none.
  std::string Owner;
  /// Owners whose jobs have not been looked for yet, the next one last.
  std::vector<std::string> NextOwners;
  /// What the search for each owner starts with.
  std::string Host;
  std::string RequestedId;
  std::vector<std::string> AllPools;
  /// Continues once jobs of the owner may exist on the host.
  std::function<void(const pending_call_ptr &)> OnOwner;
  /// Gateways to which the call has not been forwarded yet.
  std::vector<std::string> Peers;
  bool PeersChosen = false;
  /// Whether the call is a submission whose outcome is unknown: it may have
  /// been stored, or may be stored later.
  bool MayBeStored = false;
  unknown_job_handler Unknown;
};

struct job_request_handler::submission {
  pending_call_ptr Pending;
  job_host Host;
  /// Record of the job's host, to be created first; absent = it exists.
  std::optional<object_request> HostRecord;
  object_request Request;
  time_point StartedAt;
  timer_handle RetryTimer;
};

static void answer(const exchange_ptr &Exchange, unsigned Status,
                   std::string Body, std::string_view ContentType) {
  Exchange->respond({.Status = Status,
                     .Headers = {{"Content-Type", std::string(ContentType)}},
                     .Body = std::move(Body)});
}

static std::string errorBody(std::string_view Reason) {
  return toJsonText({{"error", Reason}});
}

static std::string formatSeconds(milliseconds Time) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.3f", double(Time.count()) / 1000);
  return Text;
}

job_request_handler::job_request_handler(job_request_handler_options Options)
    : Options(std::move(Options)),
      Cache({.Loop = this->Options.Loop,
             .Store = this->Options.Store,
             .Protocols = this->Options.Protocols,
             .JobKind = this->Options.JobKind,
             .ResultKind = this->Options.ResultKind}),
      Hosts({.Store = this->Options.Store, .Kind = this->Options.HostKind}) {}

void job_request_handler::addJobHost(const job_host &Host) { Hosts.add(Host); }

void job_request_handler::prefetchJobHost(const job_host &Host) {
  Hosts.prefetch(Host, event_loop::now());
}

void job_request_handler::answerUnknown(const pending_call_ptr &Pending) {
  if (Pending->Unknown.Respond)
    Pending->Unknown.Respond();
  else
    answer(Pending->Exchange, StatusNotFound, errorBody("no such job"),
           JsonContentType);
}

void job_request_handler::answerUnavailable(const pending_call_ptr &Pending,
                                            std::string_view Reason) {
  metrics::get().counter("job_calls_refused_total", "reason", Reason).add();
  logInfo("job_call_refused",
          {{"job", Pending->JobId},
           {"reason", std::string(Reason)},
           {"may_be_stored", Pending->MayBeStored ? "yes" : "no"}});
  if (Pending->MayBeStored) {
    // It is unknown whether the job is accepted, so neither 202 nor 503 would
    // be correct.
    answer(Pending->Exchange, StatusTimeout, errorBody(Reason),
           JsonContentType);
    return;
  }
  Pending->Exchange->respond(
      {.Status = StatusUnavailable,
       .Headers = {{"Content-Type", std::string(JsonContentType)},
                   {"Retry-After", formatSeconds(Options.RetryAfter)}},
       .Body = errorBody(Reason)});
}

void job_request_handler::callGateway(
    const std::string &Address, const http_request &Request,
    milliseconds Timeout,
    std::function<void(const call_completion &, http_response)> Done) {
  const uint64_t Id = NextCallId++;
  Calls[Id] = Options.Client.fetch(
      Address, Request, Timeout,
      [this, Weak = std::weak_ptr<bool>(Alive), Id, Done = std::move(Done)](
          const call_completion &End, http_response Response) {
        if (Weak.expired())
          return;
        const call_handle Finished = std::move(Calls[Id]);
        Calls.erase(Id);
        Done(End, std::move(Response));
      });
}

void job_request_handler::forward(const pending_call_ptr &Pending,
                                  std::string_view Reason) {
  const bool AllUnavailable =
      event_loop::now() - AllUnavailableAt < Options.ForwardPause;
  if (!Pending->PeersChosen && !Pending->Caller.Forwarded && !AllUnavailable) {
    Pending->Peers = Options.Peers();
    if (Pending->Peers.size() > Options.MaxForwards)
      Pending->Peers.resize(Options.MaxForwards);
    // The gateway that runs the scheduler is the most likely one to reach the
    // store, so it is tried first.
    for (const std::string &Pool : Pending->Pools) {
      const pool_leadership *Leadership = Options.FindPool(Pool);
      if (!Leadership || Leadership->schedulerAddress().empty())
        continue;
      std::erase(Pending->Peers, Leadership->schedulerAddress());
      Pending->Peers.push_back(Leadership->schedulerAddress());
    }
    Pending->PeersChosen = true;
  }
  forwardToNextPeer(Pending, Reason);
}

void job_request_handler::forwardToNextPeer(const pending_call_ptr &Pending,
                                            std::string_view Reason) {
  if (Pending->Peers.empty()) {
    if (Pending->PeersChosen)
      AllUnavailableAt = event_loop::now();
    answerUnavailable(Pending, Reason);
    return;
  }
  const std::string Address = std::move(Pending->Peers.back());
  Pending->Peers.pop_back();
  http_request Request = Pending->Exchange->request();
  Request.Target = std::string(InnerForwardPrefix) + Request.Target;
  Request.Headers.removeHopByHopHeaders();
  Request.Headers.remove(InnerTenantHeader);
  if (!Pending->Owner.empty())
    Request.Headers.add(InnerTenantHeader, percentEncode(Pending->Owner));
  logInfo("job_call_forwarded", {{"job", Pending->JobId}, {"to", Address}});
  metrics::get().counter("job_calls_forwarded_total").add();
  callGateway(
      Address, Request, Pending->Call.Wait + Options.ForwardTimeout,
      [this, Pending, Reason = std::string(Reason)](const call_completion &End,
                                                    http_response Response) {
        if (End.Result == call_result::Complete &&
            Response.Status == StatusNotFound &&
            (Pending->Unknown.Respond || !Pending->NextOwners.empty())) {
          tryNextOwner(Pending);
          return;
        }
        if (End.Result == call_result::Complete &&
            Response.Status != StatusUnavailable) {
          Response.Headers.removeHopByHopHeaders();
          Pending->Exchange->respond(std::move(Response));
          return;
        }
        if (End.Result != call_result::Complete &&
            End.Result != call_result::NotConnected)
          Pending->MayBeStored |= Pending->Exchange->request().Method == "POST";
        forwardToNextPeer(Pending, Reason);
      });
}

void job_request_handler::submit(const exchange_ptr &Exchange,
                                 const route &Route,
                                 const std::string &RequestId,
                                 const job_caller &Caller) {
  try {
    const job Job = Options.Protocols.DecodeJob(Exchange->request().Body);
    if (RequestId.empty())
      throw std::invalid_argument("the job has no id");
    // The store would replace other bytes, so that different ids could meet.
    if (!isUtf8(RequestId))
      throw std::invalid_argument("the job's id is not valid UTF-8");
    if (Job.Items.empty())
      throw std::invalid_argument("field \"items\" is empty");
  } catch (const std::invalid_argument &Error) {
    logInfo("job_invalid", {{"job", RequestId}, {"reason", Error.what()}});
    answer(Exchange, StatusBadRequest, errorBody(Error.what()),
           JsonContentType);
    return;
  }
  const std::string &Pool = Route.Services.front().Service;
  auto Pending = std::make_shared<pending_call>();
  Pending->Exchange = Exchange;
  Pending->JobId = qualifiedJobId(Caller.Tenant, RequestId);
  Pending->Pools = {Pool};
  Pending->Caller = Caller;
  Pending->Owner = Caller.Tenant;
  if (!Options.Store.reachable()) {
    forward(Pending, "store_lost");
    return;
  }
  const std::string Host(Exchange->request().Headers.get("Host"));
  auto Submission = std::make_shared<submission>(
      submission{.Pending = Pending,
                 .Host = job_host(Host, ownershipOf(Caller.Tenant)),
                 .StartedAt = event_loop::now()});
  Submission->HostRecord = Hosts.missingRecord(Submission->Host);
  Submission->Request = {
      .Op = object_op::Create,
      .Kind = Options.JobKind,
      .Name = Pending->JobId,
      .Value = encodeJobDocument({.Host = Host,
                                  .Target = Exchange->request().Target,
                                  .Pool = Pool,
                                  .Owner = Caller.Tenant,
                                  .SubmittedAtMs = Options.UnixNow(),
                                  .Terms = termsOf(Route),
                                  .Submission = Exchange->request().Body})};
  write(Submission);
}

void job_request_handler::write(const std::shared_ptr<submission> &Submission) {
  const bool RecordsHost = Submission->HostRecord.has_value();
  Options.Store.call(RecordsHost ? *Submission->HostRecord
                                 : Submission->Request,
                     [this, Weak = std::weak_ptr<bool>(Alive), Submission,
                      RecordsHost](const object_reply &Reply) {
                       if (Weak.expired())
                         return;
                       if (RecordsHost)
                         onHostRecorded(Submission, Reply);
                       else
                         onCreated(Submission, Reply);
                     });
}

void job_request_handler::onHostRecorded(
    const std::shared_ptr<submission> &Submission, const object_reply &Reply) {
  logInfo("job_host_recorded",
          {{"host", Submission->HostRecord->Name},
           {"outcome", std::string(toString(Reply.Outcome))}});
  if (Reply.Outcome != object_outcome::Done &&
      Reply.Outcome != object_outcome::Conflict) {
    retryWrite(Submission);
    return;
  }
  Hosts.onRecorded(Submission->Host);
  Submission->HostRecord.reset();
  write(Submission);
}

void job_request_handler::onCreated(
    const std::shared_ptr<submission> &Submission, const object_reply &Reply) {
  const pending_call_ptr &Pending = Submission->Pending;
  const exchange_ptr &Exchange = Pending->Exchange;
  logInfo("job_stored", {{"job", Pending->JobId},
                         {"outcome", std::string(toString(Reply.Outcome))},
                         {"detail", Reply.Detail}});
  switch (Reply.Outcome) {
  case object_outcome::Done:
    answer(Exchange, StatusAccepted, "{}", JsonContentType);
    if (!Reply.Objects.empty())
      notifyScheduler(*Submission, Reply.Objects.front().Revision);
    return;
  case object_outcome::Conflict:
    answer(Exchange, StatusAccepted, "{}", JsonContentType);
    return;
  case object_outcome::Invalid:
    answer(Exchange, StatusTooLarge, errorBody("the store refuses the job"),
           JsonContentType);
    return;
  case object_outcome::Unknown:
    Pending->MayBeStored = true;
    break;
  case object_outcome::Refused:
  case object_outcome::NotFound:
  case object_outcome::HistoryGone:
  case object_outcome::TooLarge:
    break;
  }
  retryWrite(Submission);
}

void job_request_handler::retryWrite(
    const std::shared_ptr<submission> &Submission) {
  const bool InTime =
      event_loop::now() - Submission->StartedAt < Options.SubmitTimeout;
  if (!InTime || !Options.Store.reachable()) {
    forward(Submission->Pending, "store_lost");
    return;
  }
  Submission->RetryTimer =
      Options.Loop.after(SubmitRetryDelay, [this, Submission] {
        const timer_handle Timer = std::move(Submission->RetryTimer);
        write(Submission);
      });
}

/// The scheduler also learns of the job from the store, so a failure is
/// ignored.
void job_request_handler::notifyScheduler(const submission &Submission,
                                          uint64_t Revision) {
  const pending_call &Pending = *Submission.Pending;
  const std::string &Pool = Pending.Pools.front();
  pool_leadership *Leadership = Options.FindPool(Pool);
  if (!Leadership)
    return;
  if (Leadership->scheduler()) {
    stored_object Job;
    Job.Name = Pending.JobId;
    Job.Revision = Revision;
    Job.Spec = Submission.Request.Value;
    Leadership->onJobAccepted(Job);
    return;
  }
  const std::string Address = Leadership->schedulerAddress();
  if (Address.empty())
    return;
  const http_request Notice{.Method = "POST",
                            .Target = std::string(InnerJobPath) +
                                      "?pool=" + percentEncode(Pool) +
                                      "&job=" + percentEncode(Pending.JobId) +
                                      "&revision=" + std::to_string(Revision),
                            .Headers = {{"Host", Address}},
                            .Body = toJsonText(Submission.Request.Value)};
  callGateway(Address, Notice, NoticeTimeout,
              [](const call_completion & /*End*/,
                 const http_response & /*Response*/) {});
}

static bool isSubmission(const gateway_protocols &Protocols,
                         const std::string &Body) {
  try {
    return !Protocols.DecodeJob(Body).Items.empty();
  } catch (const std::invalid_argument &) {
    return false;
  }
}

static bool isFromHost(const object_reply &Reply, std::string_view Host) {
  try {
    return !Reply.Objects.empty() &&
           decodeJobDocument(Reply.Objects.front()).Host == Host;
  } catch (const std::invalid_argument &Error) {
    logError("job_unreadable", {{"reason", Error.what()}});
    return false;
  }
}

void job_request_handler::confirmSubmission(const exchange_ptr &Exchange,
                                            const std::string &RequestId,
                                            const job_caller &Caller,
                                            unknown_job_handler Unknown) {
  if (!isSubmission(Options.Protocols, Exchange->request().Body)) {
    Unknown.Respond();
    return;
  }
  auto Pending = std::make_shared<pending_call>();
  Pending->Exchange = Exchange;
  Pending->Host = Exchange->request().Headers.get("Host");
  Pending->RequestedId = RequestId;
  Pending->AllPools = Options.KnownPools();
  Pending->Caller = Caller;
  Pending->Unknown = std::move(Unknown);
  // Unless the store says otherwise.
  Pending->MayBeStored = true;
  Pending->OnOwner = [this](const pending_call_ptr &Found) {
    findSubmission(Found);
  };
  tryOwners(Pending);
}

void job_request_handler::tryOwners(const pending_call_ptr &Pending) {
  const job_caller &Caller = Pending->Caller;
  const auto Known = [&](job_ownership Ownership) {
    return Hosts.known(job_host(Pending->Host, Ownership));
  };
  Pending->NextOwners = {Caller.Tenant};
  if (!Caller.Tenant.empty() && !Caller.Forwarded) {
    // A search that needs no read of the store first comes first.
    const bool UnownedFirst =
        Known(job_ownership::Unowned) && !Known(job_ownership::Owned);
    Pending->NextOwners.insert(UnownedFirst ? Pending->NextOwners.end()
                                            : Pending->NextOwners.begin(),
                               std::string());
  }
  tryNextOwner(Pending);
}

void job_request_handler::tryNextOwner(const pending_call_ptr &Pending) {
  if (Pending->NextOwners.empty()) {
    answerUnknown(Pending);
    return;
  }
  Pending->Owner = std::move(Pending->NextOwners.back());
  Pending->NextOwners.pop_back();
  Pending->JobId = qualifiedJobId(Pending->Owner, Pending->RequestedId);
  Pending->Call.JobId = Pending->JobId;
  Pending->Pools = Pending->AllPools;
  Pending->Peers.clear();
  Pending->PeersChosen = false;
  Hosts.find(
      job_host(Pending->Host, ownershipOf(Pending->Owner)), event_loop::now(),
      [this, Weak = std::weak_ptr<bool>(Alive),
       Pending](job_host_status Status) {
        if (Weak.expired())
          return;
        switch (Status) {
        case job_host_status::HasJobs:
          Pending->OnOwner(Pending);
          return;
        case job_host_status::NoJobs:
          // A version that wrote no records may have accepted jobs.
          if (!Pending->Unknown.OtherService && Options.Store.reachable())
            Pending->OnOwner(Pending);
          else
            tryNextOwner(Pending);
          return;
        case job_host_status::Unavailable:
          forward(Pending, "store_lost");
          return;
        }
      });
}

void job_request_handler::findSubmission(const pending_call_ptr &Pending) {
  if (!Options.Store.reachable()) {
    forward(Pending, "store_lost");
    return;
  }
  Options.Store.call(
      {.Op = object_op::Get, .Kind = Options.JobKind, .Name = Pending->JobId},
      [this, Weak = std::weak_ptr<bool>(Alive),
       Pending](const object_reply &Reply) {
        if (Weak.expired())
          return;
        const http_request &Submission = Pending->Exchange->request();
        const bool Known = Reply.Outcome == object_outcome::Done &&
                           isFromHost(Reply, Submission.Headers.get("Host"));
        logInfo("job_confirmed",
                {{"job", Pending->JobId},
                 {"outcome", std::string(toString(Reply.Outcome))},
                 {"accepted", Known ? "yes" : "no"}});
        if (Known)
          answer(Pending->Exchange, StatusAccepted, "{}", JsonContentType);
        else if (Reply.Outcome == object_outcome::Done ||
                 Reply.Outcome == object_outcome::NotFound)
          tryNextOwner(Pending);
        else
          forward(Pending, "store_lost");
      });
}

milliseconds job_request_handler::timeLimit(milliseconds Wait) const {
  return std::max(Options.SubmitTimeout, Wait + Options.ForwardTimeout) +
         DefaultStoreCallTimeout;
}

void job_request_handler::call(const exchange_ptr &Exchange, job_call Call,
                               std::vector<std::string> Pools,
                               const job_caller &Caller,
                               unknown_job_handler Unknown) {
  auto Pending = std::make_shared<pending_call>();
  Pending->Exchange = Exchange;
  Pending->Host = Call.Host;
  Pending->RequestedId = Call.JobId;
  Pending->Call = std::move(Call);
  Pending->AllPools = Pools.empty() ? Options.KnownPools() : std::move(Pools);
  Pending->Caller = Caller;
  Pending->Unknown = std::move(Unknown);
  Pending->OnOwner = [this](const pending_call_ptr &Found) {
    startCall(Found);
  };
  tryOwners(Pending);
}

void job_request_handler::startCall(const pending_call_ptr &Pending) {
  switch (Pending->Call.Kind) {
  case job_call_kind::ReadResults:
    readResults(Pending);
    return;
  case job_call_kind::EndJob:
    endJob(Pending);
    return;
  case job_call_kind::ReadItemBody:
    readItemBody(Pending);
    return;
  }
}

void job_request_handler::answerFromCache(const pending_call_ptr &Pending,
                                          const job_cache_reply &Reply,
                                          std::string_view ContentType) {
  switch (Reply.Status) {
  case job_cache_status::Found:
    answer(Pending->Exchange, StatusOk, Reply.Body, ContentType);
    return;
  case job_cache_status::NoSuchJob:
    tryNextOwner(Pending);
    return;
  case job_cache_status::NoSuchItem:
    answer(Pending->Exchange, StatusNotFound, errorBody("no such item"),
           JsonContentType);
    return;
  case job_cache_status::Unavailable:
    forward(Pending, "store_lost");
    return;
  }
}

void job_request_handler::readResults(const pending_call_ptr &Pending) {
  if (Pending->Pools.empty()) {
    readFromCache(Pending);
    return;
  }
  const std::string Pool = Pending->Pools.back();
  Pending->Pools.pop_back();
  pool_leadership *Leadership = Options.FindPool(Pool);
  job_scheduler *Scheduler = Leadership ? Leadership->scheduler() : nullptr;
  if (Scheduler) {
    Scheduler->readResults(
        Pending->Call, [this, Pending](bool Found, const std::string &Page) {
          if (Found)
            answer(Pending->Exchange, StatusOk, Page, JsonContentType);
          else
            readResults(Pending);
        });
    return;
  }
  const std::string Address =
      Leadership ? Leadership->schedulerAddress() : std::string();
  if (Address.empty())
    readResults(Pending);
  else
    readFromScheduler(Pending, Address, Pool);
}

void job_request_handler::readFromScheduler(const pending_call_ptr &Pending,
                                            const std::string &Address,
                                            const std::string &Pool) {
  const job_call &Call = Pending->Call;
  const http_request Request{
      .Method = "GET",
      .Target = std::string(InnerResultsPath) + "?pool=" + percentEncode(Pool) +
                "&job=" + percentEncode(Call.JobId) +
                "&after=" + std::to_string(Call.After) +
                "&wait_ms=" + std::to_string(Call.Wait.count()),
      .Headers = {{"Host", Address}},
      .Body = {}};
  callGateway(
      Address, Request, Call.Wait + Options.ForwardTimeout,
      [this, Pending](const call_completion &End, http_response Response) {
        if (End.Result == call_result::Complete && Response.Status == StatusOk)
          answer(Pending->Exchange, StatusOk, std::move(Response.Body),
                 JsonContentType);
        else
          readResults(Pending);
      });
}

/// Item bodies are immutable, so any gateway that has the job in memory can
/// answer.
void job_request_handler::readItemBody(const pending_call_ptr &Pending) {
  const job_call &Call = Pending->Call;
  std::optional<std::string> Body = Cache.cachedItemBody(Call);
  std::string Address;
  for (const std::string &Pool : Pending->Pools) {
    pool_leadership *Leadership = Options.FindPool(Pool);
    if (!Body && Leadership && Leadership->scheduler())
      Body = Leadership->scheduler()->itemBody(Call.JobId, Call.ItemId);
    if (Leadership && Address.empty())
      Address = Leadership->schedulerAddress();
  }
  if (Body) {
    answer(Pending->Exchange, StatusOk, std::move(*Body), BinaryContentType);
    return;
  }
  const auto ReadFromStore = [this, Pending] {
    Cache.readItemBody(Pending->Call,
                       [this, Pending](const job_cache_reply &Reply) {
                         answerFromCache(Pending, Reply, BinaryContentType);
                       });
  };
  if (Address.empty() || Pending->Pools.size() != 1) {
    ReadFromStore();
    return;
  }
  const http_request Request{.Method = "GET",
                             .Target = std::string(InnerItemPath) + "?pool=" +
                                       percentEncode(Pending->Pools.front()) +
                                       "&job=" + percentEncode(Call.JobId) +
                                       "&item=" + percentEncode(Call.ItemId),
                             .Headers = {{"Host", Address}},
                             .Body = {}};
  callGateway(Address, Request, Options.ForwardTimeout,
              [Pending, ReadFromStore](const call_completion &End,
                                       http_response Response) {
                if (End.Result == call_result::Complete &&
                    Response.Status == StatusOk)
                  answer(Pending->Exchange, StatusOk, std::move(Response.Body),
                         BinaryContentType);
                else
                  ReadFromStore();
              });
}

void job_request_handler::readFromCache(const pending_call_ptr &Pending) {
  Cache.readResults(Pending->Call,
                    [this, Pending](const job_cache_reply &Reply) {
                      answerFromCache(Pending, Reply, JsonContentType);
                    });
}

void job_request_handler::readStoredResults(
    const job_call &Call, std::function<void(const std::string *Page)> Done) {
  Cache.readResults(
      Call, [Done = std::move(Done)](const job_cache_reply &Reply) {
        Done(Reply.Status == job_cache_status::Found ? &Reply.Body : nullptr);
      });
}

void job_request_handler::endJob(const pending_call_ptr &Pending) {
  if (!Options.Store.reachable()) {
    forward(Pending, "store_lost");
    return;
  }
  Options.Store.call(
      {.Op = object_op::ReplaceStatus,
       .Kind = Options.JobKind,
       .Name = Pending->JobId,
       .Value = endedStatus()},
      [this, Weak = std::weak_ptr<bool>(Alive),
       Pending](const object_reply &Reply) {
        if (Weak.expired())
          return;
        logInfo("job_end", {{"job", Pending->JobId},
                            {"outcome", std::string(toString(Reply.Outcome))},
                            {"detail", Reply.Detail}});
        if (Reply.Outcome == object_outcome::Done) {
          answer(Pending->Exchange, StatusOk, "{}", JsonContentType);
          notifySchedulers(Pending->JobId, Pending->Pools);
        } else if (Reply.Outcome == object_outcome::NotFound) {
          tryNextOwner(Pending);
        } else {
          forward(Pending, "store_lost");
        }
      });
}

/// Schedulers also learn of the end from the store. The notice only avoids work
/// until then, so a failure is ignored.
void job_request_handler::notifySchedulers(
    const std::string &JobId, const std::vector<std::string> &Pools) {
  for (const std::string &Pool : Pools) {
    pool_leadership *Leadership = Options.FindPool(Pool);
    if (!Leadership)
      continue;
    if (job_scheduler *Scheduler = Leadership->scheduler()) {
      Scheduler->endJob(JobId);
      continue;
    }
    const std::string Address = Leadership->schedulerAddress();
    if (Address.empty())
      continue;
    const http_request Notice{.Method = "POST",
                              .Target = std::string(InnerEndPath) +
                                        "?pool=" + percentEncode(Pool) +
                                        "&job=" + percentEncode(JobId),
                              .Headers = {{"Host", Address}},
                              .Body = {}};
    callGateway(Address, Notice, NoticeTimeout,
                [](const call_completion & /*End*/,
                   const http_response & /*Response*/) {});
  }
}

} // namespace cardamom
