#include "http/http_server.h"

#include "base/identifier.h"
#include "base/log.h"
#include "base/metrics.h"
#include "http/event_loop.h"
#include "http/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdio>
#include <deque>
#include <optional>
#include <stdexcept>
#include <unordered_set>

namespace cardamom {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// A connection is closed when the client sends no TCP acknowledgement for this
/// long.
static constexpr milliseconds ClientAckTimeout{5000};
static constexpr size_t ReadChunkBytes = 16384;
/// A stream whose caller has not read this much is ended.
static constexpr size_t MaxUnreadStreamBytes = size_t(8) << 20;
/// Limit on buffered bytes of pipelined requests while one is being handled.
static constexpr size_t MaxPipelinedBytes = 65536;
static constexpr milliseconds AcceptRetryDelay{50};

struct http_server::state : std::enable_shared_from_this<state> {
  state(event_loop &Loop, http_server_options Options)
      : Loop(Loop), Options(std::move(Options)), Acceptor(Loop.context()) {}

  void listen();
  void accept();

  event_loop &Loop;
  http_server_options Options;
  tcp::acceptor Acceptor;
  std::unordered_set<server_connection_state *> OpenConnections;
  size_t InFlight = 0;
  bool Accepting = false;
  std::optional<milliseconds> DrainIdleTimeout;
};

/// Connection of a client. One read loop feeds the parser while a request is
/// being read, and detects a disconnect while a request is being handled.
class server_connection_state
    : public std::enable_shared_from_this<server_connection_state> {
public:
  server_connection_state(std::shared_ptr<http_server::state> Server,
                          tcp::socket Socket)
      : Server(std::move(Server)), Socket(std::move(Socket)) {
    this->Server->OpenConnections.insert(this);
  }
  ~server_connection_state() {
    Server->OpenConnections.erase(this);
    if (!Server->Accepting && Server->Acceptor.is_open())
      Server->accept();
  }

  void start() {
    configureSocket(Socket.native_handle(), ClientAckTimeout);
    beginRequest();
    read();
  }
  void closeWhenIdle(milliseconds IdleFor);
  /// Whether no part of a request has been received that is not answered.
  [[nodiscard]] bool idle() const {
    return !Handling && !Parser->got_some() && Buffer.size() == 0;
  }
  void close();

  void queue(std::string Bytes);
  void queueStreamPart(std::string Bytes);
  void finishResponse();
  void setResponseComplete() { ResponseComplete = true; }
  [[nodiscard]] bool streamOverflowed() const { return StreamOverflowed; }
  /// Returns the request that is being handled, or null.
  [[nodiscard]] exchange_ptr unfinishedExchange() const {
    exchange_ptr Current = Exchange.lock();
    return Current && !Current->ResponseFinished ? Current : nullptr;
  }
  [[nodiscard]] bool closeAfterResponse() const {
    return !KeepAlive || Server->DrainIdleTimeout.has_value();
  }

private:
  using parser = beast::http::request_parser<beast::http::string_body,
                                             std::allocator<char>>;

  void beginRequest();
  void read();
  void onRead(const error_code &Error, size_t Bytes);
  void parse();
  void dispatchRequest();
  void reject(unsigned Status, std::string_view Reason);
  void write();
  void startIdleTimer();
  void onClientDisconnect();

  friend class http_exchange;
  std::shared_ptr<http_server::state> Server;
  tcp::socket Socket;
  beast::flat_buffer Buffer;
  std::optional<parser> Parser;
  std::weak_ptr<http_exchange> Exchange;
  std::deque<std::string> Outgoing;
  size_t OutgoingBytes = 0;
  bool StreamOverflowed = false;
  timer_handle Timer;
  bool Handling = false;
  bool Reading = false;
  bool Writing = false;
  bool ResponseComplete = false;
  bool KeepAlive = true;
  bool CloseAfterWrite = false;
  bool Closed = false;
  bool ContinueSent = false;
};

void server_connection_state::beginRequest() {
  Handling = false;
  ResponseComplete = false;
  ContinueSent = false;
  StreamOverflowed = false;
  Parser.emplace();
  Parser->eager(true);
  Parser->header_limit(uint32_t(Server->Options.Limits.HeaderBytes));
  Parser->body_limit(Server->Options.Limits.BodyBytes);
  startIdleTimer();
}

void server_connection_state::startIdleTimer() {
  const milliseconds IdleTimeout =
      Server->DrainIdleTimeout.value_or(Server->Options.Limits.IdleTimeout);
  if (IdleTimeout.count() == 0 && !Server->DrainIdleTimeout) {
    Timer.reset();
    return;
  }
  closeWhenIdle(IdleTimeout);
}

void server_connection_state::closeWhenIdle(milliseconds IdleFor) {
  if (!idle())
    return;
  Timer = Server->Loop.after(IdleFor, [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && Self->idle())
      Self->close();
  });
}

