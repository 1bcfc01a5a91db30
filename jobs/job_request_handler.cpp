#include "jobs/job_request_handler.h"

#include "base/log.h"
#include "base/metrics.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "jobs/inner_paths.h"
#include "jobs/job_document.h"
#include "jobs/pool_leadership.h"

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
static constexpr std::string_view Json = "application/json";
static constexpr std::string_view Bytes = "application/octet-stream";
/// Pause before a submission without an outcome is tried again.
static constexpr milliseconds SubmitRetryDelay{40};
static constexpr milliseconds EndNoticeTimeout{500};

/// A call on its way through the desk.
struct job_request_handler::pending_call {
  exchange_ptr Exchange;
  std::string JobId;
  job_call Call;
  /// Pools whose schedulers have not been asked yet.
  std::vector<std::string> Pools;
  bool Forwarded = false;
  /// Gateways that have not been asked yet.
  std::vector<std::string> Peers;
  bool PeersChosen = false;
  /// The call is a submission that may have been stored, or may yet be.
  bool MayBeStored = false;
};

struct job_request_handler::submission {
  pending_call_ptr Pending;
  object_request Request;
  time_point StartedAt;
  timer_handle RetryTimer;
};

static void answer(const exchange_ptr &Exchange, unsigned Status,
                   std::string Body, std::string_view ContentType) {
  Exchange->answer({.Status = Status,
                    .Headers = {{"Content-Type", std::string(ContentType)}},
                    .Body = std::move(Body)});
}

static std::string errorBody(std::string_view Reason) {
  return nlohmann::json({{"error", Reason}}).dump();
}

static std::string seconds(milliseconds Time) {
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
             .ResultKind = this->Options.ResultKind}) {}

void job_request_handler::answerUnavailable(const pending_call_ptr &Visit,
                                            std::string_view Reason) {
  metrics::get().counter("job_calls_refused_total", "reason", Reason).add();
  logInfo("job_call_refused",
          {{"job", Visit->JobId},
           {"reason", std::string(Reason)},
           {"may_be_stored", Visit->MayBeStored ? "yes" : "no"}});
  if (Visit->MayBeStored) {
    // Neither "accepted" nor "not run" is known to be true.
    answer(Visit->Exchange, StatusTimeout, errorBody(Reason), Json);
    return;
  }
  Visit->Exchange->answer(
      {.Status = StatusUnavailable,
       .Headers = {{"Content-Type", std::string(Json)},
                   {"Retry-After", seconds(Options.RetryAfter)}},
       .Body = errorBody(Reason)});
}

void job_request_handler::callGateway(
    const std::string &Address, const http_request &Request,
    milliseconds Timeout,
    std::function<void(const call_end &, http_response)> Done) {
  const uint64_t Id = NextCallId++;
  Calls[Id] = Options.Client.fetch(
      Address, Request, Timeout,
      [this, Weak = std::weak_ptr<bool>(Alive), Id,
       Done = std::move(Done)](const call_end &End, http_response Response) {
        if (Weak.expired())
          return;
        const call_handle Finished = std::move(Calls[Id]);
        Calls.erase(Id);
        Done(End, std::move(Response));
      });
}

void job_request_handler::forward(const pending_call_ptr &Visit,
                                  std::string_view Reason) {
  const bool AllLost =
      event_loop::now() - AllUnavailableAt < Options.ForwardPause;
  if (!Visit->PeersChosen && !Visit->Forwarded && !AllLost) {
    Visit->Peers = Options.Peers();
    if (Visit->Peers.size() > Options.MaxForwards)
      Visit->Peers.resize(Options.MaxForwards);
    // The scheduler most likely has the store.
    for (const std::string &Pool : Visit->Pools) {
      const pool_leadership *Role = Options.FindPool(Pool);
      if (!Role || Role->schedulerAddress().empty())
        continue;
      std::erase(Visit->Peers, Role->schedulerAddress());
      Visit->Peers.push_back(Role->schedulerAddress());
    }
    Visit->PeersChosen = true;
  }
  forwardToNextPeer(Visit, Reason);
}

