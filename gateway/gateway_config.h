/// \file
/// Routes, services and limits that are in force in a gateway.

#ifndef CARDAMOM_GATEWAY_GATEWAY_CONFIG_H
#define CARDAMOM_GATEWAY_GATEWAY_CONFIG_H

#include "base/time.h"
#include "http/http_server.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

enum class route_kind {
  /// May be executed more than once.
  Idempotent,
  NonIdempotent,
  /// A response of events; may be resumed only where the route says so.
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
  /// Longest time that a request may be kept waiting.
  milliseconds Timeout{0};
  /// Time within which an answer is worth most.
  milliseconds TargetLatency{0};
  /// Replicas to which one request may be sent at most.
  unsigned MaxAttempts = 1;
  /// 0 is the most urgent.
  unsigned Priority = 0;
  bool Resumable = false;
  /// Rollout only: time from submission to the end of the job.
  milliseconds JobTimeout{0};
  /// Rollout only: time after which an item may be given up.
  milliseconds ItemTtl{0};
  /// Rollout only: a sample must come from one version of the weights.
  bool SingleVersion = false;
};

struct service {
  std::string Name;
  /// Connections that one replica accepts from all callers.
  unsigned MaxConnections = 0;
  /// Whether the replicas are model engines.
  bool IsEngine = false;
  unsigned EngineSlots = 0;
  /// Output tokens that one event of a stream stands for.
  double TokensPerEvent = 1;
  uint64_t KvCapacityTokens = 0;
  std::vector<std::string> Models;
};

struct gateway_config {
  uint64_t Version = 0;
  std::vector<route> Routes;
  std::map<std::string, service, std::less<>> Services;
  http_server_limits Limits;
};

} // namespace cardamom

#endif // CARDAMOM_GATEWAY_GATEWAY_CONFIG_H
