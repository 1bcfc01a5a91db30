/// \file
/// Serves trainers' calls on batch jobs at any gateway: submissions go to the
/// store, reads to the pool's scheduler or else to the store.
///
/// Use:
///   job_desk Desk({...});
///   Desk.submit(Exchange, Route);
///   Desk.call(Exchange, JobCall, Pools);

#ifndef CARDAMOM_JOBS_JOB_REQUEST_HANDLER_H
#define CARDAMOM_JOBS_JOB_REQUEST_HANDLER_H

#include "http/http_server.h"
#include "jobs/job_cache.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamom {

class client_call_state;
class pool_leadership;
struct call_end;

struct job_request_handler_options {
  event_loop &Loop;
  http_client &Client;
  async_store_client &Store;
  const gateway_protocols &Protocols;
  std::string JobKind;
  std::string ResultKind;
  /// Null when this gateway does not know the pool.
  std::function<pool_leadership *(const std::string &Pool)> FindPool;
  /// Inner addresses of other gateways, in the order in which they are asked.
  std::function<std::vector<std::string>()> Peers;
  /// Unix milliseconds.
  std::function<uint64_t()> UnixNow;
  /// How long a submission is tried when the store does not say what became
  /// of it.
  milliseconds SubmitTimeout{1500};
  /// What a caller is told to wait while the store does not answer.
  milliseconds RetryAfter{500};
  /// Beyond the wait that the reader asked for.
  milliseconds ForwardTimeout{600};
  /// Other gateways that are asked to serve a call when this one has lost the
  /// store.
  unsigned MaxForwards = 2;
  /// No call is passed on for this long after the others had lost the store
  /// too.
  milliseconds ForwardPause{300};
};

class job_request_handler {
public:
  explicit job_request_handler(job_request_handler_options Options);

  /// Forwarded: the call comes from another gateway, and is not passed on.
  void submit(const exchange_ptr &Exchange, const route &Route,
              const std::string &RequestId, bool Forwarded);
  /// Pools: services of the rollout routes on the call's host.
  void call(const exchange_ptr &Exchange, const job_call &Call,
            std::vector<std::string> Pools, bool Forwarded);

private:
  struct submission;
  struct pending_call;
  using pending_call_ptr = std::shared_ptr<pending_call>;

  void create(const std::shared_ptr<submission> &Submission);
  void onCreated(const std::shared_ptr<submission> &Submission,
                 const object_reply &Reply);
  void readResults(const pending_call_ptr &Visit);
  void readFromScheduler(const pending_call_ptr &Visit,
                         const std::string &Address, const std::string &Pool);
  void readItemBody(const pending_call_ptr &Visit);
  void readFromCache(const pending_call_ptr &Visit);
  void endJob(const pending_call_ptr &Visit);
  void notifySchedulers(const std::string &JobId,
                        const std::vector<std::string> &Pools);
  void answerFromCache(const pending_call_ptr &Visit,
                       const job_cache_reply &Reply,
                       std::string_view ContentType);
  /// Passes a call that needs the store to another gateway; answers
  /// "unavailable" when none serves it.
  void forward(const pending_call_ptr &Visit, std::string_view Reason);
  void forwardToNextPeer(const pending_call_ptr &Visit,
                         std::string_view Reason);
  void answerUnavailable(const pending_call_ptr &Visit,
                         std::string_view Reason);
  /// Starts a call between gateways; Done gets its outcome.
  void callGateway(const std::string &Address, const http_request &Request,
                   milliseconds Timeout,
                   std::function<void(const call_end &, http_response)> Done);

  job_request_handler_options Options;
  job_cache Cache;
  /// When all gateways that were asked had lost the store.
  time_point AllUnavailableAt{};
  uint64_t NextCallId = 0;
  std::map<uint64_t, std::shared_ptr<client_call_state>> Calls;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_JOB_REQUEST_HANDLER_H
