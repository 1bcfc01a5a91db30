#include "entry/response_event_queue.h"

#include "inner/gen/messages.pb.h"

namespace cardamom {

std::optional<response_event> response_event_queue::next(time_point Until) {
  std::unique_lock Lock(Mutex);
  if (!Changed.wait_until(Lock, Until, [&] { return !Events.empty(); }))
    return std::nullopt;
  response_event Event = std::move(Events.front());
  Events.pop_front();
  if (StreamsToCaller && (Event.Kind == response_event_kind::Head ||
                          Event.Kind == response_event_kind::Data))
    SentToCaller = true;
  return Event;
}

void response_event_queue::push(response_event Event) {
  {
    std::lock_guard Lock(Mutex);
    Events.push_back(std::move(Event));
  }
  Changed.notify_one();
}

bool response_event_queue::restart() {
  {
    std::lock_guard Lock(Mutex);
    if (SentToCaller)
      return false;
    Events.clear();
    Events.push_back({.Kind = response_event_kind::Restart});
  }
  Changed.notify_one();
  return true;
}

dispatch_sink
makeDispatchSink(const std::shared_ptr<response_event_queue> &Queue) {
  dispatch_sink Sink;
  Sink.OnHead = [Queue](const wire::response_head &Head) {
    response_event Event{.Kind = response_event_kind::Head,
                         .Status = Head.status()};
    for (const wire::header_field &Field : Head.headers())
      Event.Headers.emplace_back(Field.name(), Field.value());
    Queue->push(std::move(Event));
  };
  Sink.OnData = [Queue](std::string_view Bytes) {
    Queue->push(
        {.Kind = response_event_kind::Data, .Bytes = std::string(Bytes)});
  };
  Sink.OnSpan = [Queue](const token_span &Span) {
    Queue->push({.Kind = response_event_kind::Span, .Span = Span});
  };
  Sink.OnRestart = [Queue] { return Queue->restart(); };
  Sink.OnEnd = [Queue](const dispatch_result &Result) {
    Queue->push({.Kind = response_event_kind::End, .Result = Result});
  };
  return Sink;
}

} // namespace cardamom