void job_request_handler::forwardToNextPeer(const pending_call_ptr &Visit,
                                            std::string_view Reason) {
  if (Visit->Peers.empty()) {
    if (Visit->PeersChosen)
      AllUnavailableAt = event_loop::now();
    answerUnavailable(Visit, Reason);
    return;
  }
  const std::string Address = std::move(Visit->Peers.back());
  Visit->Peers.pop_back();
  http_request Request = Visit->Exchange->request();
  Request.Target = std::string(InnerForwardPrefix) + Request.Target;
  Request.Headers.removeConnectionHeaders();
  logInfo("job_call_forwarded", {{"job", Visit->JobId}, {"to", Address}});
  metrics::get().counter("job_calls_forwarded_total").add();
  callGateway(Address, Request, Visit->Call.Wait + Options.ForwardTimeout,
              [this, Visit, Reason = std::string(Reason)](
                  const call_end &End, http_response Response) {
                if (End.Result == call_result::Complete &&
                    Response.Status != StatusUnavailable) {
                  Response.Headers.removeConnectionHeaders();
                  Visit->Exchange->answer(std::move(Response));
                  return;
                }
                if (End.Result != call_result::Complete &&
                    End.Result != call_result::NotConnected)
                  Visit->MayBeStored |=
                      Visit->Exchange->request().Method == "POST";
                forwardToNextPeer(Visit, Reason);
              });
}

void job_request_handler::submit(const exchange_ptr &Exchange,
                                 const route &Route,
                                 const std::string &RequestId, bool Forwarded) {
  try {
    const job Job = Options.Protocols.DecodeJob(Exchange->request().Body);
    if (RequestId.empty())
      throw std::invalid_argument("the job has no id");
    if (Job.Items.empty())
      throw std::invalid_argument("field \"items\" is empty");
  } catch (const std::invalid_argument &Error) {
    logInfo("job_invalid", {{"job", RequestId}, {"reason", Error.what()}});
    answer(Exchange, StatusBadRequest, errorBody(Error.what()), Json);
    return;
  }
  const std::string &Pool = Route.Services.front().Service;
  auto Visit = std::make_shared<pending_call>();
  Visit->Exchange = Exchange;
  Visit->JobId = RequestId;
  Visit->Pools = {Pool};
  Visit->Forwarded = Forwarded;
  if (!Options.Store.reachable()) {
    forward(Visit, "store_lost");
    return;
  }
  auto Submission = std::make_shared<submission>();
  Submission->Pending = Visit;
  Submission->StartedAt = event_loop::now();
  Submission->Request = {
      .Op = object_op::Create,
      .Kind = Options.JobKind,
      .Name = RequestId,
      .Value = encodeJobDocument(
          {.Host = std::string(Exchange->request().Headers.get("Host")),
           .Target = Exchange->request().Target,
           .Pool = Pool,
           .SubmittedAtMs = Options.UnixNow(),
           .Submission = Exchange->request().Body})};
  create(Submission);
}

void job_request_handler::create(
    const std::shared_ptr<submission> &Submission) {
  Options.Store.call(Submission->Request,
                     [this, Weak = std::weak_ptr<bool>(Alive),
                      Submission](const object_reply &Reply) {
                       if (!Weak.expired())
                         onCreated(Submission, Reply);
                     });
}

