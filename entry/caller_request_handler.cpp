#include "entry/caller_request_handler.h"

#include "base/metrics.h"
#include "entry/dispatcher.h"
#include "entry/http_reply.h"
#include "entry/http_response.h"
#include "entry/request_parsing.h"
#include "entry/response_event_queue.h"
#include "entry/response_relay.h"
#include "inner/gen/messages.pb.h"

#include <algorithm>
#include <array>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace cardamom {

using json = nlohmann::json;

static constexpr milliseconds CompletionTimeout{120000};
// The dispatcher ends each request at its deadline. The HTTP thread waits this
// much longer before it gives up on its own.
static constexpr milliseconds DeadlineMargin{5000};
// The router hashes this many leading bytes of a prompt for prefix affinity.
static constexpr size_t AffinityPrefixBytes = 256;
// Size limit of a response that is not streamed. Agents retain no larger
// responses.
static constexpr size_t MaxBufferedResponseBytes = 8U << 20;

std::shared_ptr<caller_request_handler::response_relay>
caller_request_handler::startRelay(dispatch_call Call, bool StreamsToCaller) {
  auto Relay = std::make_shared<response_relay>(Dispatcher, StreamsToCaller,
                                                Call.Request->request_id(),
                                                Call.Deadline + DeadlineMargin);
  Call.ManualFlowControl = true;
  Relay->Id = Dispatcher.start(std::move(Call), makeDispatchSink(Relay->Queue));
  return Relay;
}

static bool hasModel(const configuration &Configuration,
                     std::string_view Model) {
  return std::any_of(Configuration.Assets.begin(), Configuration.Assets.end(),
                     [&](const asset &Asset) {
                       return Asset.Kind == asset_kind::Model &&
                              Asset.Pool == Model;
                     });
}

void caller_request_handler::handleCompletion(
    const caller_request &Caller, const configuration &Configuration,
    const httplib::Request &Request, httplib::Response &Response) {
  const completion_request Parsed = parseCompletion(Caller.Body);
  if (!hasModel(Configuration, Parsed.Model))
    throw input_error(404, "unknown_model", "model",
                      "a model in the inventory");
  if (Request.has_header("Idempotency-Key"))
    parseIdempotencyKey(Request.get_header_value("Idempotency-Key"));
  dispatch_call Call;
  Call.Deadline = deadlineOf(Request, CompletionTimeout);
  Call.Pool = Parsed.Model;
  Call.Work = Parsed.MaxTokens;
  Call.PrefixHash =
      XXH3_64bits(Parsed.Prompt.data(),
                  std::min(AffinityPrefixBytes, Parsed.Prompt.size()));
  Call.Request = std::make_shared<wire::run_request>();
  Call.Request->set_request_id(Caller.RequestId);
  Call.Request->set_class_(wire::LIVE);
  Call.Request->set_idempotent(true);
  wire::model_call &Model = *Call.Request->mutable_model();
  Model.set_model(Parsed.Model);
  Model.set_prompt(Parsed.Prompt);
  Model.set_max_tokens(Parsed.MaxTokens);
  Call.Restartable = !Parsed.Stream;
  const auto Relay = startRelay(std::move(Call), Parsed.Stream);
  if (Parsed.Stream)
    streamCompletion(Relay, Response);
  else
    sendBufferedCompletion(*Relay, Response);
}

void caller_request_handler::sendBufferedCompletion(
    response_relay &Relay, httplib::Response &Response) {
  std::string Text;
  while (true) {
    const response_event Event = Relay.next(alwaysConnected);
    if (Event.Kind == response_event_kind::Restart)
      Text.clear();
    if (Event.Kind == response_event_kind::Data)
      Text += Event.Bytes;
    if (Text.size() > MaxBufferedResponseBytes) {
      sendReply(errorReply({.Certainty = run_certainty::Ran,
                            .Reason = "answer_too_large",
                            .Message = "the response exceeds 8 MiB"}),
                Response);
      return;
    }
    if (Event.Kind != response_event_kind::End)
      continue;
    if (!completed(Event)) {
      sendReply(errorReply(Event.Result.Verdict), Response);
      return;
    }
    json Body = completionJson(Relay.RequestId, Text);
    Body["spans"] = json::array();
    for (const token_span &Span : Event.Result.Spans)
      Body["spans"].push_back(
          {{"version", Span.Version}, {"tokens", Span.Tokens}});
    if (!Event.Result.Spans.empty())
      Body["weight_version"] = Event.Result.Spans.back().Version;
    Response.status = 200;
    Response.set_content(dumpJson(Body), "application/json");
    Relay.acknowledge(Event.Result);
    return;
  }
}

void caller_request_handler::streamCompletion(
    const std::shared_ptr<response_relay> &Relay, httplib::Response &Response) {
  // The HTTP status depends on whether text or the end of the run comes first.
  response_event Event = Relay->next(alwaysConnected);
  while (Event.Kind != response_event_kind::Data &&
         Event.Kind != response_event_kind::End) {
    if (Event.Kind == response_event_kind::Span)
      Relay->WeightVersion = Event.Span.Version;
    Event = Relay->next(alwaysConnected);
  }
  if (Event.Kind == response_event_kind::End && !completed(Event)) {
    sendReply(errorReply(Event.Result.Verdict), Response);
    return;
  }
  Relay->FirstEvent = std::move(Event);
  Response.status = 200;
  Response.set_header("Cache-Control", "no-cache");
  Response.set_chunked_content_provider(
      "text/event-stream", [Relay](size_t, httplib::DataSink &Sink) {
        const response_event Next = Relay->next(Sink.is_writable);
        if (Next.Kind == response_event_kind::Span) {
          Relay->WeightVersion = Next.Span.Version;
          return writeText(Sink, Relay->takeSseEvent(false));
        }
        if (Next.Kind == response_event_kind::Data) {
          Relay->PendingText += Next.Bytes;
          return writeText(Sink, Relay->takeSseEvent(false));
        }
        if (Next.Kind != response_event_kind::End)
          return true;
        if (!Next.Result.Spans.empty())
          Relay->WeightVersion = Next.Result.Spans.back().Version;
        if (!writeText(Sink, Relay->takeSseEvent(true)))
          return false;
        if (!completed(Next)) {
          metrics::get().counter("answers_cut_total").add();
          writeText(Sink, "data: " + errorBody(Next.Result.Verdict) + "\n\n");
          return false;
        }
        if (!writeText(Sink, "data: [DONE]\n\n"))
          return false;
        Sink.done();
        Relay->acknowledge(Next.Result);
        return true;
      });
}

} // namespace cardamom
