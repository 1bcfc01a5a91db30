#include "agent/upstream_client.h"

#include "agent/token_stream_parser.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "inner/gen/messages.pb.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <set>
#include <utility>

namespace cardamom {

struct upstream_client::active_call {
  active_call(const upstream_client_options &Options, bool IsModel)
      : IsModel(IsModel), IdleTimeout(IsModel ? Options.ModelIdleTimeout
                                              : Options.PlainIdleTimeout),
        Client(Loop, {.ConnectTimeout = Options.ConnectTimeout,
                      // An upstream may pause before it reads a long request.
                      .AckTimeout = IdleTimeout}) {}

  const bool IsModel;
  const milliseconds IdleTimeout;
  event_loop Loop;
  http_client Client;
  std::atomic<bool> Cancelled{false};
};

/// Receives a response. A hook that returns false aborts the call.
struct upstream_client::response_hooks {
  std::function<bool(const http_response &Head)> OnHead;
  std::function<bool(std::string_view Bytes)> OnBody;
};

/// Registers a call for cancel() while it is in progress.
class upstream_client::call_registration {
public:
  call_registration(upstream_client &Owner, std::string_view Id, bool IsModel)
      : Owner(Owner), Id(Id),
        Call(std::make_shared<active_call>(Owner.Options, IsModel)) {
    std::lock_guard Lock(Owner.Mutex);
    Owner.ActiveCalls[this->Id] = Call;
  }
  ~call_registration() {
    std::lock_guard Lock(Owner.Mutex);
    Owner.ActiveCalls.erase(Id);
  }
  call_registration(const call_registration &) = delete;
  call_registration &operator=(const call_registration &) = delete;

  active_call &call() { return *Call; }

private:
  upstream_client &Owner;
  std::string Id;
  std::shared_ptr<active_call> Call;
};

upstream_client::upstream_client(upstream_client_options Options)
    : Options(std::move(Options)), Engine({.Address = this->Options.Address}) {}

upstream_client::~upstream_client() = default;

static wire::run_end makeEnd(wire::run_end_code Code, std::string_view Reason,
                             std::string Message = {}) {
  wire::run_end End;
  End.set_code(Code);
  End.set_reason(std::string(Reason));
  End.set_message(std::move(Message));
  return End;
}

static std::string toLower(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char C) { return char(std::tolower(C)); });
  return Lower;
}

/// Headers that are not forwarded: hop-by-hop headers, which Connection
/// extends, and those that frame or address a message.
static std::set<std::string> hopByHopHeaders(std::string_view Connection) {
  std::set<std::string> Names = {"connection",
                                 "keep-alive",
                                 "proxy-authenticate",
                                 "proxy-authorization",
                                 "te",
                                 "trailer",
                                 "transfer-encoding",
                                 "upgrade",
                                 "proxy-connection",
                                 "host",
                                 "content-length",
                                 "expect"};
  std::string Name;
  for (char C : toLower(Connection) + ',') {
    if (C != ',') {
      if (C != ' ' && C != '\t')
        Name += C;
      continue;
    }
    Names.insert(Name);
    Name.clear();
  }
  return Names;
}

static wire::response_head toResponseHead(const http_response &Response) {
  wire::response_head Head;
  Head.set_status(Response.Status);
  std::string Connection;
  for (const http_header &Header : Response.Headers)
    if (equalsIgnoringCase(Header.Name, "Connection"))
      Connection += Header.Value + ",";
  const auto ExcludedHeaders = hopByHopHeaders(Connection);
  for (const http_header &Header : Response.Headers) {
    if (ExcludedHeaders.contains(toLower(Header.Name)))
      continue;
    wire::header_field &Field = *Head.add_headers();
    Field.set_name(Header.Name);
    Field.set_value(Header.Value);
  }
  return Head;
}

wire::run_end upstream_client::exchange(active_call &Call,
                                        const http_request &Request,
                                        const response_hooks &Hooks) const {
  call_completion Completion;
  timer_handle IdleTimer;
  call_handle Handle;
  bool Ended = false;
  const auto EndCall = [&](const call_completion &New) {
    Ended = true;
    Completion = New;
    Handle.reset();
    Call.Loop.stop();
  };
  const auto RestartIdleTimer = [&] {
    IdleTimer = Call.Loop.after(Call.IdleTimeout, [&] {
      EndCall({.Result = call_result::NoResponse, .Detail = "idle timeout"});
    });
  };
  const auto ContinueIf = [&](bool Wanted) {
    if (Wanted)
      RestartIdleTimer();
    else
      EndCall({.Result = call_result::InvalidResponse, .Detail = "aborted"});
  };
  RestartIdleTimer();
  Handle = Call.Client.send(
      Options.Address, Request,
      {.OnHead =
           [&](const http_response &Head) { ContinueIf(Hooks.OnHead(Head)); },
       .OnBody =
           [&](std::string_view Bytes) {
             // OnHead may have ended the call just before.
             if (!Ended)
               ContinueIf(Hooks.OnBody(Bytes));
           },
       .OnEnd = EndCall});
  Call.Loop.run();
  const std::string Message = Options.Address + ": " + Completion.Detail;
  if (Completion.Result == call_result::Complete)
    return makeEnd(wire::COMPLETED, "");
  if (Completion.Result == call_result::NotConnected)
    return makeEnd(wire::REFUSED, "upstream_unreachable", Message);
  if (Call.Cancelled)
    return makeEnd(wire::CANCELLED, "cancelled");
  return makeEnd(wire::UPSTREAM_FAILED,
                 Call.IsModel ? "engine_failed" : "upstream_failed", Message);
}

