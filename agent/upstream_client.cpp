#include "agent/upstream_client.h"

#include "agent/token_stream_parser.h"
#include "inner/gen/messages.pb.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <set>
#include <utility>

// <httplib.h> includes <resolv.h>, whose headers define this macro.
#undef REFUSED

namespace cardamom {

struct upstream_client::active_call {
  explicit active_call(const std::string &Address)
      : Client("http://" + Address) {}
  httplib::Client Client;
  bool IsModel = false;
  std::atomic<bool> Cancelled{false};
};

/// Registers a call for cancel() while it is in progress.
class upstream_client::call_registration {
public:
  call_registration(upstream_client &Owner, std::string_view Id, bool IsModel)
      : Owner(Owner), Id(Id),
        Call(std::make_shared<active_call>(Owner.Options.Address)) {
    const upstream_client_options &O = Owner.Options;
    Call->IsModel = IsModel;
    Call->Client.set_connection_timeout(O.ConnectTimeout);
    Call->Client.set_read_timeout(IsModel ? O.ModelIdleTimeout
                                          : O.PlainIdleTimeout);
    Call->Client.set_write_timeout(O.PlainIdleTimeout);
    Call->Client.set_tcp_nodelay(true);
    // Request and response are forwarded unchanged.
    Call->Client.set_url_encode(false);
    Call->Client.set_decompress(false);
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

/// Headers that are not forwarded: hop-by-hop headers and those that the HTTP
/// library sets.
static std::set<std::string> hopByHopHeaders(const std::string &Connection) {
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
  for (char C : toLower(Connection) + ",") {
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

static wire::response_head toResponseHead(const httplib::Response &Response) {
  wire::response_head Head;
  Head.set_status(uint32_t(Response.status));
  const auto ExcludedHeaders =
      hopByHopHeaders(Response.get_header_value("Connection"));
  for (const auto &[Name, Value] : Response.headers) {
    if (ExcludedHeaders.contains(toLower(Name)))
      continue;
    wire::header_field &Field = *Head.add_headers();
    Field.set_name(Name);
    Field.set_value(Value);
  }
  return Head;
}

wire::run_end upstream_client::sendRequest(active_call &Call,
                                           httplib::Request &Request,
                                           httplib::Response &Response) {
  httplib::Error Error = httplib::Error::Success;
  const bool Sent = Call.Client.send(Request, Response, Error);
  if (Sent)
    return makeEnd(wire::COMPLETED, "");
  if (Error == httplib::Error::Connection ||
      Error == httplib::Error::ConnectionTimeout)
    return makeEnd(wire::REFUSED, "upstream_unreachable",
                   Options.Address + ": " + httplib::to_string(Error));
  if (Call.Cancelled)
    return makeEnd(wire::CANCELLED, "cancelled");
  return makeEnd(wire::UPSTREAM_FAILED,
                 Call.IsModel ? "engine_failed" : "upstream_failed",
                 Options.Address + ": " + httplib::to_string(Error));
}

wire::run_end upstream_client::runPlain(std::string_view Id,
                                        const wire::plain_call &Call,
                                        const response_sink &Sink) {
  httplib::Request Request;
  Request.method = Call.method();
  Request.path = Call.target();
  Request.body = Call.body();
  std::string Connection;
  for (const wire::header_field &Field : Call.headers())
    if (toLower(Field.name()) == "connection")
      Connection += Field.value() + ",";
  const auto ExcludedHeaders = hopByHopHeaders(Connection);
  for (const wire::header_field &Field : Call.headers())
    if (!ExcludedHeaders.contains(toLower(Field.name())))
      Request.headers.emplace(Field.name(), Field.value());
  bool HasHead = false;
  bool SinkAborted = false;
  Request.response_handler = [&](const httplib::Response &Response) {
    HasHead = true;
    Sink.OnHead(toResponseHead(Response));
    return true;
  };
  Request.content_receiver = [&](const char *Data, size_t Length, uint64_t,
                                 uint64_t) {
    SinkAborted = !Sink.OnBytes({Data, Length});
    return !SinkAborted;
  };
  call_registration Scope(*this, Id, false);
  httplib::Response Response;
  wire::run_end End = sendRequest(Scope.call(), Request, Response);
  if (End.code() == wire::COMPLETED && !HasHead)
    Sink.OnHead(toResponseHead(Response)); // No body, as for HEAD or 204.
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
static wire::run_end makeModelEnd(token_stream_result Result, int Status,
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
  httplib::Request Request;
  Request.method = "POST";
  Request.path = "/generate";
  Request.body = generateRequestBody(Id, Call, Priority);
  Request.headers.emplace("Content-Type", "application/json");
  int Status = 0;
  Request.response_handler = [&](const httplib::Response &Response) {
    Status = Response.status;
    if (Status == 200)
      Sink.OnHead(toResponseHead(Response));
    return Status == 200;
  };
  token_stream_parser Parser({.OnToken = Sink.OnToken});
  Request.content_receiver = [&](const char *Data, size_t Length, uint64_t,
                                 uint64_t) {
    return Parser.feed({Data, Length});
  };
  call_registration Scope(*this, Id, true);
  httplib::Response Response;
  const wire::run_end HttpEnd = sendRequest(Scope.call(), Request, Response);
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
    Call->Client.stop();
}

} // namespace cardamom
