#include "entry/caller_relay.h"

#include "base/metrics.h"
#include "entry/dispatcher.h"
#include "entry/http_checks.h"
#include "entry/http_reply.h"
#include "entry/http_response.h"
#include "entry/relay_buffer.h"
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
// The dispatcher ends each request at its deadline; the HTTP thread waits this
// much longer before it gives up by itself.
static constexpr milliseconds EndSlack{5000};
// While it waits, the HTTP thread looks this often whether the caller is gone.
static constexpr milliseconds CallerCheck{500};
// Bytes of a prompt that decide on prefix affinity.
static constexpr size_t PrefixBytes = 256;
// Limit of one answer that is sent whole; agents keep no larger ones.
static constexpr size_t MaxWholeAnswer = 8U << 20;

static json choices(const std::string &Id, const std::string &Text) {
  return {{"id", Id},
          {"choices", json::array({{{"text", Text}, {"index", 0}}})}};
}

static std::string dump(const json &Object) {
  return Object.dump(-1, ' ', false, json::error_handler_t::replace);
}

static std::string sseLine(const json &Object) {
  return "data: " + dump(Object) + "\n\n";
}

/// One answer on its way to the caller.
struct caller_relay::relay {
  class dispatcher &Dispatcher;
  std::shared_ptr<relay_buffer> Buffer;
  std::string RequestId;
  time_point GiveUpAt;
  dispatch_id Id = 0;
  bool Ended = false;
  /// First event, which decided on the status.
  std::optional<relay_event> First;
  uint64_t Version = 0;
  /// Text that waits for its weight version or for the rest of a character.
  std::string Text;

  relay(class dispatcher &Dispatcher, bool Expose, std::string RequestId,
        time_point GiveUpAt)
      : Dispatcher(Dispatcher), Buffer(std::make_shared<relay_buffer>(Expose)),
        RequestId(std::move(RequestId)), GiveUpAt(GiveUpAt) {}
  relay(const relay &) = delete;
  relay &operator=(const relay &) = delete;
  ~relay() {
    if (!Ended)
      Dispatcher.abandon(Id);
  }

  /// Waits for the next event; Alive tells whether the caller still listens.
  relay_event next(const std::function<bool()> &Alive) {
    if (First)
      return *std::exchange(First, std::nullopt);
    while (true) {
      const time_point Until =
          std::min(GiveUpAt, steady_clock::now() + CallerCheck);
      if (auto Event = Buffer->next(Until)) {
        if (Event->Kind == relay_kind::Data)
          Dispatcher.consume(Id, Event->Bytes.size());
        Ended = Event->Kind == relay_kind::End;
        return std::move(*Event);
      }
      if (steady_clock::now() >= GiveUpAt || !Alive())
        return lost();
    }
  }

  /// Stands for the end of a request that the HTTP thread no longer follows.
  static relay_event lost() {
    dispatch_result Result;
    Result.Verdict = {.Certainty = run_certainty::MayHaveRun,
                      .Reason = "caller_gone_or_timeout",
                      .Message = "the answer was not awaited any longer"};
    return {.Kind = relay_kind::End, .Result = std::move(Result)};
  }

  /// Server-sent event with the whole characters of Text; empty while the
  /// weight version of the first token has not arrived. Last flushes the rest.
  std::string takeLine(bool Last) {
    const size_t Whole = Last ? Text.size() : completeUtf8(Text);
    if (Whole == 0 || (Version == 0 && !Last))
      return {};
    json Line = choices(RequestId, Text.substr(0, Whole));
    Line["weight_version"] = Version;
    Text.erase(0, Whole);
    return sseLine(Line);
  }

  void acknowledge(const dispatch_result &Result) {
    Dispatcher.acknowledge(Result.Address, Result.RequestId);
  }
};

static bool completed(const relay_event &Event) {
  return Event.Result.Kind == outcome_kind::Completed;
}

static bool always() { return true; }

std::shared_ptr<caller_relay::relay>
caller_relay::startRelay(dispatch_call Call, bool Expose) {
  auto Relay = std::make_shared<relay>(
      Dispatcher, Expose, Call.Request->request_id(), Call.Deadline + EndSlack);
  Call.ManualConsume = true;
  Relay->Id = Dispatcher.start(std::move(Call), sinkOf(Relay->Buffer));
  return Relay;
}

static time_point deadlineOf(const httplib::Request &Request,
                             milliseconds Default) {
  if (!Request.has_header("X-Request-Timeout-Ms"))
    return steady_clock::now() + Default;
  return steady_clock::now() +
         parseTimeout(Request.get_header_value("X-Request-Timeout-Ms"));
}

static bool hasModel(const configuration &Configuration,
                     std::string_view Model) {
  return std::any_of(Configuration.Assets.begin(), Configuration.Assets.end(),
                     [&](const asset &Asset) {
                       return Asset.Kind == asset_kind::Model &&
                              Asset.Pool == Model;
                     });
}

