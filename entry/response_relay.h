/// \file
/// One answer on its way from the dispatcher to the caller.

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

/// While it waits, the HTTP thread looks this often whether the caller is gone.
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

/// One answer on its way to the caller.
struct caller_request_handler::response_relay {
  class dispatcher &Dispatcher;
  std::shared_ptr<response_event_queue> Buffer;
  std::string RequestId;
  time_point GiveUpAt;
  dispatch_id Id = 0;
  bool Ended = false;
  /// First event, which decided on the status.
  std::optional<response_event> FirstEvent;
  uint64_t WeightVersion = 0;
  /// Text that waits for its weight version or for the rest of a character.
  std::string PendingText;

  response_relay(class dispatcher &Dispatcher, bool Expose,
                 std::string RequestId, time_point GiveUpAt)
      : Dispatcher(Dispatcher),
        Buffer(std::make_shared<response_event_queue>(Expose)),
        RequestId(std::move(RequestId)), GiveUpAt(GiveUpAt) {}
  response_relay(const response_relay &) = delete;
  response_relay &operator=(const response_relay &) = delete;
  ~response_relay() {
    if (!Ended)
      Dispatcher.abandon(Id);
  }

  /// Waits for the next event; Alive tells whether the caller still listens.
  response_event next(const std::function<bool()> &Alive) {
    if (FirstEvent)
      return *std::exchange(FirstEvent, std::nullopt);
    while (true) {
      const time_point Until =
          std::min(GiveUpAt, steady_clock::now() + CallerCheckInterval);
      if (auto Event = Buffer->next(Until)) {
        if (Event->Kind == response_event_kind::Data)
          Dispatcher.consume(Id, Event->Bytes.size());
        Ended = Event->Kind == response_event_kind::End;
        return std::move(*Event);
      }
      if (steady_clock::now() >= GiveUpAt || !Alive())
        return callerGone();
    }
  }

  /// Stands for the end of a request that the HTTP thread no longer follows.
  static response_event callerGone() {
    dispatch_result Result;
    Result.Verdict = {.Certainty = run_certainty::MayHaveRun,
                      .Reason = "caller_gone_or_timeout",
                      .Message = "the answer was not awaited any longer"};
    return {.Kind = response_event_kind::End, .Result = std::move(Result)};
  }

  /// Server-sent event with the whole characters of Text; empty while the
  /// weight version of the first token has not arrived. Last flushes the rest.
  std::string takeSseEvent(bool Last) {
    const size_t Whole =
        Last ? PendingText.size() : completeUtf8Length(PendingText);
    if (Whole == 0 || (WeightVersion == 0 && !Last))
      return {};
    nlohmann::json Line =
        completionJson(RequestId, PendingText.substr(0, Whole));
    Line["weight_version"] = WeightVersion;
    PendingText.erase(0, Whole);
    return sseEvent(Line);
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

/// From X-Request-Timeout-Ms, or Default from now.
inline time_point deadlineOf(const httplib::Request &Request,
                             milliseconds Default) {
  if (!Request.has_header("X-Request-Timeout-Ms"))
    return steady_clock::now() + Default;
  return steady_clock::now() +
         parseTimeout(Request.get_header_value("X-Request-Timeout-Ms"));
}

} // namespace cardamom

#endif // CARDAMOM_ENTRY_RESPONSE_RELAY_H
