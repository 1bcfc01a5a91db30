/// \file
/// Runs calls whose answer is short enough to be held whole: chooses a
/// replica, checks the answer, and tries again where the call allows it.
///
/// Use:
///   plain_caller Caller({...});
///   plain_run_ptr Run = Caller.start({.Call = ..., .Service = "s", ...},
///       [](plain_answer Answer) { ... });
///   Run.reset(); // gives up; upstreams drop the call
///
/// An answer is held until it is complete, so that one that breaks off can be
/// replaced by another replica's.

#ifndef CARDAMOM_GATEWAY_UNARY_CLIENT_H
#define CARDAMOM_GATEWAY_UNARY_CLIENT_H

#include "base/verdict.h"
#include "gateway/upstream_request.h"
#include "policy/call_plan.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamom {

class event_loop;
class http_client;
class unary_call;
class replica_directory;
class router;

struct unary_request {
  upstream_request UpstreamRequest;
  std::string Service;
  bool Idempotent = false;
  unsigned MaxAttempts = 1;
  milliseconds TargetLatency{0};
  time_point ReceivedAt;
  time_point Deadline;
};

/// What the caller gets. Head and Body are a replica's when FromReplica is
/// set; otherwise Verdict says why there is no answer.
struct unary_result {
  bool FromReplica = false;
  upstream_head Head;
  std::string Body;
  std::string ReplicaId;
  verdict Verdict;
  /// Replicas to which the call was sent, in order, separated by commas.
  std::string TriedReplicas;
};

using unary_call_ptr = std::shared_ptr<unary_call>;

struct unary_client_options {
  event_loop &Loop;
  http_client &Client;
  replica_directory &Directory;
  /// Learns the speed of the replicas from the calls.
  router &Router;
  upstream_protocol Protocol;
  std::string FailureDomain;
  /// Answers above this size are not held.
  size_t MaxResponseBytes = size_t(16) << 20;
  /// Uniform random number in [0, 1).
  std::function<double()> Random;
};

class unary_client {
public:
  explicit unary_client(unary_client_options Options)
      : Options(std::move(Options)) {}

  /// Done is called once, from the loop, unless the run is destroyed before.
  [[nodiscard]] unary_call_ptr start(unary_request Request,
                                     std::function<void(unary_result)> Done);

private:
  friend class unary_call;
  unary_client_options Options;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_UNARY_CLIENT_H
