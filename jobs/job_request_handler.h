/// \file
/// Handles trainers' calls on batch jobs at any gateway. Submissions are
/// written to the store; reads are answered by the pool's scheduler, or from
/// the store if the scheduler cannot answer.
///
/// Usage:
///   job_request_handler Handler({...});
///   Handler.submit(Exchange, Route, RequestId, {.Tenant = ...});
///   Handler.call(Exchange, JobCall, Pools, {.Tenant = ...}, {});

#ifndef CARDAMOM_JOBS_JOB_REQUEST_HANDLER_H
#define CARDAMOM_JOBS_JOB_REQUEST_HANDLER_H

#include "http/http_server.h"
#include "jobs/job_cache.h"
#include "jobs/job_host_registry.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamom {

class client_call_state;
class pool_leadership;
struct call_completion;

struct job_request_handler_options {
  event_loop &Loop;
  http_client &Client;
  async_store_client &Store;
  const gateway_protocols &Protocols;
  std::string JobKind;
  std::string ResultKind;
  /// Kind of the objects of job_host_registry.
  std::string HostKind;
  /// Returns null if this gateway does not know the pool.
  std::function<pool_leadership *(const std::string &Pool)> FindPool;
  /// Names of all pools that this gateway knows.
  std::function<std::vector<std::string>()> KnownPools;
  /// Inner addresses of other gateways; calls are forwarded to the first
  /// MaxForwards of them.
  std::function<std::vector<std::string>()> Peers;
  /// Returns the current time in Unix milliseconds.
  std::function<uint64_t()> UnixNow;
  /// How long a submission is retried while its outcome at the store is
  /// unknown.
  milliseconds SubmitTimeout{1500};
  /// Value of the Retry-After header while the store is unreachable.
  milliseconds RetryAfter{500};
  /// Timeout of a call to another gateway, in addition to the wait that the
  /// reader asked for.
  milliseconds ForwardTimeout{600};
  /// Maximum number of other gateways to which a call is forwarded while this
  /// one cannot reach the store; the scheduler's gateway may come in addition.
  unsigned MaxForwards = 2;
  /// After a call that none of the other gateways could serve, no call is
  /// forwarded for this long.
  milliseconds ForwardPause{300};
};

/// Who calls, as the receiving gateway has determined.
struct job_caller {
  /// Name of the tenant, which owns the jobs that it submits; empty = none. A
  /// tenant can access its own jobs and those without an owner, others only the
  /// latter, whatever routes there are now.
  std::string Tenant;
  /// The call comes from another gateway, which looks for the jobs of each
  /// owner by a call of its own: only those of Tenant are meant.
  bool Forwarded = false;
};

/// What happens to a call if there is no such job that the caller can access.
struct unknown_job_handler {
  /// null = responds with 404.
  std::function<void()> Respond;
  /// Whether another service of the host gets the call then. If so, it must not
  /// depend on the store, so the job is looked for only on hosts that are known
  /// to have had jobs.
  bool OtherService = false;
};

class job_request_handler {
public:
  explicit job_request_handler(job_request_handler_options Options);

  /// Records that the configuration accepts jobs on the host.
  void addJobHost(const job_host &Host);
  /// Learns whether jobs have been accepted on the host, so that calls on them
  /// can be answered during an outage of the store.
  void prefetchJobHost(const job_host &Host);
  /// Caller.Forwarded: the call comes from another gateway and must not be
  /// forwarded again.
  void submit(const exchange_ptr &Exchange, const route &Route,
              const std::string &RequestId, const job_caller &Caller);
  /// Responds to a request that no route for jobs matches, but that may repeat
  /// the submission of a job: accepted if the store has this job from the same
  /// host, that is, if it was accepted while its route existed. Leaves it to
  /// Unknown, whose Respond is not null, if it has not, or if the body is no
  /// job.
  void confirmSubmission(const exchange_ptr &Exchange,
                         const std::string &RequestId, const job_caller &Caller,
                         unknown_job_handler Unknown);
  /// Pools: services of the rollout routes on the call's host. If there is no
  /// such route any more, the job may belong to any pool. Call.JobId is the id
  /// that the caller sent.
  void call(const exchange_ptr &Exchange, job_call Call,
            std::vector<std::string> Pools, const job_caller &Caller,
            unknown_job_handler Unknown);
  /// Reads results from the store for another gateway, without waiting for
  /// further ones. Done gets null if they cannot be read. Readers at all
  /// gateways ask the scheduler's gateway, so that each batch is fetched once.
  void readStoredResults(const job_call &Call,
                         std::function<void(const std::string *Page)> Done);
  /// Returns the longest time that a call takes while the store is reachable;
  /// Wait: how long a reader may be kept waiting for results.
  [[nodiscard]] milliseconds timeLimit(milliseconds Wait) const;

private:
  struct submission;
  struct pending_call;
  using pending_call_ptr = std::shared_ptr<pending_call>;

  /// Looks for the jobs that the caller can access, one owner after the other.
  void tryOwners(const pending_call_ptr &Pending);
  /// Looks for the jobs of the next owner; answerUnknown() if none is left.
  void tryNextOwner(const pending_call_ptr &Pending);
  /// Sends the submission's next write to the store.
  void write(const std::shared_ptr<submission> &Submission);
  void onHostRecorded(const std::shared_ptr<submission> &Submission,
                      const object_reply &Reply);
  void onCreated(const std::shared_ptr<submission> &Submission,
                 const object_reply &Reply);
  void retryWrite(const std::shared_ptr<submission> &Submission);
  void findSubmission(const pending_call_ptr &Pending);
  void startCall(const pending_call_ptr &Pending);
  void answerUnknown(const pending_call_ptr &Pending);
  /// Tells the pool's scheduler of an accepted job.
  void notifyScheduler(const submission &Submission, uint64_t Revision);
  void readResults(const pending_call_ptr &Pending);
  void readFromScheduler(const pending_call_ptr &Pending,
                         const std::string &Address, const std::string &Pool);
  void readItemBody(const pending_call_ptr &Pending);
  void readFromCache(const pending_call_ptr &Pending);
  void endJob(const pending_call_ptr &Pending);
  void notifySchedulers(const std::string &JobId,
                        const std::vector<std::string> &Pools);
  void answerFromCache(const pending_call_ptr &Pending,
                       const job_cache_reply &Reply,
                       std::string_view ContentType);
  /// Forwards a call that needs the store to another gateway; responds with
  /// 503, or with 504 if a submission may have been stored, if none can serve
  /// it.
  void forward(const pending_call_ptr &Pending, std::string_view Reason);
  void forwardToNextPeer(const pending_call_ptr &Pending,
                         std::string_view Reason);
  void answerUnavailable(const pending_call_ptr &Pending,
                         std::string_view Reason);
  /// Sends a request to another gateway; Done gets the outcome.
  void
  callGateway(const std::string &Address, const http_request &Request,
              milliseconds Timeout,
              std::function<void(const call_completion &, http_response)> Done);

  job_request_handler_options Options;
  job_cache Cache;
  job_host_registry Hosts;
  /// Last time at which none of the gateways to which a call was forwarded
  /// could serve it.
  time_point AllUnavailableAt{};
  uint64_t NextCallId = 0;
  std::map<uint64_t, std::shared_ptr<client_call_state>> Calls;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_JOB_REQUEST_HANDLER_H
