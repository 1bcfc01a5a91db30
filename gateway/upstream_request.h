/// \file
/// Request to an upstream and the head of its response, independent of the
/// header names of the upstream's protocol.

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
  /// End-to-end headers, forwarded unchanged.
  header_list Headers;
  std::string Body;
  /// Replica that the request is meant for; any other rejects it.
  std::string ReplicaId;
  /// Time that the upstream has left to respond; zero = unlimited.
  milliseconds Timeout{0};
  /// Id of the last event received; the response resumes after it.
  std::optional<uint64_t> ResumeAfterEvent;
  /// 0 is the highest priority, 9 the lowest.
  std::optional<unsigned> Priority;
  /// Weight version that the replica must have.
  std::optional<uint64_t> WeightVersion;
  /// Name of the caller's tenant; empty = none.
  std::string Tenant;
};

/// Load that a replica reports about itself.
struct load_report {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 0;
  /// How long work takes on the replica's VM at this moment, relative to usual;
  /// nullopt = not reported.
  std::optional<double> Slowdown;
};

struct upstream_head {
  unsigned Status = 0;
  header_list Headers;
  /// Id of the request that the response belongs to.
  std::string RequestId;
  /// Signature of the replica; empty when the response has none.
  std::string Signature;
  /// The replica states that it has not executed the request.
  bool NotRun = false;
  /// The replica at this address is not the one that the request is meant for.
  bool WrongReplica = false;
  /// The body has a content encoding, so it is not as the replica sent it.
  bool ContentEncoded = false;
  /// The replica is leaving and must get no new work.
  bool Leaving = false;
  std::optional<load_report> Load;
  /// The response has a load report that cannot be decoded.
  bool LoadUnreadable = false;
  std::optional<uint64_t> WeightVersion;
};

/// Encodes requests and decodes responses of the upstream's protocol.
struct upstream_protocol {
  std::function<http_request(const upstream_request &)> Encode;
  std::function<upstream_head(const http_response &)> Decode;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_UPSTREAM_REQUEST_H
