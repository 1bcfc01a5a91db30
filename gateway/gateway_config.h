/// \file
/// Configuration of a gateway: routes, services and limits.

#ifndef CARDAMOM_GATEWAY_GATEWAY_CONFIG_H
#define CARDAMOM_GATEWAY_GATEWAY_CONFIG_H

#include "base/sha256.h"
#include "base/time.h"
#include "http/http_server.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

enum class route_kind {
  /// May be executed more than once.
  Idempotent,
  NonIdempotent,
  /// The response is an event stream; it is resumed only if the route allows
  /// it.
  Stream,
  /// Batch jobs of a trainer.
  Rollout,
};

struct weighted_service {
  std::string Service;
  double Weight = 1;
};

struct route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  route_kind Kind = route_kind::NonIdempotent;
  std::vector<weighted_service> Services;
  /// Maximum time until the response or, for a stream, until its first event;
  /// zero = none.
  milliseconds Timeout{0};
  /// Latency target. If an idempotent request takes longer than a fraction of
  /// it, the request is also sent to a second replica.
  milliseconds TargetLatency{0};
  /// Maximum number of replicas to which one request is sent.
  unsigned MaxAttempts = 1;
  /// 0 is the highest priority.
  unsigned Priority = 0;
  /// Callers need no API key.
  bool Public = false;
  bool Resumable = false;
  /// Rollout only: maximum time from submission to the end of the job.
  milliseconds JobTimeout{0};
  /// Rollout only: age at which an unfinished item may be abandoned.
  milliseconds ItemTtl{0};
  /// Rollout only: all tokens of a sample must come from one weight version.
  bool SingleVersion = false;
};

struct service {
  std::string Name;
  /// Maximum number of connections that one replica accepts in total.
  unsigned MaxConnections = 0;
  /// Whether the replicas are model inference engines.
  bool IsEngine = false;
  unsigned EngineSlots = 0;
  /// Output tokens per event of a stream.
  double TokensPerEvent = 1;
  uint64_t KvCapacityTokens = 0;
  std::vector<std::string> Models;
};

struct tenant {
  std::string Name;
  /// Digests of the tenant's API keys.
  std::vector<sha256_digest> KeyDigests;
  /// Takes precedence over the priority of the route; 0 is the highest.
  std::optional<unsigned> Priority;
};

struct gateway_config {
  uint64_t Version = 0;
  std::vector<route> Routes;
  std::map<std::string, service, std::less<>> Services;
  http_server_limits Limits;
  /// Absent = callers need no API key.
  std::optional<std::vector<tenant>> Tenants;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_GATEWAY_CONFIG_H