void caller_relay::completions(const caller_request &Caller,
                               const configuration &Configuration,
                               const httplib::Request &Request,
                               httplib::Response &Response) {
  const completion_request Parsed = parseCompletion(Caller.Body);
  if (!hasModel(Configuration, Parsed.Model))
    throw input_error(404, "unknown_model", "model",
                      "a model of the inventory");
  if (Request.has_header("Idempotency-Key"))
    parseKey(Request.get_header_value("Idempotency-Key"));
  dispatch_call Call;
  Call.Deadline = deadlineOf(Request, CompletionTimeout);
  Call.Pool = Parsed.Model;
  Call.Work = Parsed.MaxTokens;
  Call.PrefixHash = XXH3_64bits(Parsed.Prompt.data(),
                                std::min(PrefixBytes, Parsed.Prompt.size()));
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
    wholeCompletion(*Relay, Response);
}

void caller_relay::wholeCompletion(relay &Relay, httplib::Response &Response) {
  std::string Text;
  while (true) {
    const relay_event Event = Relay.next(always);
    if (Event.Kind == relay_kind::Restart)
      Text.clear();
    if (Event.Kind == relay_kind::Data)
      Text += Event.Bytes;
    if (Text.size() > MaxWholeAnswer) {
      sendReply(errorReply({.Certainty = run_certainty::Ran,
                            .Reason = "answer_too_large",
                            .Message = "the answer exceeds 8 MiB"}),
                Response);
      return;
    }
    if (Event.Kind != relay_kind::End)
      continue;
    if (!completed(Event)) {
      sendReply(errorReply(Event.Result.Verdict), Response);
      return;
    }
    json Answer = choices(Relay.RequestId, Text);
    Answer["spans"] = json::array();
    for (const token_span &Span : Event.Result.Spans)
      Answer["spans"].push_back(
          {{"version", Span.Version}, {"tokens", Span.Tokens}});
    if (!Event.Result.Spans.empty())
      Answer["weight_version"] = Event.Result.Spans.back().Version;
    Response.status = 200;
    Response.set_content(dump(Answer), "application/json");
    Relay.acknowledge(Event.Result);
    return;
  }
}

static bool write(httplib::DataSink &Sink, const std::string &Text) {
  // An empty chunk would end a chunked body.
  return Text.empty() || Sink.write(Text.data(), Text.size());
}

void caller_relay::streamCompletion(const std::shared_ptr<relay> &Relay,
                                    httplib::Response &Response) {
  // The status is known with the first byte of text or the end of the run.
  relay_event Event = Relay->next(always);
  while (Event.Kind != relay_kind::Data && Event.Kind != relay_kind::End) {
    if (Event.Kind == relay_kind::Span)
      Relay->Version = Event.Span.Version;
    Event = Relay->next(always);
  }
  if (Event.Kind == relay_kind::End && !completed(Event)) {
    sendReply(errorReply(Event.Result.Verdict), Response);
    return;
  }
  Relay->First = std::move(Event);
  Response.status = 200;
  Response.set_header("Cache-Control", "no-cache");
  Response.set_chunked_content_provider(
      "text/event-stream", [Relay](size_t, httplib::DataSink &Sink) {
        const relay_event Next = Relay->next(Sink.is_writable);
        if (Next.Kind == relay_kind::Span) {
          Relay->Version = Next.Span.Version;
          return write(Sink, Relay->takeLine(false));
        }
        if (Next.Kind == relay_kind::Data) {
          Relay->Text += Next.Bytes;
          return write(Sink, Relay->takeLine(false));
        }
        if (Next.Kind != relay_kind::End)
          return true;
        if (!Next.Result.Spans.empty())
          Relay->Version = Next.Result.Spans.back().Version;
        if (!write(Sink, Relay->takeLine(true)))
          return false;
        if (!completed(Next)) {
          metrics::get().counter("answers_cut_total").add();
          write(Sink, "data: " + errorBody(Next.Result.Verdict) + "\n\n");
          return false;
        }
        if (!write(Sink, "data: [DONE]\n\n"))
          return false;
        Sink.done();
        Relay->acknowledge(Next.Result);
        return true;
      });
}

static bool sameName(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(), [](char X, char Y) {
           return std::tolower(static_cast<unsigned char>(X)) ==
                  std::tolower(static_cast<unsigned char>(Y));
         });
}

// Headers of one connection, and those that cpp-httplib adds or that no longer
// describe the body that it has decoded.
static bool isHopHeader(std::string_view Name) {
  static constexpr std::array<std::string_view, 18> Names = {
      "Connection",
      "Keep-Alive",
      "Proxy-Authenticate",
      "Te",
      "Proxy-Authorization",
      "Trailer",
      "Transfer-Encoding",
      "Upgrade",
      "Content-Length",
      "Content-Type",
      "Content-Encoding",
      "Accept-Encoding",
      "Host",
      "Expect",
      "REMOTE_ADDR",
      "REMOTE_PORT",
      "LOCAL_ADDR",
      "LOCAL_PORT"};
  return std::any_of(Names.begin(), Names.end(),
                     [&](std::string_view Hop) { return sameName(Hop, Name); });
}

