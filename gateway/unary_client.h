/// \file
/// Sends unary calls, whose response is buffered completely: chooses a replica,
/// validates the response, and retries where the call allows it.
///
/// Use:
///   unary_client Client({...});
///   unary_call_ptr Call =
///       Client.start({.UpstreamRequest = ..., .Service = "s", ...},
///                    [](unary_result Result) { ... });
///   Call.reset(); // cancels the call, also at the replicas
///
/// Nothing is delivered before the response is complete, so that another
/// replica's response can replace one that is cut short.

#ifndef CARDAMOM_GATEWAY_UNARY_CLIENT_H
#define CARDAMOM_GATEWAY_UNARY_CLIENT_H

#include "base/verdict.h"
#include "gateway/upstream_request.h"
#include "policy/buffer_budget.h"
#include "policy/call_plan.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamom {

class dispatch_gate;
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

/// Result of a call. Head and Body come from a replica when FromReplica is set;
/// otherwise Verdict says why there is no response.
struct unary_result {
  bool FromReplica = false;
  upstream_head Head;
  std::string Body;
  std::string ReplicaId;
  verdict Verdict;
  /// Ids of the replicas to which the call was sent, in order, comma-separated.
  std::string TriedReplicas;
  /// Number of replicas that answered that processing failed (status 500).
  unsigned FailedAttempts = 0;
};

using unary_call_ptr = std::shared_ptr<unary_call>;

struct unary_client_options {
  event_loop &Loop;
  http_client &Client;
  replica_directory &Directory;
  dispatch_gate &Gate;
  /// Chooses the replica; learns the replicas' speed from the calls.
  router &Router;
  upstream_protocol Protocol;
  std::string FailureDomain;
  /// Bounds the responses that are being received; a response that it does not
  /// admit fails the attempt. Shared with other clients.
  std::shared_ptr<buffer_budget> Buffers =
      std::make_shared<buffer_budget>(buffer_budget_options{});
  /// Called at most once for a call, when it ends, if it began to run at a
  /// replica or may have: with its tenant, and the time at which it was first
  /// sent. Null = not called.
  std::function<void(std::string_view Tenant, time_point StartedAt)> OnRan;
  /// Uniform random number in [0, 1); adds jitter to Retry-After.
  std::function<double()> Random;
};

class unary_client {
public:
  explicit unary_client(unary_client_options Options)
      : Options(std::move(Options)) {}

  /// Done is called once, from the event loop, unless the call is destroyed
  /// first.
  [[nodiscard]] unary_call_ptr start(unary_request Request,
                                     std::function<void(unary_result)> Done);

private:
  friend class unary_call;
  unary_client_options Options;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_UNARY_CLIENT_H
