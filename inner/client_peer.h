/// \file
/// State that inner_client keeps for each peer and its current connection.

#ifndef CARDAMOM_INNER_CLIENT_PEER_H
#define CARDAMOM_INNER_CLIENT_PEER_H

#include "inner/http2_connection.h"
#include "inner/inner_client.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamom {

struct client_peer;

/// One request of the caller.
struct client_stream {
  inner_client::stream_id Id = 0;
  client_peer *Peer = nullptr;
  /// HTTP/2 stream id; 0 while the request waits for hello_ok.
  int32_t Http2StreamId = 0;
  std::string Path;
  std::shared_ptr<outbound_queue> Body;
  inner_stream_hooks Hooks;
  bool ManualFlowControl = false;
  /// The server has ended its side.
  bool RemoteEnded = false;
};

struct client_peer {
  enum class phase { Backoff, Connecting, AwaitHello, Up };

  std::string Address;
  socket_address Target;
  phase Phase = phase::Backoff;
  /// Identifies the current connection in the I/O loop; 0 in phase Backoff.
  uint64_t ConnectionId = 0;
  /// In phase Connecting, the socket before HTTP/2 is set up.
  unique_fd Socket;
  std::unique_ptr<http2_connection> Http2;
  /// When phase Backoff ends, or phase Connecting or AwaitHello times out.
  time_point Deadline;
  uint64_t Epoch = 0;
  peer_identity Identity;
  unsigned FailedAttempts = 0;
  /// Number of consecutive failed or short-lived connections.
  unsigned BackoffStep = 0;
  time_point UpSince;
  int32_t ControlStreamId = 0;
  std::shared_ptr<outbound_queue> ControlQueue;
  /// Requests that wait for hello_ok, in the order of the calls.
  std::vector<std::shared_ptr<client_stream>> QueuedRequests;
  std::unordered_map<int32_t, std::shared_ptr<client_stream>> Streams;
  bool WatchesWritable = false;
  bool NeedsFlush = false;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_CLIENT_PEER_H
