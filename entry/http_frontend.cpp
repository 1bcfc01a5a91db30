#include "entry/http_frontend.h"

#include "base/log.h"
#include "base/metrics.h"
#include "entry/http_response.h"
#include "entry/request_parsing.h"

#include <httplib.h>
#include <system_error>
#include <utility>
#include <vector>

namespace cardamom {

// A chunked body is read up to this size. What exceeds the limit on body size
// is discarded, so that the connection can be reused.
static constexpr size_t MaxDiscardedBytes = 64U << 20;
// Idle connections are closed after this time to free their thread.
static constexpr time_t KeepAliveSeconds = 10;
static constexpr size_t KeepAliveRequests = 1000000;
static constexpr time_t SocketTimeoutSeconds = 20;

void sendReply(const http_reply &Reply, httplib::Response &Response) {
  Response.status = Reply.Status;
  Response.set_content(Reply.Body, Reply.ContentType);
  if (!Reply.IsError)
    return;
  Response.set_header("Cardamom-Verdict",
                      std::string(toString(Reply.Certainty)));
  if (Reply.RetryAfter <= milliseconds(0))
    return;
  // Retry-After has whole seconds; the JSON body has milliseconds.
  const auto Seconds = (Reply.RetryAfter.count() + 999) / 1000;
  Response.set_header("Retry-After", std::to_string(Seconds));
}

bool isInternalHeader(std::string_view Name) {
  httplib::detail::ci Less;
  const auto Equals = [&](const char *Other) {
    return !Less(std::string(Name), Other) && !Less(Other, std::string(Name));
  };
  return Equals(HiddenContentTypeHeader) || Equals("X-Request-Timeout-Ms");
}

std::optional<trainer_call> parseTrainerCall(std::string_view Method,
                                             std::string_view Path) {
  static constexpr std::string_view Prefix = "/v1/trainers/";
  if (!Path.starts_with(Prefix))
    return std::nullopt;
  std::vector<std::string> Parts;
  std::string_view Rest = Path.substr(Prefix.size());
  while (true) {
    const size_t Slash = Rest.find('/');
    Parts.emplace_back(Rest.substr(0, Slash));
    if (Slash == std::string_view::npos)
      break;
    Rest.remove_prefix(Slash + 1);
  }
  trainer_call Call;
  Call.Trainer = Parts[0];
  if (Method == "POST" && Parts.size() == 2 && Parts[1] == "weights") {
    Call.Kind = trainer_call::kind::Weights;
    return Call;
  }
  if (Parts.size() < 3 || Parts[1] != "steps")
    return std::nullopt;
  Call.Step = parseNumber("step", Parts[2]);
  if (Method == "PUT" && Parts.size() == 3) {
    Call.Kind = trainer_call::kind::Submit;
    return Call;
  }
  if (Method == "POST" && Parts.size() == 4 && Parts[3] == "draw")
    return Call;
  return std::nullopt;
}

http_frontend::http_frontend(http_frontend_options Options)
    : Options(std::move(Options)), CallerHandler(*this->Options.Dispatcher),
      Server(std::make_unique<httplib::Server>()) {
  Server->set_tcp_nodelay(true);
  Server->set_keep_alive_max_count(KeepAliveRequests);
  Server->set_keep_alive_timeout(KeepAliveSeconds);
  Server->set_read_timeout(SocketTimeoutSeconds);
  Server->set_write_timeout(SocketTimeoutSeconds);
  Server->set_payload_max_length(this->Options.MaxBodyBytes);
  const size_t Threads = this->Options.Threads;
  Server->new_task_queue = [Threads] {
    return new httplib::ThreadPool(Threads);
  };
  addHandlers();
}

http_frontend::~http_frontend() { stop(); }

void http_frontend::start() {
  int BoundPort = Options.Port;
  if (Options.Port == 0)
    BoundPort = Server->bind_to_any_port(Options.Host);
  else if (!Server->bind_to_port(Options.Host, Options.Port))
    BoundPort = -1;
  if (BoundPort < 0)
    throw std::system_error(std::make_error_code(std::errc::address_in_use),
                            "cannot listen for HTTP on " + Options.Host + ":" +
                                std::to_string(Options.Port));
  Port = uint16_t(BoundPort);
  Thread = std::thread([this] { Server->listen_after_bind(); });
  while (!Server->is_running())
    std::this_thread::yield();
}

void http_frontend::stop() {
  if (!Thread.joinable())
    return;
  Server->stop();
  Thread.join();
}

// cpp-httplib parses form bodies, and rejects large ones, depending on
// Content-Type. These bodies must be forwarded unchanged, so their Content-Type
// is moved to another header before the body is read.
static void hideFormContentType(httplib::Request &Request) {
  const std::string Type = Request.get_header_value("Content-Type");
  if (!Type.starts_with("multipart/") &&
      !Type.starts_with("application/x-www-form-urlencoded"))
    return;
  Request.headers.erase("Content-Type");
  Request.set_header(HiddenContentTypeHeader, Type);
}

void http_frontend::addHandlers() {
  using httplib::ContentReader;
  using httplib::Request;
  using httplib::Response;
  Server->set_pre_routing_handler([](const Request &Req, Response &) {
    // cpp-httplib passes its own mutable request object, so removing const is
    // safe.
    auto &Mutable = const_cast<Request &>(Req);
    hideFormContentType(Mutable);
    // The upstream applies ranges; cpp-httplib would apply them a second time.
    Mutable.ranges.clear();
    return httplib::Server::HandlerResponse::Unhandled;
  });
  const auto HandleWithoutBody = [this](const Request &Req, Response &Res) {
    handle(Req, Res, nullptr);
  };
  const auto HandleWithBody = [this](const Request &Req, Response &Res,
                                     const ContentReader &Reader) {
    handle(Req, Res, &Reader);
  };
  Server->Get(".*", HandleWithoutBody);
  Server->Options(".*", HandleWithoutBody);
  Server->Post(".*", HandleWithBody);
  Server->Put(".*", HandleWithBody);
  Server->Patch(".*", HandleWithBody);
  Server->Delete(".*", HandleWithBody);
  Server->set_error_handler([](const Request &, Response &Res) {
    if (!Res.body.empty())
      return;
    const int Status = Res.status;
    sendReply(errorReply(Status, {.Certainty = run_certainty::NotRun,
                                  .Reason = "malformed_request",
                                  .Message = "the HTTP request is malformed or "
                                             "not supported"}),
              Res);
    if (!Res.has_header("X-Request-Id"))
      Res.set_header("X-Request-Id", randomId());
  });
}

// Reads a body of at most Limit bytes. Bytes beyond the limit are read and
// discarded, so the next request on the connection can be parsed.
static std::string readBody(const httplib::ContentReader &Reader,
                            httplib::Response &Response, size_t Limit) {
  std::string Body;
  size_t Total = 0;
  const bool Complete = Reader([&](const char *Data, size_t Size) {
    Total += Size;
    if (Total <= Limit)
      Body.append(Data, Size);
    return Total <= MaxDiscardedBytes;
  });
  if (Total > Limit || Response.status == 413)
    throw input_error(413, "body_too_large", "body",
                      "at most " + std::to_string(Limit) + " bytes");
  if (!Complete)
    throw input_error(400, "body_unreadable", "body",
                      "a body that matches its length and encoding headers");
  return Body;
}

void http_frontend::handle(const httplib::Request &Request,
                           httplib::Response &Response,
                           const httplib::ContentReader *Reader) {
  caller_request Caller{.RequestId = randomId(), .Body = {}, .ContentType = {}};
  Response.set_header("X-Request-Id", Caller.RequestId);
  if (Options.Draining())
    Response.set_header("Connection", "close");
  try {
    if (Reader)
      Caller.Body = readBody(*Reader, Response, Options.MaxBodyBytes);
    Response.status = -1;
    Caller.ContentType = Request.has_header(HiddenContentTypeHeader)
                             ? Request.get_header_value(HiddenContentTypeHeader)
                             : Request.get_header_value("Content-Type");
    serve(std::move(Caller), Request, Response);
  } catch (const input_error &Error) {
    sendReply(errorReply(Error), Response);
  } catch (const std::exception &Error) {
    logError("request_failed",
             {{"path", Request.path}, {"error", Error.what()}});
    sendReply(errorReply(500, {.Certainty = run_certainty::MayHaveRun,
                               .Reason = "internal_error",
                               .Message = Error.what()}),
              Response);
  }
}

http_reply http_frontend::operatorPage(const httplib::Request &Request) {
  http_reply Reply;
  Reply.ContentType = "text/plain";
  if (Request.path == "/healthz") {
    Reply.Body = "ok\n";
    return Reply;
  }
  if (Request.path == "/metrics") {
    Reply.ContentType = "text/plain; version=0.0.4";
    Reply.Body = metrics::get().toPrometheusText();
    return Reply;
  }
  if (Request.path == "/readyz") {
    if (const auto Reason = Options.NotReady())
      return errorReply(503, *Reason);
    Reply.Body = "ready\n";
    return Reply;
  }
  if (auto Page = Options.OnOperatorRequest(Request))
    return std::move(*Page);
  Reply.Status = 0;
  return Reply;
}

void http_frontend::serve(caller_request Caller,
                          const httplib::Request &Request,
                          httplib::Response &Response) {
  if (Request.method == "GET" || Request.method == "HEAD") {
    const http_reply Page = operatorPage(Request);
    if (Page.Status != 0) {
      sendReply(Page, Response);
      return;
    }
  }
  InFlight->fetch_add(1);
  // Destroyed with the response, after its last byte has been written.
  const std::shared_ptr<void> InFlightGuard(
      nullptr, [Counter = InFlight](void *) { Counter->fetch_sub(1); });
  if (const auto Refusal = Options.Refusal()) {
    sendReply(errorReply(*Refusal), Response);
    return;
  }
  const auto Config = Options.CurrentConfig();
  if (Request.path == "/v1/completions") {
    if (Request.method != "POST")
      throw input_error(404, "unknown_route", "method", "POST");
    CallerHandler.handleCompletion(Caller, *Config, Request, Response);
  } else if (auto Call = parseTrainerCall(Request.method, Request.path)) {
    if (!Config->findTrainer(Call->Trainer))
      throw input_error(404, "unknown_trainer", "trainer",
                        "a trainer defined in the rules");
    Call->Body = std::move(Caller.Body);
    sendReply(Options.OnTrainerCall(*Call), Response);
  } else if (const route_rule *Route = Config->findRoute(Request.path)) {
    CallerHandler.handlePlain(Caller, *Route, Request, Response);
  } else {
    throw input_error(404, "unknown_route", "path",
                      "a route defined in the rules");
  }
  if (!Response.content_provider_)
    return;
  auto Release = std::move(Response.content_provider_resource_releaser_);
  Response.content_provider_resource_releaser_ = [Release,
                                                  InFlightGuard](bool Success) {
    if (Release)
      Release(Success);
  };
}

} // namespace cardamom
