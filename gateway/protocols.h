/// \file
/// Interface between a gateway and the platform it runs on: messages, and
/// functions that encode and decode them. It contains no policy.

#ifndef CARDAMOM_GATEWAY_PROTOCOLS_H
#define CARDAMOM_GATEWAY_PROTOCOLS_H

#include "gateway/gateway_config.h"
#include "gateway/replica_directory.h"
#include "gateway/upstream_request.h"
#include "jobs/job.h"
#include "policy/usage_ledger.h"
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

/// Decoded request of a caller.
struct inbound_request {
  upstream_request UpstreamRequest;
  /// Timeout that the caller asked for; zero = none given.
  milliseconds CallerTimeout{0};
  /// Absent if the caller has sent none; empty, which no tenant's key is, if it
  /// has sent several different ones.
  std::optional<std::string> ApiKey;
};

/// One page of a job's results.
struct result_page {
  uint64_t Total = 0;
  /// Position after the last result of the page.
  uint64_t Next = 0;
  std::span<const item_result> Results;
};

/// Calls on an existing batch job.
enum class job_call_kind { ReadResults, ReadItemBody, EndJob };

struct job_call {
  job_call_kind Kind = job_call_kind::ReadResults;
  std::string JobId;
  std::string Host;
  /// ReadResults: position of the first result wanted.
  uint64_t After = 0;
  /// ReadResults: maximum time to wait for a result.
  milliseconds Wait{0};
  /// ReadItemBody: id of the item.
  std::string ItemId;
};

/// Order to a replica to load a version of a model's weights.
struct load_weights_order {
  std::string Model;
  uint64_t Version = 0;
  /// Let runs finish before the change instead of continuing them with the new
  /// weights.
  bool DrainRunsFirst = false;
  std::string LeaseHolder;
  uint64_t FencingToken = 0;
  /// Precondition: number of load_weights_order commands that the replica has
  /// accepted so far.
  uint64_t ExpectedOrders = 0;
  std::string ReplicaId;
};

enum class order_outcome {
  Accepted,
  /// The replica has that version already.
  AlreadyLoaded,
  /// Another order is in progress, or the number of orders that the replica
  /// has accepted differs from ExpectedOrders.
  Conflict,
  /// The replica has seen a higher fencing token.
  Fenced,
  WrongReplica,
  Invalid,
  Unknown,
};

/// Status report of a replica.
struct replica_report {
  uint64_t StartedAtMs = 0;
  bool OrderInProgress = false;
  uint64_t OrdersAccepted = 0;
  unsigned Running = 0;
  unsigned Waiting = 0;
  std::map<std::string, uint64_t, std::less<>> Versions;
};

/// Version of a model's weights, as published by its trainer.
struct model_version {
  std::string Model;
  uint64_t Version = 0;
};

/// Who carries out a duty of which one gateway at a time is in charge.
struct duty_holder {
  std::string Holder;
  /// Increases with each change of holder.
  uint64_t FencingToken = 0;
};

/// Answer of the control API to a call that is a duty.
enum class duty_outcome {
  Accepted,
  /// A call with a higher fencing token was seen.
  Fenced,
  /// Nothing was done, such as because of a rate limit.
  Refused,
  /// The call may have been carried out, or may be later.
  Unknown,
};

std::string_view toString(duty_outcome Outcome);

/// Kinds and names of the objects that the platform and its operators keep in
/// the store.
struct platform_object_names {
  std::string ConfigKind;
  std::string ConfigName;
  std::string ReplicaKind;
  /// Kind of the objects that hold model versions.
  std::string WeightKind;
  std::string RetirementKind;
};

struct gateway_protocols {
  upstream_protocol Upstream;
  platform_object_names ObjectNames;
  /// Throws std::invalid_argument for a malformed header.
  std::function<inbound_request(const http_request &)> DecodeCallerRequest;
  /// Removes API keys and statements about the caller's tenant.
  std::function<void(header_list &)> RemoveCallerIdentity;
  /// Headers of a response that the gateway generates itself.
  std::function<header_list(std::string_view RequestId)> LocalReplyHeaders;

  /// Returns nullopt when the request is not a call on a batch job.
  std::function<std::optional<job_call>(const http_request &)> DecodeJobCall;
  /// Throws std::invalid_argument that names the malformed field.
  std::function<job(std::string_view Document)> DecodeJob;
  /// Cheap check; false = DecodeJob would throw for the document.
  std::function<bool(std::string_view Document)> MayBeJob;
  std::function<std::string(const result_page &)> EncodeResults;
  /// Name of the event field that carries the weight version.
  std::string EventVersionField;

  /// The next four throw std::invalid_argument that names the malformed field.
  std::function<gateway_config(const stored_object &)> DecodeConfig;
  std::function<replica(const stored_object &)> DecodeReplica;
  std::function<model_version(const stored_object &)> DecodeModelVersion;
  std::function<replica_report(const http_response &)> DecodeReplicaReport;

  std::function<http_request(std::string_view ReplicaId)> EncodeReportRequest;
  std::function<http_request(const load_weights_order &)> EncodeOrder;
  std::function<order_outcome(const http_response &)> DecodeOrder;
  std::function<http_request(const usage_report &, const duty_holder &)>
      EncodeUsageReport;
  std::function<duty_outcome(const http_response &)> DecodeDutyReply;
  /// Status to write for a storage VM that is being retired.
  std::function<nlohmann::json(bool Done)> EncodeRetirementStatus;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_PROTOCOLS_H