void job_request_handler::onCreated(
    const std::shared_ptr<submission> &Submission, const object_reply &Reply) {
  const pending_call_ptr &Visit = Submission->Pending;
  const exchange_ptr &Exchange = Visit->Exchange;
  logInfo("job_stored", {{"job", Visit->JobId},
                         {"outcome", std::string(toString(Reply.Outcome))},
                         {"detail", Reply.Detail}});
  switch (Reply.Outcome) {
  case object_outcome::Done:
  case object_outcome::Conflict:
    answer(Exchange, StatusAccepted, "{}", Json);
    return;
  case object_outcome::Invalid:
    answer(Exchange, StatusTooLarge, errorBody("the store refuses the job"),
           Json);
    return;
  case object_outcome::Unknown:
    Visit->MayBeStored = true;
    break;
  case object_outcome::Refused:
  case object_outcome::NotFound:
  case object_outcome::HistoryGone:
    break;
  }
  const bool InTime =
      event_loop::now() - Submission->StartedAt < Options.SubmitTimeout;
  if (!InTime || !Options.Store.reachable()) {
    forward(Visit, "store_lost");
    return;
  }
  Submission->RetryTimer =
      Options.Loop.after(SubmitRetryDelay, [this, Submission] {
        const timer_handle Timer = std::move(Submission->RetryTimer);
        create(Submission);
      });
}

void job_request_handler::call(const exchange_ptr &Exchange,
                               const job_call &Call,
                               std::vector<std::string> Pools, bool Forwarded) {
  auto Visit = std::make_shared<pending_call>();
  Visit->Exchange = Exchange;
  Visit->JobId = Call.JobId;
  Visit->Call = Call;
  Visit->Pools = std::move(Pools);
  Visit->Forwarded = Forwarded;
  switch (Call.Kind) {
  case job_call_kind::ReadResults:
    readResults(Visit);
    return;
  case job_call_kind::EndJob:
    endJob(Visit);
    return;
  case job_call_kind::ReadItemBody:
    readItemBody(Visit);
    return;
  }
}

void job_request_handler::answerFromCache(const pending_call_ptr &Visit,
                                          const job_cache_reply &Reply,
                                          std::string_view ContentType) {
  switch (Reply.Status) {
  case job_cache_status::Found:
    answer(Visit->Exchange, StatusOk, Reply.Body, ContentType);
    return;
  case job_cache_status::NotFound:
    answer(Visit->Exchange, StatusNotFound, errorBody("no such job or item"),
           Json);
    return;
  case job_cache_status::Unavailable:
    forward(Visit, "store_lost");
    return;
  }
}

void job_request_handler::readResults(const pending_call_ptr &Visit) {
  if (Visit->Pools.empty()) {
    readFromCache(Visit);
    return;
  }
  const std::string Pool = Visit->Pools.back();
  Visit->Pools.pop_back();
  pool_leadership *Role = Options.FindPool(Pool);
  job_scheduler *Scheduler = Role ? Role->scheduler() : nullptr;
  if (Scheduler) {
    Scheduler->readResults(Visit->Call,
                           [this, Visit](bool Known, const std::string &Page) {
                             if (Known)
                               answer(Visit->Exchange, StatusOk, Page, Json);
                             else
                               readResults(Visit);
                           });
    return;
  }
  const std::string Address = Role ? Role->schedulerAddress() : std::string();
  if (Address.empty())
    readResults(Visit);
  else
    readFromScheduler(Visit, Address, Pool);
}

void job_request_handler::readFromScheduler(const pending_call_ptr &Visit,
                                            const std::string &Address,
                                            const std::string &Pool) {
  const job_call &Call = Visit->Call;
  const http_request Question{
      .Method = "GET",
      .Target = std::string(InnerResultsPath) + "?pool=" + percentEncode(Pool) +
                "&job=" + percentEncode(Call.JobId) +
                "&after=" + std::to_string(Call.After) +
                "&wait_ms=" + std::to_string(Call.Wait.count()),
      .Headers = {{"Host", Address}},
      .Body = {}};
  callGateway(
      Address, Question, Call.Wait + Options.ForwardTimeout,
      [this, Visit](const call_end &End, http_response Response) {
        if (End.Result == call_result::Complete && Response.Status == StatusOk)
          answer(Visit->Exchange, StatusOk, std::move(Response.Body), Json);
        else
          readResults(Visit);
      });
}

