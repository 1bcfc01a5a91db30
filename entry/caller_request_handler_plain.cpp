#include "entry/response_relay.h"

#include "base/metrics.h"
#include "entry/http_response.h"
#include "entry/request_parsing.h"
#include "inner/gen/messages.pb.h"

#include <array>

namespace cardamom {

static bool sameName(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(), [](char X, char Y) {
           return std::tolower(static_cast<unsigned char>(X)) ==
                  std::tolower(static_cast<unsigned char>(Y));
         });
}

// Hop-by-hop headers, headers that cpp-httplib adds, and headers that no longer
// describe the body after cpp-httplib has decoded it.
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
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Header) {
    return sameName(Header, Name);
  });
}

// An upstream may normalize such a path to another path that has other rules.
static bool isAmbiguousPath(const std::string &Path) {
  const std::string WithSlash = Path + '/';
  return Path.find("//") != std::string::npos ||
         WithSlash.find("/./") != std::string::npos ||
         WithSlash.find("/../") != std::string::npos ||
         Path.find('\\') != std::string::npos ||
         Path.find('\0') != std::string::npos;
}

void caller_request_handler::handlePlain(const caller_request &Caller,
                                         const route_rule &Route,
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
        parseIdempotencyKey(Request.get_header_value("Idempotency-Key"));
    if (!Run.idempotent())
      Run.set_idempotency_key(Key);
  }
  wire::plain_call &Plain = *Run.mutable_plain();
  Plain.set_route(Route.Prefix);
  Plain.set_method(Request.method);
  Plain.set_target(Request.target);
  Plain.set_body(Caller.Body);
  const auto AddHeader = [&](const std::string &Name,
                             const std::string &Value) {
    wire::header_field &Field = *Plain.add_headers();
    Field.set_name(Name);
    Field.set_value(Value);
  };
  for (const auto &[Name, Value] : Request.headers)
    if (!isHopHeader(Name) && !isInternalHeader(Name))
      AddHeader(Name, Value);
  if (!Caller.ContentType.empty())
    AddHeader("Content-Type", Caller.ContentType);
  const auto Relay = startRelay(std::move(Call), true);
  streamPlainResponse(Relay, Request.method == "HEAD", Response);
}

/// Copies status and headers of an upstream's response. Returns the length of
/// the body, or nothing if the upstream did not send it.
static std::optional<size_t> copyResponseHead(const response_event &Head,
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

void caller_request_handler::streamPlainResponse(
    const std::shared_ptr<response_relay> &Relay, bool HeadOnly,
    httplib::Response &Response) {
  response_event Head = Relay->next(alwaysConnected);
  while (Head.Kind == response_event_kind::Restart ||
         Head.Kind == response_event_kind::Span)
    Head = Relay->next(alwaysConnected);
  if (Head.Kind != response_event_kind::Head) {
    verdict Verdict = Head.Result.Verdict;
    if (Head.Kind != response_event_kind::End || completed(Head))
      Verdict = {.Certainty = run_certainty::Ran,
                 .Reason = "bad_answer",
                 .Message = "the upstream's response has no status or headers"};
    sendReply(errorReply(Verdict), Response);
    return;
  }
  std::string ContentType;
  const std::optional<size_t> Length =
      copyResponseHead(Head, ContentType, Response);
  const bool NoBody = HeadOnly || Head.Status == 204 || Head.Status == 304 ||
                      (Length && *Length == 0);
  if (NoBody) {
    const response_event End = Relay->next(alwaysConnected);
    if (End.Kind == response_event_kind::End && completed(End))
      Relay->acknowledge(End.Result);
    return;
  }
  const auto SendNext = [Relay](httplib::DataSink &Sink, bool Chunked) {
    const response_event Next = Relay->next(Sink.is_writable);
    if (Next.Kind == response_event_kind::Data)
      return writeText(Sink, Next.Bytes);
    if (Next.Kind != response_event_kind::End)
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
        ContentType, [SendNext](size_t, httplib::DataSink &Sink) {
          return SendNext(Sink, true);
        });
    return;
  }
  const auto OnSent = [Relay](bool Success) {
    // The caller has received all bytes; only the end of the run is missing.
    if (!Success || Relay->Ended)
      return;
    const response_event End = Relay->next([] { return false; });
    if (completed(End))
      Relay->acknowledge(End.Result);
  };
  Response.set_content_provider(
      *Length, ContentType,
      [SendNext](size_t, size_t, httplib::DataSink &Sink) {
        return SendNext(Sink, false);
      },
      OnSent);
}

} // namespace cardamom
