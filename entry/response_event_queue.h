/// \file
/// Joins the dispatcher to one HTTP thread that waits for the answer.
///
/// Use:
///   relay_buffer Buffer;                   // kept alive by a shared_ptr
///   Id = Dispatcher.start(Call, sinkOf(Buffer));
///   while (auto Event = Buffer->next(Until)) ...
///
/// The window of the stream bounds the data kept here, because the HTTP thread
/// calls dispatcher::consume() only for what it has taken out.

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
  /// Everything before is void; another attempt follows.
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
  /// With Expose, an event handed out counts as sent to the caller, and no
  /// other attempt follows it.
  explicit response_event_queue(bool Expose) : StreamsToCaller(Expose) {}

  /// Next event, or nothing when none arrives before Until. Nothing follows
  /// End.
  std::optional<response_event> next(time_point Until);
  void push(response_event Event);
  /// Voids what is buffered unless part of it was handed out with Expose.
  bool restart();

private:
  const bool StreamsToCaller;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<response_event> Events;
  bool SentToCaller = false;
};

dispatch_sink
makeDispatchSink(const std::shared_ptr<response_event_queue> &Buffer);

} // namespace cardamom

#endif // CARDAMOM_ENTRY_RESPONSE_EVENT_QUEUE_H
