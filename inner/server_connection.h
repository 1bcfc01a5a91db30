/// \file
/// State that inner_server keeps for each connection.

#ifndef CARDAMOM_INNER_SERVER_CONNECTION_H
#define CARDAMOM_INNER_SERVER_CONNECTION_H

#include "inner/http2_connection.h"
#include "inner/queued_server_stream.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace cardamom {

/// A request whose body is not complete yet.
struct incoming_request {
  std::string Path;
  std::optional<std::string> Message;
};

struct server_connection {
  enum class phase { AwaitHello, Up, Refused };

  uint64_t Id = 0;
  std::unique_ptr<http2_connection> Http2;
  phase Phase = phase::AwaitHello;
  time_point AcceptedAt;
  /// Set in phase Up.
  std::shared_ptr<const peer_identity> Peer;
  uint64_t Epoch = 0;
  /// 0 until the client has opened it.
  int32_t ControlStreamId = 0;
  std::shared_ptr<outbound_queue> ControlQueue;
  std::unordered_map<int32_t, incoming_request> IncomingRequests;
  std::unordered_map<int32_t, std::shared_ptr<queued_server_stream>> Streams;
  bool WatchesWritable = false;
  bool NeedsFlush = false;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_SERVER_CONNECTION_H
