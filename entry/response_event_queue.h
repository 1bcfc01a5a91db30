/// \file
/// Queue that passes response events from the dispatcher to the HTTP thread of
/// a request.
///
/// Use:
///   auto Queue = std::make_shared<response_event_queue>(StreamsToCaller);
///   Id = Dispatcher.start(Call, makeDispatchSink(Queue));
///   while (auto Event = Queue->next(Until)) ...
///
/// The stream's flow-control window limits the queued data, because the HTTP
/// thread calls dispatcher::consume() only for data it has removed from the
/// queue.

#ifndef CARDAMOM_ENTRY_RESPONSE_EVENT_QUEUE_H
#define CARDAMOM_ENTRY_RESPONSE_EVENT_QUEUE_H

#include "base/time.h"
#include "entry/dispatch.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cardamom {

enum class response_event_kind {
  Head,
  Data,
  Span,
  /// All earlier events are invalid; another attempt follows.
  Restart,
  End,
};

struct response_event {
  response_event_kind Kind = response_event_kind::End;
  std::string Bytes{};
  token_span Span{};
  unsigned Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers{};
  dispatch_result Result{};
};

class response_event_queue {
public:
  /// If StreamsResponse is set, a response head or data returned by next()
  /// counts as sent to the caller, and the request can no longer be retried.
  explicit response_event_queue(bool StreamsResponse)
      : StreamsToCaller(StreamsResponse) {}

  /// Returns the next event, or nothing if none arrives before Until. End is
  /// the last event.
  std::optional<response_event> next(time_point Until);
  void push(response_event Event);
  /// Discards the queued events and queues Restart. Returns false without doing
  /// so if part of the response was already sent to the caller.
  bool restart();

private:
  const bool StreamsToCaller;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<response_event> Events;
  bool SentToCaller = false;
};

dispatch_sink
makeDispatchSink(const std::shared_ptr<response_event_queue> &Queue);

} // namespace cardamom

#endif // CARDAMOM_ENTRY_RESPONSE_EVENT_QUEUE_H
