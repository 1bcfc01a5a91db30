/// \file
/// Relays one response from the dispatcher to the caller.

#ifndef CARDAMOM_ENTRY_RESPONSE_RELAY_H
#define CARDAMOM_ENTRY_RESPONSE_RELAY_H

#include "entry/caller_request_handler.h"
#include "entry/dispatcher.h"
#include "entry/http_reply.h"
#include "entry/request_parsing.h"
#include "entry/response_event_queue.h"

#include <algorithm>
#include <functional>
#include <httplib.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace cardamom {

/// How often a waiting HTTP thread checks whether the caller has disconnected.
inline constexpr milliseconds CallerCheckInterval{500};

inline nlohmann::json completionJson(const std::string &Id,
                                     const std::string &Text) {
  return {{"id", Id},
          {"choices", nlohmann::json::array({{{"text", Text}, {"index", 0}}})}};
}

inline std::string dumpJson(const nlohmann::json &Object) {
  return Object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

inline std::string sseEvent(const nlohmann::json &Object) {
  return "data: " + dumpJson(Object) + "\n\n";
}

/// Response to one request, read from the dispatcher by the HTTP thread.
/// Abandons the request when destroyed before the end of the response.
struct caller_request_handler::response_relay {
  class dispatcher &Dispatcher;
  std::shared_ptr<response_event_queue> Queue;
  std::string RequestId;
  time_point GiveUpAt;
  dispatch_id Id = 0;
  bool Ended = false;
  /// First event. It determined the HTTP status and is returned again by the
  /// next call of next().
  std::optional<response_event> FirstEvent;
  uint64_t WeightVersion = 0;
  /// Text that is held back until its weight version is known or its last UTF-8
  /// character is complete.
  std::string PendingText;

  response_relay(class dispatcher &Dispatcher, bool StreamsToCaller,
                 std::string RequestId, time_point GiveUpAt)
      : Dispatcher(Dispatcher),
        Queue(std::make_shared<response_event_queue>(StreamsToCaller)),
        RequestId(std::move(RequestId)), GiveUpAt(GiveUpAt) {}
  response_relay(const response_relay &) = delete;
  response_relay &operator=(const response_relay &) = delete;
  ~response_relay() {
    if (!Ended)
      Dispatcher.abandon(Id);
  }

  /// Waits for the next event. Returns callerGone() after GiveUpAt or when
  /// IsConnected returns false.
  response_event next(const std::function<bool()> &IsConnected) {
    if (FirstEvent)
      return *std::exchange(FirstEvent, std::nullopt);
    while (true) {
      const time_point Until =
          std::min(GiveUpAt, steady_clock::now() + CallerCheckInterval);
      if (auto Event = Queue->next(Until)) {
        if (Event->Kind == response_event_kind::Data)
          Dispatcher.consume(Id, Event->Bytes.size());
        Ended = Event->Kind == response_event_kind::End;
        return std::move(*Event);
      }
      if (steady_clock::now() >= GiveUpAt || !IsConnected())
        return callerGone();
    }
  }

  /// End event for a request that the HTTP thread stops waiting for.
  static response_event callerGone() {
    dispatch_result Result;
    Result.Verdict = {.Certainty = run_certainty::MayHaveRun,
                      .Reason = "caller_gone_or_timeout",
                      .Message =
                          "the caller disconnected or the request timed out"};
    return {.Kind = response_event_kind::End, .Result = std::move(Result)};
  }

  /// Removes the complete UTF-8 characters from PendingText and returns them as
  /// a server-sent event. Returns an empty string while the weight version of
  /// the first token is unknown. With Flush, removes all of PendingText.
  std::string takeSseEvent(bool Flush) {
    const size_t Length =
        Flush ? PendingText.size() : completeUtf8Length(PendingText);
    if (Length == 0 || (WeightVersion == 0 && !Flush))
      return {};
    nlohmann::json Event =
        completionJson(RequestId, PendingText.substr(0, Length));
    Event["weight_version"] = WeightVersion;
    PendingText.erase(0, Length);
    return sseEvent(Event);
  }

  void acknowledge(const dispatch_result &Result) {
    Dispatcher.acknowledge(Result.Address, Result.RequestId);
  }
};

inline bool completed(const response_event &Event) {
  return Event.Result.Kind == outcome_kind::Completed;
}

inline bool alwaysConnected() { return true; }

inline bool writeText(httplib::DataSink &Sink, const std::string &Text) {
  // An empty chunk would end a chunked body.
  return Text.empty() || Sink.write(Text.data(), Text.size());
}

/// Deadline from the X-Request-Timeout-Ms header, or Default from now without
/// one.
inline time_point deadlineOf(const httplib::Request &Request,
                             milliseconds Default) {
  if (!Request.has_header("X-Request-Timeout-Ms"))
    return steady_clock::now() + Default;
  return steady_clock::now() +
         parseTimeout(Request.get_header_value("X-Request-Timeout-Ms"));
}

} // namespace cardamom

#endif // CARDAMOM_ENTRY_RESPONSE_RELAY_H
