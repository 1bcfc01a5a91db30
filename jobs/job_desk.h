/// \file
/// Serves trainers' calls on batch jobs at any gateway: submissions go to the
/// store, reads to the pool's scheduler or else to the store.
///
/// Use:
///   job_desk Desk({...});
///   Desk.submit(Exchange, Route);
///   Desk.call(Exchange, JobCall, Pools);

#ifndef CARDAMOM_JOBS_JOB_DESK_H
#define CARDAMOM_JOBS_JOB_DESK_H

#include "http/http_server.h"
#include "jobs/job_archive.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamom {

class client_call_state;
class pool_role;

struct job_desk_options {
  event_loop &Loop;
  http_client &Client;
  object_link &Link;
  const gateway_protocols &Protocols;
  std::string JobKind;
  std::string ResultKind;
  /// Null when this gateway does not know the pool.
  std::function<pool_role *(const std::string &Pool)> FindPool;
  /// Unix milliseconds.
  std::function<uint64_t()> UnixNow;
  /// How long a submission is tried when the store does not say what became
  /// of it.
  milliseconds SubmitPatience{1500};
  /// What a caller is told to wait while the store does not answer.
  milliseconds RetryHint{500};
  /// Beyond the wait that the reader asked for.
  milliseconds ForwardTimeout{600};
};

class job_desk {
public:
  explicit job_desk(job_desk_options Options);

  void submit(const exchange_ptr &Exchange, const route &Route,
              const std::string &RequestId);
  /// Pools: services of the rollout routes on the call's host.
  void call(const exchange_ptr &Exchange, const job_call &Call,
            std::vector<std::string> Pools);

private:
  struct submission;

  void create(const std::shared_ptr<submission> &Submission);
  void onCreated(const std::shared_ptr<submission> &Submission,
                 const object_reply &Reply);
  void read(const exchange_ptr &Exchange, const job_call &Call,
            std::vector<std::string> Pools);
  void forwardRead(const exchange_ptr &Exchange, const job_call &Call,
                   const std::string &Address, const std::string &Pool,
                   std::vector<std::string> MorePools);
  void readArchive(const exchange_ptr &Exchange, const job_call &Call);
  void end(const exchange_ptr &Exchange, const job_call &Call,
           const std::vector<std::string> &Pools);
  void notifyEnd(const std::string &JobId,
                 const std::vector<std::string> &Pools);
  void answerArchive(const exchange_ptr &Exchange, const archive_reply &Reply,
                     std::string_view ContentType);
  void unavailable(const exchange_ptr &Exchange, std::string_view Reason);

  job_desk_options Options;
  job_archive Archive;
  uint64_t NextCall = 0;
  std::map<uint64_t, std::shared_ptr<client_call_state>> Calls;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cardamom

#endif // CARDAMOM_JOBS_JOB_DESK_H