/// Bodies never change, so whoever has the job in memory can answer.
void job_request_handler::readItemBody(const pending_call_ptr &Visit) {
  const job_call &Call = Visit->Call;
  std::optional<std::string> Body = Cache.cachedItemBody(Call);
  std::string Address;
  for (const std::string &Pool : Visit->Pools) {
    pool_leadership *Role = Options.FindPool(Pool);
    if (!Body && Role && Role->scheduler())
      Body = Role->scheduler()->itemBody(Call.JobId, Call.ItemId);
    if (Role && Address.empty())
      Address = Role->schedulerAddress();
  }
  if (Body) {
    answer(Visit->Exchange, StatusOk, std::move(*Body), Bytes);
    return;
  }
  const auto FromStore = [this, Visit] {
    Cache.readItemBody(Visit->Call,
                       [this, Visit](const job_cache_reply &Reply) {
                         answerFromCache(Visit, Reply, Bytes);
                       });
  };
  if (Address.empty() || Visit->Pools.size() != 1) {
    FromStore();
    return;
  }
  const http_request Question{.Method = "GET",
                              .Target = std::string(InnerItemPath) + "?pool=" +
                                        percentEncode(Visit->Pools.front()) +
                                        "&job=" + percentEncode(Call.JobId) +
                                        "&item=" + percentEncode(Call.ItemId),
                              .Headers = {{"Host", Address}},
                              .Body = {}};
  callGateway(
      Address, Question, Options.ForwardTimeout,
      [Visit, FromStore](const call_end &End, http_response Response) {
        if (End.Result == call_result::Complete && Response.Status == StatusOk)
          answer(Visit->Exchange, StatusOk, std::move(Response.Body), Bytes);
        else
          FromStore();
      });
}

void job_request_handler::readFromCache(const pending_call_ptr &Visit) {
  Cache.readResults(Visit->Call, [this, Visit](const job_cache_reply &Reply) {
    answerFromCache(Visit, Reply, Json);
  });
}

void job_request_handler::endJob(const pending_call_ptr &Visit) {
  if (!Options.Store.reachable()) {
    forward(Visit, "store_lost");
    return;
  }
  Options.Store.call(
      {.Op = object_op::ReplaceStatus,
       .Kind = Options.JobKind,
       .Name = Visit->JobId,
       .Value = endedStatus()},
      [this, Weak = std::weak_ptr<bool>(Alive),
       Visit](const object_reply &Reply) {
        if (Weak.expired())
          return;
        logInfo("job_end", {{"job", Visit->JobId},
                            {"outcome", std::string(toString(Reply.Outcome))},
                            {"detail", Reply.Detail}});
        if (Reply.Outcome == object_outcome::Done) {
          answer(Visit->Exchange, StatusOk, "{}", Json);
          notifySchedulers(Visit->JobId, Visit->Pools);
        } else if (Reply.Outcome == object_outcome::NotFound) {
          answer(Visit->Exchange, StatusNotFound, errorBody("no such job"),
                 Json);
        } else {
          forward(Visit, "store_lost");
        }
      });
}

/// Schedulers also learn of the end from the store; this only saves the work
/// until then, so a failure needs no handling.
void job_request_handler::notifySchedulers(
    const std::string &JobId, const std::vector<std::string> &Pools) {
  for (const std::string &Pool : Pools) {
    pool_leadership *Role = Options.FindPool(Pool);
    if (!Role)
      continue;
    if (job_scheduler *Scheduler = Role->scheduler()) {
      Scheduler->endJob(JobId);
      continue;
    }
    const std::string Address = Role->schedulerAddress();
    if (Address.empty())
      continue;
    const http_request Notice{.Method = "POST",
                              .Target = std::string(InnerEndPath) +
                                        "?pool=" + percentEncode(Pool) +
                                        "&job=" + percentEncode(JobId),
                              .Headers = {{"Host", Address}},
                              .Body = {}};
    callGateway(
        Address, Notice, EndNoticeTimeout,
        [](const call_end & /*End*/, const http_response & /*Response*/) {});
  }
}

} // namespace cardamom
