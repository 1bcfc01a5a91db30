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

#ifndef CARDAMOM_ENTRY_RELAY_BUFFER_H
#define CARDAMOM_ENTRY_RELAY_BUFFER_H

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

enum class relay_kind {
  Head,
  Data,
  Span,
  /// Everything before is void; another attempt follows.
  Restart,
  End,
};

struct relay_event {
  relay_kind Kind = relay_kind::End;
  std::string Bytes{};
  token_span Span{};
  unsigned Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers{};
  dispatch_result Result{};
};

class relay_buffer {
public:
  /// With Expose, an event handed out counts as sent to the caller, and no
  /// other attempt follows it.
  explicit relay_buffer(bool Expose) : Expose(Expose) {}

  /// Next event, or nothing when none arrives before Until. Nothing follows
  /// End.
  std::optional<relay_event> next(time_point Until);
  void push(relay_event Event);
  /// Voids what is buffered unless part of it was handed out with Expose.
  bool restart();

private:
  const bool Expose;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<relay_event> Events;
  bool Exposed = false;
};

dispatch_sink sinkOf(const std::shared_ptr<relay_buffer> &Buffer);

} // namespace cardamom

#endif // CARDAMOM_ENTRY_RELAY_BUFFER_H