http_request upstream_client::makeRequest(std::string Method,
                                          std::string Target,
                                          std::string Body) const {
  return {.Method = std::move(Method),
          .Target = std::move(Target),
          .Headers = {{"Host", Options.Address}, {"Connection", "close"}},
          .Body = std::move(Body)};
}

wire::run_end upstream_client::runPlain(std::string_view Id,
                                        const wire::plain_call &Call,
                                        const response_sink &Sink) {
  http_request Request = makeRequest(Call.method(), Call.target(), Call.body());
  std::string Connection;
  for (const wire::header_field &Field : Call.headers())
    if (toLower(Field.name()) == "connection")
      Connection += Field.value() + ",";
  const auto ExcludedHeaders = hopByHopHeaders(Connection);
  for (const wire::header_field &Field : Call.headers())
    if (!ExcludedHeaders.contains(toLower(Field.name())))
      Request.Headers.add(Field.name(), Field.value());
  bool SinkAborted = false;
  const response_hooks Hooks = {.OnHead =
                                    [&](const http_response &Head) {
                                      Sink.OnHead(toResponseHead(Head));
                                      return true;
                                    },
                                .OnBody =
                                    [&](std::string_view Bytes) {
                                      SinkAborted = !Sink.OnBytes(Bytes);
                                      return !SinkAborted;
                                    }};
  call_registration Scope(*this, Id, false);
  wire::run_end End = exchange(Scope.call(), Request, Hooks);
  if (SinkAborted && End.code() == wire::UPSTREAM_FAILED)
    End.set_reason("answer_too_large");
  return End;
}

static std::string generateRequestBody(std::string_view Id,
                                       const wire::model_call &Call,
                                       unsigned Priority) {
  const nlohmann::json Body = {{"request_id", std::string(Id)},
                               {"prompt", Call.prompt()},
                               {"max_tokens", Call.max_tokens()},
                               {"priority", Priority},
                               {"resume_text", Call.resume_text()},
                               {"resume_tokens", Call.resume_tokens()}};
  // The caller's text may contain invalid UTF-8.
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Combines the results of a model call: Result of the token stream, the HTTP
/// Status (0 if no response was received) and HttpEnd of the HTTP exchange.
static wire::run_end makeModelEnd(token_stream_result Result, unsigned Status,
                                  wire::run_end HttpEnd) {
  if (HttpEnd.code() == wire::REFUSED)
    return HttpEnd;
  if (Status != 0 && Status != 200)
    return makeEnd(wire::UPSTREAM_FAILED, "engine_status",
                   "engine answered status " + std::to_string(Status));
  switch (Result) {
  case token_stream_result::Done:
    return makeEnd(wire::COMPLETED, "");
  case token_stream_result::Cancelled:
    return makeEnd(wire::CANCELLED, "cancelled");
  case token_stream_result::MissingVersion:
    return makeEnd(wire::UPSTREAM_FAILED, "unlabelled",
                   "a token has no weight version");
  case token_stream_result::Malformed:
    return makeEnd(wire::UPSTREAM_FAILED, "engine_protocol",
                   "a line of the engine is malformed");
  case token_stream_result::Aborted:
    if (HttpEnd.code() == wire::CANCELLED)
      return HttpEnd;
    return makeEnd(wire::UPSTREAM_FAILED, "answer_too_large");
  case token_stream_result::Incomplete:
    break;
  }
  if (HttpEnd.code() != wire::COMPLETED)
    return HttpEnd;
  return makeEnd(wire::UPSTREAM_FAILED, "engine_failed",
                 "the stream ended without \"done\"");
}

wire::run_end upstream_client::runModel(std::string_view Id,
                                        const wire::model_call &Call,
                                        unsigned Priority,
                                        const response_sink &Sink) {
  http_request Request =
      makeRequest("POST", "/generate", generateRequestBody(Id, Call, Priority));
  Request.Headers.add("Content-Type", "application/json");
  unsigned Status = 0;
  token_stream_parser Parser({.OnToken = Sink.OnToken});
  const response_hooks Hooks = {
      .OnHead =
          [&](const http_response &Head) {
            Status = Head.Status;
            if (Status == 200)
              Sink.OnHead(toResponseHead(Head));
            return Status == 200;
          },
      .OnBody = [&](std::string_view Bytes) { return Parser.feed(Bytes); }};
  call_registration Scope(*this, Id, true);
  const wire::run_end HttpEnd = exchange(Scope.call(), Request, Hooks);
  wire::run_end End = makeModelEnd(Parser.result(), Status, HttpEnd);
  // The engine may still generate for a call that was aborted here.
  if (End.code() == wire::UPSTREAM_FAILED)
    (void)Engine.cancel(Id);
  return End;
}

std::shared_ptr<upstream_client::active_call>
upstream_client::findCall(std::string_view Id) {
  std::lock_guard Lock(Mutex);
  const auto It = ActiveCalls.find(Id);
  return It == ActiveCalls.end() ? nullptr : It->second;
}

void upstream_client::cancel(std::string_view Id) {
  const std::shared_ptr<active_call> Call = findCall(Id);
  if (!Call)
    return;
  Call->Cancelled = true;
  // After a confirmed cancellation the engine ends the stream itself, with a
  // final line.
  if (!Call->IsModel || !Engine.cancel(Id))
    Call->Loop.stop();
}

} // namespace cardamom