// An upstream may treat such paths as another path, for which other rules
// hold.
static bool isAmbiguousPath(const std::string &Path) {
  const std::string Ended = Path + '/';
  return Path.find("//") != std::string::npos ||
         Ended.find("/./") != std::string::npos ||
         Ended.find("/../") != std::string::npos ||
         Path.find('\\') != std::string::npos ||
         Path.find('\0') != std::string::npos;
}

void caller_relay::plain(const caller_request &Caller, const route_rule &Route,
                         const httplib::Request &Request,
                         httplib::Response &Response) {
  if (isAmbiguousPath(Request.path))
    throw input_error(400, "ambiguous_path", "path",
                      "a path without empty or dot segments");
  dispatch_call Call;
  Call.Pool = Route.Pool;
  Call.Deadline = deadlineOf(Request, Route.Timeout);
  Call.Request = std::make_shared<wire::run_request>();
  wire::run_request &Run = *Call.Request;
  Run.set_request_id(Caller.RequestId);
  Run.set_class_(wire::LIVE);
  Run.set_idempotent(isIdempotent(Route, Request.method, Request.path));
  if (Request.has_header("Idempotency-Key")) {
    const std::string Key =
        parseKey(Request.get_header_value("Idempotency-Key"));
    if (!Run.idempotent())
      Run.set_idempotency_key(Key);
  }
  wire::plain_call &Plain = *Run.mutable_plain();
  Plain.set_route(Route.Prefix);
  Plain.set_method(Request.method);
  Plain.set_target(Request.target);
  Plain.set_body(Caller.Body);
  const auto Add = [&](const std::string &Name, const std::string &Value) {
    wire::header_field &Field = *Plain.add_headers();
    Field.set_name(Name);
    Field.set_value(Value);
  };
  for (const auto &[Name, Value] : Request.headers)
    if (!isHopHeader(Name) && !isInternalHeader(Name))
      Add(Name, Value);
  if (!Caller.ContentType.empty())
    Add("Content-Type", Caller.ContentType);
  const auto Relay = startRelay(std::move(Call), true);
  streamPlain(Relay, Request.method == "HEAD", Response);
}

/// Copies the head of an upstream's answer. Returns the length of the body, or
/// nothing when the upstream did not say.
static std::optional<size_t> copyHead(const relay_event &Head,
                                      std::string &ContentType,
                                      httplib::Response &Response) {
  std::optional<size_t> Length;
  Response.status = int(Head.Status);
  for (const auto &[Name, Value] : Head.Headers) {
    if (sameName(Name, "Content-Length"))
      Length = parseNumber("Content-Length", Value);
    if (sameName(Name, "Content-Type"))
      ContentType = Value;
    if (sameName(Name, "Content-Encoding") || !isHopHeader(Name))
      Response.headers.emplace(Name, Value);
  }
  return Length;
}

void caller_relay::streamPlain(const std::shared_ptr<relay> &Relay,
                               bool HeadOnly, httplib::Response &Response) {
  relay_event Head = Relay->next(always);
  while (Head.Kind == relay_kind::Restart || Head.Kind == relay_kind::Span)
    Head = Relay->next(always);
  if (Head.Kind != relay_kind::Head) {
    verdict Verdict = Head.Result.Verdict;
    if (Head.Kind != relay_kind::End || completed(Head))
      Verdict = {.Certainty = run_certainty::Ran,
                 .Reason = "bad_answer",
                 .Message = "the answer of the upstream has no head"};
    sendReply(errorReply(Verdict), Response);
    return;
  }
  std::string ContentType;
  const std::optional<size_t> Length = copyHead(Head, ContentType, Response);
  const bool NoBody = HeadOnly || Head.Status == 204 || Head.Status == 304 ||
                      (Length && *Length == 0);
  if (NoBody) {
    const relay_event End = Relay->next(always);
    if (End.Kind == relay_kind::End && completed(End))
      Relay->acknowledge(End.Result);
    return;
  }
  const auto Provide = [Relay](httplib::DataSink &Sink, bool Chunked) {
    const relay_event Next = Relay->next(Sink.is_writable);
    if (Next.Kind == relay_kind::Data)
      return write(Sink, Next.Bytes);
    if (Next.Kind != relay_kind::End)
      return true;
    if (!completed(Next) || !Chunked) {
      metrics::get().counter("answers_cut_total").add();
      return false;
    }
    Sink.done();
    Relay->acknowledge(Next.Result);
    return true;
  };
  if (!Length) {
    Response.set_chunked_content_provider(
        ContentType, [Provide](size_t, httplib::DataSink &Sink) {
          return Provide(Sink, true);
        });
    return;
  }
  const auto Finish = [Relay](bool Success) {
    // All bytes are with the caller; the end of the run follows them.
    if (!Success || Relay->Ended)
      return;
    const relay_event End = Relay->next([] { return false; });
    if (completed(End))
      Relay->acknowledge(End.Result);
  };
  Response.set_content_provider(
      *Length, ContentType,
      [Provide](size_t, size_t, httplib::DataSink &Sink) {
        return Provide(Sink, false);
      },
      Finish);
}

} // namespace cardamom
