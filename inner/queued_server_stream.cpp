#include "inner/queued_server_stream.h"

namespace cardamom {

queued_server_stream::queued_server_stream(queued_server_stream_options Options)
    : Options(std::move(Options)),
      Queue(std::make_shared<outbound_queue>(MaxPendingBytes)) {}

void queued_server_stream::notifyChange() {
  if (!ChangeNotified.exchange(true))
    Options.OnChange();
}

bool queued_server_stream::send(std::string_view Message) {
  const auto Result = Queue->push(Message);
  if (Result == outbound_queue::push_result::Full)
    Overflowed = true;
  if (Result != outbound_queue::push_result::Closed)
    notifyChange();
  return Result == outbound_queue::push_result::Queued;
}

void queued_server_stream::finish() {
  Queue->finish();
  notifyChange();
}

size_t queued_server_stream::pendingBytes() const {
  return Queue->pendingBytes();
}

bool queued_server_stream::closed() const { return Queue->closed(); }

void queued_server_stream::onWritable(std::function<void()> Hook) {
  std::lock_guard Lock(Mutex);
  WritableHook = std::move(Hook);
}

void queued_server_stream::onClose(std::function<void()> Hook) {
  {
    std::lock_guard Lock(Mutex);
    if (!Closed) {
      CloseHook = std::move(Hook);
      return;
    }
  }
  Hook();
}

const peer_identity &queued_server_stream::peer() const {
  return *Options.Peer;
}

uint64_t queued_server_stream::epoch() const { return Options.Epoch; }

void queued_server_stream::markWritable() {
  std::function<void()> Hook;
  {
    std::lock_guard Lock(Mutex);
    Hook = WritableHook;
  }
  if (Hook)
    Hook();
}

void queued_server_stream::markClosed() {
  Queue->close();
  std::function<void()> Hook;
  {
    std::lock_guard Lock(Mutex);
    if (Closed)
      return;
    Closed = true;
    Hook = std::move(CloseHook);
    // The hooks often own the stream itself, which would be a reference cycle.
    WritableHook = nullptr;
  }
  if (Hook)
    Hook();
}

} // namespace cardamom