void server_connection_state::read() {
  if (Closed || Reading)
    return;
  Reading = true;
  Socket.async_read_some(
      Buffer.prepare(ReadChunkBytes),
      [Self = shared_from_this()](const error_code &Error, size_t Bytes) {
        Self->onRead(Error, Bytes);
      });
}

void server_connection_state::onRead(const error_code &Error, size_t Bytes) {
  Reading = false;
  if (Closed)
    return;
  if (Error) {
    onClientDisconnect();
    return;
  }
  Buffer.commit(Bytes);
  if (!Handling)
    parse();
  if (!Closed && (!Handling || Buffer.size() < MaxPipelinedBytes))
    read();
}

void server_connection_state::parse() {
  while (Buffer.size() > 0 && !Handling && !Closed && !CloseAfterWrite) {
    const bool IsFirstInput = !Parser->got_some();
    error_code Error;
    const size_t Consumed = Parser->put(Buffer.data(), Error);
    Buffer.consume(Consumed);
    if (IsFirstInput) {
      const milliseconds Limit = Server->Options.Limits.HeaderTimeout;
      if (Limit.count() > 0)
        Timer = Server->Loop.after(Limit, [Weak = weak_from_this()] {
          const auto Self = Weak.lock();
          if (Self && !Self->Handling && !Self->Parser->is_header_done())
            Self->reject(408, "header timeout");
        });
    }
    if (Error == beast::http::error::header_limit)
      return reject(431, "header too large");
    if (Error == beast::http::error::body_limit)
      return reject(413, "body too large");
    if (Error && Error != beast::http::error::need_more)
      return reject(400, Error.message());
    if (Parser->is_done())
      return dispatchRequest();
    if (Parser->is_header_done() && !ContinueSent) {
      ContinueSent = true;
      if (equalsIgnoringCase(std::string_view(Parser->get()["Expect"]),
                             "100-continue"))
        queue("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (Error == beast::http::error::need_more || Consumed == 0)
      return;
  }
}

void server_connection_state::dispatchRequest() {
  Handling = true;
  Timer.reset();
  auto &Message = Parser->get();
  KeepAlive = Message.keep_alive();
  http_request Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers.add(std::string_view(Field.name_string()),
                        std::string_view(Field.value()));
  Request.Body = std::move(Message.body());
  ++Server->InFlight;
  const auto NewExchange = std::make_shared<http_exchange>(
      shared_from_this(), std::move(Request), event_loop::now());
  Exchange = NewExchange;
  handleExchange(NewExchange, [&] { Server->Options.OnRequest(NewExchange); });
}

void server_connection_state::reject(unsigned Status, std::string_view Reason) {
  KeepAlive = false;
  CloseAfterWrite = true;
  std::string Body(Reason);
  Body += '\n';
  queue("HTTP/1.1 " + std::to_string(Status) +
        " Refused\r\nConnection: close\r\nContent-Type: text/plain\r\n"
        "Content-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

void server_connection_state::queue(std::string Bytes) {
  if (Closed)
    return;
  OutgoingBytes += Bytes.size();
  Outgoing.push_back(std::move(Bytes));
  if (!Writing)
    write();
}

void server_connection_state::queueStreamPart(std::string Bytes) {
  if (StreamOverflowed)
    return;
  if (OutgoingBytes + Bytes.size() <= MaxUnreadStreamBytes) {
    queue(std::move(Bytes));
    return;
  }
  StreamOverflowed = true;
  // Deferred: the callback may destroy the call that is writing this part.
  Server->Loop.post([Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->onClientDisconnect();
  });
}

void server_connection_state::write() {
  Writing = true;
  asio::async_write(
      Socket, asio::buffer(Outgoing.front()),
      [Self = shared_from_this()](const error_code &Error, size_t /*Bytes*/) {
        Self->Writing = false;
        if (Self->Closed)
          return;
        if (Error) {
          Self->onClientDisconnect();
          return;
        }
        Self->OutgoingBytes -= Self->Outgoing.front().size();
        Self->Outgoing.pop_front();
        if (!Self->Outgoing.empty()) {
          Self->write();
          return;
        }
        if (Self->CloseAfterWrite) {
          Self->close();
          return;
        }
        if (Self->ResponseComplete)
          Self->finishResponse();
      });
}

void server_connection_state::finishResponse() {
  if (closeAfterResponse()) {
    close();
    return;
  }
  beginRequest();
  parse();
  read();
}

void server_connection_state::onClientDisconnect() {
  const auto Current = Exchange.lock();
  close();
  if (!Current || Current->ResponseFinished)
    return;
  if (auto Callback = std::move(Current->OnClientDisconnect))
    Callback();
}

void server_connection_state::close() {
  if (Closed)
    return;
  Closed = true;
  Timer.reset();
  error_code Ignored;
  // If no received data is left unread, this sends FIN instead of RST, so that
  // the client can still read the response.
  Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  Socket.close(Ignored);
}

//===--- http_exchange ---===//

static std::string_view reasonPhrase(unsigned Status) {
  return std::string_view(
      beast::http::obsolete_reason(beast::http::status(Status)));
}

static std::string serializeHead(const http_response &Response, bool Close) {
  std::string Out = "HTTP/1.1 " + std::to_string(Response.Status) + ' ';
  Out += reasonPhrase(Response.Status);
  Out += "\r\n";
  for (const http_header &Header : Response.Headers) {
    Out += Header.Name;
    Out += ": ";
    Out += Header.Value;
    Out += "\r\n";
  }
  if (Close)
    Out += "Connection: close\r\n";
  return Out;
}

http_exchange::http_exchange(
    std::shared_ptr<server_connection_state> Connection, http_request Request,
    time_point ReceivedAt)
    : Connection(std::move(Connection)), Request(std::move(Request)),
      ReceivedAt(ReceivedAt) {}

http_exchange::~http_exchange() {
  --Connection->Server->InFlight;
  if (!ResponseFinished)
    Connection->close();
}

void http_exchange::respond(http_response Response) {
  if (ResponseStarted)
    return;
  ResponseStarted = true;
  ResponseFinished = true;
  Response.Headers.removeHopByHopHeaders();
  std::string Bytes = serializeHead(Response, Connection->closeAfterResponse());
  Bytes += "Content-Length: " + std::to_string(Response.Body.size()) +
           "\r\n\r\n" + Response.Body;
  Connection->setResponseComplete();
  Connection->queue(std::move(Bytes));
}

void http_exchange::startStream(http_response Head) {
  if (ResponseStarted)
    return;
  ResponseStarted = true;
  Head.Headers.removeHopByHopHeaders();
  Connection->queue(serializeHead(Head, Connection->closeAfterResponse()) +
                    "Transfer-Encoding: chunked\r\n\r\n");
}

void http_exchange::writeStream(std::string_view Data) {
  if (!ResponseStarted || ResponseFinished || Data.empty())
    return;
  char Size[20];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Data.size());
  std::string Chunk(Size);
  Chunk += Data;
  Chunk += "\r\n";
  Connection->queueStreamPart(std::move(Chunk));
}

void http_exchange::finishStream() {
  if (!ResponseStarted || ResponseFinished)
    return;
  // Without a final chunk, the response does not look complete.
  if (Connection->streamOverflowed())
    return;
  ResponseFinished = true;
  Connection->setResponseComplete();
  Connection->queue("0\r\n\r\n");
}

void http_exchange::abort() {
  ResponseStarted = true;
  ResponseFinished = true;
  Connection->close();
}

void handleExchange(const exchange_ptr &Exchange,
                    const std::function<void()> &Task) {
  try {
    Task();
  } catch (const std::exception &Error) {
    metrics::get().counter("request_exceptions_total").add();
    logError("request_failed",
             {{"method", Exchange->request().Method},
              {"path", std::string(pathOf(Exchange->request().Target))},
              {"error", Error.what()}});
    if (Exchange->responseStarted())
      Exchange->abort();
    else
      Exchange->respond({.Status = 500, .Headers = {}, .Body = {}});
  }
}

//===--- http_server ---===//

void http_server::state::listen() {
  const auto Address = parseIpPort(Options.Listen);
  if (!Address)
    throw std::runtime_error("\"" + Options.Listen + "\" is not " +
                             std::string(IpPortFormat));
  const tcp::endpoint Endpoint(asio::ip::make_address(Address->Ip),
                               Address->Port);
  try {
    Acceptor.open(Endpoint.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(Endpoint);
    Acceptor.listen(1024);
  } catch (const boost::system::system_error &Error) {
    throw std::runtime_error("cannot listen on " + Options.Listen + ": " +
                             Error.what());
  }
  accept();
}

void http_server::state::accept() {
  if (OpenConnections.size() >= Options.MaxConnections) {
    Accepting = false;
    return;
  }
  Accepting = true;
  Acceptor.async_accept([Weak = weak_from_this()](const error_code &Error,
                                                  tcp::socket Socket) {
    const auto Self = Weak.lock();
    if (!Self || Error == asio::error::operation_aborted)
      return;
    if (Error) {
      // Usually out of file descriptors; retry when some may have been closed.
      asio::post(Self->Acceptor.get_executor(), [] {});
      auto Timer = std::make_shared<timer_handle>();
      *Timer = Self->Loop.after(AcceptRetryDelay, [Self, Timer] {
        Timer->reset();
        Self->accept();
      });
      return;
    }
    std::make_shared<server_connection_state>(Self, std::move(Socket))->start();
    Self->accept();
  });
}

http_server::http_server(event_loop &Loop, http_server_options Options)
    : State(std::make_shared<state>(Loop, std::move(Options))) {
  State->listen();
}

http_server::~http_server() {
  error_code Ignored;
  State->Acceptor.close(Ignored);
  const auto Open = State->OpenConnections;
  for (server_connection_state *Connection : Open)
    Connection->close();
}

void http_server::setLimits(const http_server_limits &Limits) {
  State->Options.Limits = Limits;
}

void http_server::drain(milliseconds IdleFor) {
  State->DrainIdleTimeout = IdleFor;
  const auto Open = State->OpenConnections;
  for (server_connection_state *Connection : Open)
    Connection->closeWhenIdle(IdleFor);
}

void http_server::refuseConnections() {
  error_code Ignored;
  State->Acceptor.close(Ignored);
}

size_t http_server::requestsInFlight() const { return State->InFlight; }

size_t http_server::connections() const {
  return State->OpenConnections.size();
}

std::vector<exchange_ptr> http_server::unfinishedExchanges() const {
  std::vector<exchange_ptr> Exchanges;
  for (const server_connection_state *Connection : State->OpenConnections)
    if (exchange_ptr Exchange = Connection->unfinishedExchange())
      Exchanges.push_back(std::move(Exchange));
  return Exchanges;
}

} // namespace cardamom
