/// \file
/// What a gateway needs of the platform that it runs on: translations and
/// calls, with no decisions in them.

#ifndef CARDAMOM_GATEWAY_PROTOCOLS_H
#define CARDAMOM_GATEWAY_PROTOCOLS_H

#include "gateway/gateway_config.h"
#include "gateway/replica_directory.h"
#include "gateway/upstream_request.h"
#include "jobs/job.h"
#include "store/async_store_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cardamom {

class event_loop;
class http_client;

/// A request of a caller.
struct inbound_request {
  upstream_request UpstreamRequest;
  /// How long the caller waits; zero = not said.
  milliseconds CallerTimeout{0};
};

/// Reading part of a job's results.
struct result_page {
  uint64_t Total = 0;
  /// Position after the last result of the page.
  uint64_t Next = 0;
  std::span<const item_result> Results;
};

/// Calls on batch jobs other than their submission.
enum class job_call_kind { ReadResults, ReadItemBody, EndJob };

struct job_call {
  job_call_kind Kind = job_call_kind::ReadResults;
  std::string JobId;
  std::string Host;
  /// Read: first position wanted.
  uint64_t After = 0;
  /// Read: how long the answer may wait for a result.
  milliseconds Wait{0};
  /// ItemBody: which item.
  std::string ItemId;
};

/// A change of weights that a replica is told to make.
struct load_weights_order {
  std::string Model;
  uint64_t Version = 0;
  /// Runs end before the change instead of going on with the new weights.
  bool DrainRunsFirst = false;
  std::string LeaseHolder;
  uint64_t FencingToken = 0;
  /// Orders that the replica must have accepted so far.
  uint64_t ExpectedOrders = 0;
  std::string ReplicaId;
};

enum class order_outcome {
  Accepted,
  /// The replica has that version already.
  AlreadyLoaded,
  /// Another order is in progress, or the count of orders differs.
  Conflict,
  /// A higher fencing token has been used.
  Fenced,
  WrongReplica,
  Invalid,
  Unknown,
};

/// What a replica says of itself.
struct replica_report {
  uint64_t StartedAtMs = 0;
  bool OrderInProgress = false;
  uint64_t OrdersAccepted = 0;
  unsigned Running = 0;
  unsigned Waiting = 0;
  std::map<std::string, uint64_t, std::less<>> Versions;
};

/// A version of a model that its trainer has named.
struct model_version {
  std::string Model;
  uint64_t Version = 0;
};

/// Names of the objects that the platform and its operators keep in the store.
struct platform_object_names {
  std::string ConfigKind;
  std::string ConfigName;
  std::string ReplicaKind;
  std::string WeightKind;
  std::string RetirementKind;
};

struct gateway_protocols {
  upstream_protocol Upstream;
  platform_object_names ObjectNames;
  /// Reads a caller's request; throws std::invalid_argument for a bad header.
  std::function<inbound_request(const http_request &)> DecodeCallerRequest;
  /// Headers of an answer of the gateway's own to the request.
  std::function<header_list(std::string_view RequestId)> LocalReplyHeaders;

  /// Null: not a call on a batch job.
  std::function<std::optional<job_call>(const http_request &)> DecodeJobCall;
  /// Throws std::invalid_argument that names the field.
  std::function<job(std::string_view Document)> DecodeJob;
  std::function<std::string(const result_page &)> EncodeResults;
  /// Name of the field of an event that carries the version of the weights.
  std::string EventVersionField;

  /// The next four throw std::invalid_argument that names the field.
  std::function<gateway_config(const stored_object &)> DecodeConfig;
  std::function<replica(const stored_object &)> DecodeReplica;
  std::function<model_version(const stored_object &)> DecodeModelVersion;
  std::function<replica_report(const http_response &)> DecodeReplicaReport;

  std::function<http_request(std::string_view ReplicaId)> EncodeReportRequest;
  std::function<http_request(const load_weights_order &)> EncodeOrder;
  std::function<order_outcome(const http_response &)> DecodeOrder;
  /// Status of a storage VM that is to be emptied.
  std::function<nlohmann::json(bool Done)> EncodeRetirementStatus;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_PROTOCOLS_H
