/// \file
/// Sends the responses of runs to the peers that are attached to them.
///
/// Use:
///   response_streams Streams(Table);
///   Streams.attach(Stream, Id, Offset, Now); // sends run_events to the peer
///   Streams.onRunChanged(Id);                // sends what is new
///
/// At most 256 KiB are queued on a stream beyond what its socket has accepted;
/// the rest stays in the run table. Thread-safe; never blocks on a peer.

#ifndef CARDAMOM_AGENT_RESPONSE_STREAMS_H
#define CARDAMOM_AGENT_RESPONSE_STREAMS_H

#include "agent/run_table.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace cardamom {

class server_stream;

class response_streams {
public:
  explicit response_streams(run_table &Table);
  ~response_streams();

  /// Makes the stream the reader of the run, starting at Offset. Each new
  /// reader receives the response head again. Sends RUN_UNKNOWN or ANSWER_GONE
  /// if there is no record.
  void attach(std::shared_ptr<server_stream> Stream, std::string_view RunId,
              uint64_t Offset, time_point Now);
  void onRunChanged(std::string_view RunId);

private:
  struct reader;

  void sendPending(reader &Reader);
  bool sendChunk(reader &Reader);
  void detachReader(const std::shared_ptr<reader> &Reader);

  run_table &Table;
  std::mutex Mutex;
  std::map<std::string, std::shared_ptr<reader>, std::less<>> Readers;
};

/// Sends an end as the only event of the stream and finishes the stream.
void sendEnd(server_stream &Stream, const wire::run_end &End);
/// Builds a REFUSED end and counts it in requests_refused_total.
wire::run_end makeRefusal(std::string_view Reason, std::string_view Message,
                          milliseconds RetryAfter);

} // namespace cardamom

#endif // CARDAMOM_AGENT_RESPONSE_STREAMS_H
