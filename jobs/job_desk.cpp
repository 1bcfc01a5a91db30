#include "jobs/job_desk.h"

#include "base/log.h"
#include "base/metrics.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "jobs/inner_paths.h"
#include "jobs/job_document.h"
#include "jobs/pool_role.h"

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
/// A scheduler of this process that does not know a job may be about to see
/// it; the reader is told to come back.
static constexpr milliseconds EndNoticeTimeout{500};

struct job_desk::submission {
  exchange_ptr Exchange;
  std::string JobId;
  object_request Request;
  time_point StartedAt;
  /// A try may have been done, or may be done later.
  bool MayBeStored = false;
  timer_handle Retry;
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

job_desk::job_desk(job_desk_options Options)
    : Options(std::move(Options)),
      Archive({.Loop = this->Options.Loop,
               .Link = this->Options.Link,
               .Protocols = this->Options.Protocols,
               .JobKind = this->Options.JobKind,
               .ResultKind = this->Options.ResultKind}) {}

void job_desk::unavailable(const exchange_ptr &Exchange,
                           std::string_view Reason) {
  metrics::get().counter("job_calls_refused_total", "reason", Reason).add();
  Exchange->answer(
      {.Status = StatusUnavailable,
       .Headers = {{"Content-Type", std::string(Json)},
                   {"Retry-After", seconds(Options.RetryHint)}},
       .Body = errorBody(Reason)});
}

void job_desk::submit(const exchange_ptr &Exchange, const route &Route,
                      const std::string &RequestId) {
  try {
    const job Job = Options.Protocols.DecodeJob(Exchange->request().Body);
    if (RequestId.empty())
      throw std::invalid_argument("the job has no id");
    if (Job.Items.empty())
      throw std::invalid_argument("field \"items\" is empty");
  } catch (const std::invalid_argument &Error) {
    logState("job_invalid", {{"job", RequestId}, {"reason", Error.what()}});
    answer(Exchange, StatusBadRequest, errorBody(Error.what()), Json);
    return;
  }
  auto Submission = std::make_shared<submission>();
  Submission->Exchange = Exchange;
  Submission->JobId = RequestId;
  Submission->StartedAt = event_loop::now();
  Submission->Request = {
      .Op = object_op::Create,
      .Kind = Options.JobKind,
      .Name = RequestId,
      .Value = encodeJobDocument(
          {.Host = std::string(Exchange->request().Headers.get("Host")),
           .Target = Exchange->request().Target,
           .Pool = Route.Services.front().Service,
           .SubmittedAtMs = Options.UnixNow(),
           .Submission = Exchange->request().Body})};
  if (!Options.Link.reachable()) {
    logState("job_refused", {{"job", RequestId}, {"reason", "store_lost"}});
    unavailable(Exchange, "store_lost");
    return;
  }
  create(Submission);
}

void job_desk::create(const std::shared_ptr<submission> &Submission) {
  Options.Link.call(Submission->Request,
                    [this, Weak = std::weak_ptr<bool>(Alive),
                     Submission](const object_reply &Reply) {
                      if (!Weak.expired())
                        onCreated(Submission, Reply);
                    });
}

void job_desk::onCreated(const std::shared_ptr<submission> &Submission,
                         const object_reply &Reply) {
  const exchange_ptr &Exchange = Submission->Exchange;
  const auto Log = [&](std::string_view Event) {
    logState(Event, {{"job", Submission->JobId},
                     {"outcome", std::string(toString(Reply.Outcome))},
                     {"detail", Reply.Detail}});
  };
  switch (Reply.Outcome) {
  case object_outcome::Done:
  case object_outcome::Conflict:
    Log("job_accepted");
    answer(Exchange, StatusAccepted, "{}", Json);
    return;
  case object_outcome::Invalid:
    Log("job_too_large");
    answer(Exchange, StatusTooLarge, errorBody("the store refuses the job"),
           Json);
    return;
  case object_outcome::Unknown:
    Submission->MayBeStored = true;
    break;
  case object_outcome::Refused:
  case object_outcome::NotFound:
  case object_outcome::HistoryGone:
    break;
  }
  if (!Submission->MayBeStored) {
    Log("job_refused");
    unavailable(Exchange, "store_refused");
    return;
  }
  if (event_loop::now() - Submission->StartedAt > Options.SubmitPatience) {
    // Neither accepted nor "not run" would be known to be true.
    Log("job_outcome_unknown");
    answer(Exchange, StatusTimeout, errorBody("the store does not answer"),
           Json);
    return;
  }
  Submission->Retry =
      Options.Loop.after(SubmitRetryDelay, [this, Submission] {
        const timer_handle Timer = std::move(Submission->Retry);
        create(Submission);
      });
}

void job_desk::call(const exchange_ptr &Exchange, const job_call &Call,
                    std::vector<std::string> Pools) {
  switch (Call.Kind) {
  case job_call_kind::Read:
    read(Exchange, Call, std::move(Pools));
    return;
  case job_call_kind::End:
    end(Exchange, Call, Pools);
    return;
  case job_call_kind::ItemBody:
    Archive.itemBody(Call, [this, Exchange](const archive_reply &Reply) {
      answerArchive(Exchange, Reply, Bytes);
    });
    return;
  }
}

void job_desk::answerArchive(const exchange_ptr &Exchange,
                             const archive_reply &Reply,
                             std::string_view ContentType) {
  switch (Reply.Status) {
  case archive_status::Found:
    answer(Exchange, StatusOk, Reply.Body, ContentType);
    return;
  case archive_status::NotFound:
    answer(Exchange, StatusNotFound, errorBody("no such job or item"), Json);
    return;
  case archive_status::Unavailable:
    unavailable(Exchange, "store_lost");
    return;
  }
}

void job_desk::read(const exchange_ptr &Exchange, const job_call &Call,
                    std::vector<std::string> Pools) {
  if (Pools.empty()) {
    readArchive(Exchange, Call);
    return;
  }
  const std::string Pool = Pools.back();
  Pools.pop_back();
  pool_role *Role = Options.FindPool(Pool);
  if (!Role) {
    read(Exchange, Call, std::move(Pools));
    return;
  }
  if (job_scheduler *Scheduler = Role->scheduler()) {
    Scheduler->read(Call, [this, Exchange, Call, Pools](
                              bool Known, const std::string &Page) {
      if (Known)
        answer(Exchange, StatusOk, Page, Json);
      else
        read(Exchange, Call, Pools);
    });
    return;
  }
  const std::string Address = Role->schedulerAddress();
  if (Address.empty())
    read(Exchange, Call, std::move(Pools));
  else
    forwardRead(Exchange, Call, Address, Pool, std::move(Pools));
}

void job_desk::forwardRead(const exchange_ptr &Exchange, const job_call &Call,
                           const std::string &Address, const std::string &Pool,
                           std::vector<std::string> MorePools) {
  const http_request Question{
      .Method = "GET",
      .Target = std::string(InnerResultsPath) + "?pool=" +
                percentEncode(Pool) + "&job=" + percentEncode(Call.JobId) +
                "&after=" + std::to_string(Call.After) +
                "&wait_ms=" + std::to_string(Call.Wait.count()),
      .Headers = {{"Host", Address}},
      .Body = {}};
  const uint64_t Id = NextCall++;
  Calls[Id] = Options.Client.fetch(
      Address, Question, Call.Wait + Options.ForwardTimeout,
      [this, Weak = std::weak_ptr<bool>(Alive), Id, Exchange, Call,
       MorePools = std::move(MorePools)](const call_end &End,
                                         http_response Response) {
        if (Weak.expired())
          return;
        const call_handle Finished = std::move(Calls[Id]);
        Calls.erase(Id);
        if (End.Result == call_result::Complete &&
            Response.Status == StatusOk) {
          answer(Exchange, StatusOk, std::move(Response.Body), Json);
          return;
        }
        read(Exchange, Call, MorePools);
      });
}

void job_desk::readArchive(const exchange_ptr &Exchange,
                           const job_call &Call) {
  Archive.read(Call, [this, Exchange](const archive_reply &Reply) {
    answerArchive(Exchange, Reply, Json);
  });
}

void job_desk::end(const exchange_ptr &Exchange, const job_call &Call,
                   const std::vector<std::string> &Pools) {
  Options.Link.call(
      {.Op = object_op::ReplaceStatus,
       .Kind = Options.JobKind,
       .Name = Call.JobId,
       .Value = endedStatus()},
      [this, Weak = std::weak_ptr<bool>(Alive), Exchange, Call,
       Pools](const object_reply &Reply) {
        if (Weak.expired())
          return;
        logState("job_end",
                 {{"job", Call.JobId},
                  {"outcome", std::string(toString(Reply.Outcome))},
                  {"detail", Reply.Detail}});
        if (Reply.Outcome == object_outcome::Done) {
          answer(Exchange, StatusOk, "{}", Json);
          notifyEnd(Call.JobId, Pools);
        } else if (Reply.Outcome == object_outcome::NotFound) {
          answer(Exchange, StatusNotFound, errorBody("no such job"), Json);
        } else {
          unavailable(Exchange, "store_lost");
        }
      });
}

/// Schedulers also learn of the end from the store; this only saves the work
/// until then, so a failure needs no handling.
void job_desk::notifyEnd(const std::string &JobId,
                         const std::vector<std::string> &Pools) {
  for (const std::string &Pool : Pools) {
    pool_role *Role = Options.FindPool(Pool);
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
    const uint64_t Id = NextCall++;
    Calls[Id] = Options.Client.fetch(
        Address, Notice, EndNoticeTimeout,
        [this, Weak = std::weak_ptr<bool>(Alive),
         Id](const call_end & /*End*/, const http_response & /*Response*/) {
          if (Weak.expired())
            return;
          const call_handle Finished = std::move(Calls[Id]);
          Calls.erase(Id);
        });
  }
}

} // namespace cardamom
