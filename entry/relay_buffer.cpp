#include "entry/relay_buffer.h"

#include "inner/gen/messages.pb.h"

namespace cardamom {

std::optional<relay_event> relay_buffer::next(time_point Until) {
  std::unique_lock Lock(Mutex);
  if (!Changed.wait_until(Lock, Until, [&] { return !Events.empty(); }))
    return std::nullopt;
  relay_event Event = std::move(Events.front());
  Events.pop_front();
  if (Expose &&
      (Event.Kind == relay_kind::Head || Event.Kind == relay_kind::Data))
    Exposed = true;
  return Event;
}

void relay_buffer::push(relay_event Event) {
  {
    std::lock_guard Lock(Mutex);
    Events.push_back(std::move(Event));
  }
  Changed.notify_one();
}

bool relay_buffer::restart() {
  {
    std::lock_guard Lock(Mutex);
    if (Exposed)
      return false;
    Events.clear();
    Events.push_back({.Kind = relay_kind::Restart});
  }
  Changed.notify_one();
  return true;
}

dispatch_sink sinkOf(const std::shared_ptr<relay_buffer> &Buffer) {
  dispatch_sink Sink;
  Sink.OnHead = [Buffer](const wire::response_head &Head) {
    relay_event Event{.Kind = relay_kind::Head, .Status = Head.status()};
    for (const wire::header_field &Field : Head.headers())
      Event.Headers.emplace_back(Field.name(), Field.value());
    Buffer->push(std::move(Event));
  };
  Sink.OnData = [Buffer](std::string_view Bytes) {
    Buffer->push({.Kind = relay_kind::Data, .Bytes = std::string(Bytes)});
  };
  Sink.OnSpan = [Buffer](const token_span &Span) {
    Buffer->push({.Kind = relay_kind::Span, .Span = Span});
  };
  Sink.OnRestart = [Buffer] { return Buffer->restart(); };
  Sink.OnEnd = [Buffer](const dispatch_result &Result) {
    Buffer->push({.Kind = relay_kind::End, .Result = Result});
  };
  return Sink;
}

} // namespace cardamom
