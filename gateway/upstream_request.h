/// \file
/// One call to an upstream and the head of its answer, without the names that
/// the upstream's protocol uses for them.

#ifndef CARDAMOM_GATEWAY_UPSTREAM_REQUEST_H
#define CARDAMOM_GATEWAY_UPSTREAM_REQUEST_H

#include "base/time.h"
#include "http/http_message.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace cardamom {

struct upstream_request {
  std::string RequestId;
  std::string Method;
  std::string Target;
  std::string Host;
  /// End-to-end headers that are passed on unchanged.
  header_list Headers;
  std::string Body;
  /// Replica that the call is meant for; any other refuses it.
  std::string ReplicaId;
  /// How long the upstream may work; zero = no bound.
  milliseconds Timeout{0};
  /// Number of the last event that is already there.
  std::optional<uint64_t> ResumeAfterEvent;
  /// 0 is the most urgent, 9 the least.
  std::optional<unsigned> Priority;
  /// Version of the weights that the replica must have.
  std::optional<uint64_t> WeightVersion;
};

/// Load of a replica as it reports it.
struct load_report {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 0;
};

struct upstream_head {
  unsigned Status = 0;
  header_list Headers;
  /// Id of the request that the answer belongs to.
  std::string RequestId;
  /// Signature of the replica; empty when the answer has none.
  std::string Signature;
  /// The replica states that it has not run the request.
  bool NotRun = false;
  /// Another replica has this address.
  bool WrongReplica = false;
  /// The body is not as the replica made it.
  bool ContentEncoded = false;
  std::optional<load_report> Load;
  std::optional<uint64_t> WeightVersion;
};

/// Translation to and from the upstream's protocol.
struct upstream_protocol {
  std::function<http_request(const upstream_request &)> Encode;
  std::function<upstream_head(const http_response &)> Decode;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_UPSTREAM_REQUEST_H
