#include "agent/response_streams.h"

#include "base/metrics.h"
#include "inner/server_stream.h"

#include <utility>

namespace cardamom {

static constexpr size_t ChunkBytes = size_t(64) << 10;
static constexpr size_t MaxPendingBytes = size_t(256) << 10;

struct response_streams::reader {
  std::string RunId;
  uint64_t ReaderId = 0;
  std::shared_ptr<server_stream> Stream;
  /// Held while data is sent to the reader; guards the members below.
  std::mutex Mutex;
  run_cursor Cursor;
  bool Done = false;
};

response_streams::response_streams(run_table &Table) : Table(Table) {}
response_streams::~response_streams() = default;

void sendEnd(server_stream &Stream, const wire::run_end &End) {
  wire::run_event Event;
  *Event.mutable_end() = End;
  Stream.send(Event.SerializeAsString());
  Stream.finish();
}

wire::run_end makeRefusal(std::string_view Reason, std::string_view Message,
                          milliseconds RetryAfter) {
  metrics::get().counter("requests_refused_total", "reason", Reason).add();
  wire::run_end End;
  End.set_code(wire::REFUSED);
  End.set_reason(std::string(Reason));
  End.set_message(std::string(Message));
  End.set_retry_after_ms(uint32_t(RetryAfter.count()));
  return End;
}

void response_streams::attach(std::shared_ptr<server_stream> Stream,
                              std::string_view Id, uint64_t Offset,
                              time_point Now) {
  const auto ReaderId = Table.attach(Id, Now);
  if (!ReaderId) {
    const bool ResponseGone = Table.query(Id) == wire::FINISHED_ANSWER_GONE;
    wire::run_end End;
    End.set_code(ResponseGone ? wire::ANSWER_GONE : wire::RUN_UNKNOWN);
    End.set_reason(ResponseGone ? "answer_gone" : "run_unknown");
    sendEnd(*Stream, End);
    return;
  }
  auto Reader = std::make_shared<reader>();
  Reader->RunId = Id;
  Reader->ReaderId = *ReaderId;
  Reader->Stream = std::move(Stream);
  Reader->Cursor.Offset = Offset;
  std::shared_ptr<reader> PreviousReader;
  {
    std::lock_guard Lock(Mutex);
    PreviousReader = std::exchange(Readers[Reader->RunId], Reader);
  }
  if (PreviousReader)
    PreviousReader->Stream->finish();
  // The stream owns the callbacks and the reader owns the stream, so the
  // callbacks hold weak pointers to avoid a reference cycle.
  const std::weak_ptr<reader> WeakReader = Reader;
  Reader->Stream->onWritable([this, WeakReader] {
    if (const auto StrongReader = WeakReader.lock())
      sendPending(*StrongReader);
  });
  Reader->Stream->onClose([this, WeakReader] {
    if (const auto StrongReader = WeakReader.lock())
      detachReader(StrongReader);
  });
  sendPending(*Reader);
}

void response_streams::detachReader(const std::shared_ptr<reader> &Reader) {
  Table.detach(Reader->RunId, Reader->ReaderId, steady_clock::now());
  std::lock_guard Lock(Mutex);
  const auto It = Readers.find(Reader->RunId);
  if (It != Readers.end() && It->second == Reader)
    Readers.erase(It);
}

void response_streams::onRunChanged(std::string_view Id) {
  std::shared_ptr<reader> Reader;
  {
    std::lock_guard Lock(Mutex);
    const auto It = Readers.find(Id);
    if (It == Readers.end())
      return;
    Reader = It->second;
  }
  sendPending(*Reader);
}

bool response_streams::sendChunk(reader &Reader) {
  run_chunk Chunk =
      Table.read(Reader.RunId, Reader.ReaderId, Reader.Cursor, ChunkBytes);
  wire::run_event Event;
  const auto Send = [&] { Reader.Stream->send(Event.SerializeAsString()); };
  if (Chunk.Head) {
    *Event.mutable_head() = std::move(*Chunk.Head);
    Send();
  }
  // Spans are sent before the text, so that the entry knows the versions of the
  // text's tokens as soon as it arrives.
  for (wire::version_span &Span : Chunk.Spans) {
    *Event.mutable_span() = std::move(Span);
    Send();
  }
  if (!Chunk.Bytes.empty()) {
    Event.mutable_data()->set_offset(Chunk.Offset);
    Event.mutable_data()->set_bytes(std::move(Chunk.Bytes));
    Send();
  }
  if (Chunk.State == run_chunk::state::Ended) {
    *Event.mutable_end() = std::move(*Chunk.End);
    Send();
  }
  if (Chunk.State != run_chunk::state::Open) {
    Reader.Stream->finish();
    Reader.Done = true;
  }
  return Event.body_case() != wire::run_event::BODY_NOT_SET;
}

void response_streams::sendPending(reader &Reader) {
  std::lock_guard Lock(Reader.Mutex);
  while (!Reader.Done && Reader.Stream->pendingBytes() < MaxPendingBytes)
    if (!sendChunk(Reader))
      break;
}

} // namespace cardamom
