#include "http/http_client.h"

#include "base/identifier.h"
#include "base/log.h"
#include "base/metrics.h"
#include "http/event_loop.h"
#include "http/socket_options.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_dynamic_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <vector>

namespace cardamom {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

static constexpr size_t ReadChunkBytes = 16384;
/// A copy of a response arrives where the next one is expected, so that the id
/// of the last request would do for a peer that sends each copy once.
static constexpr size_t MaxSentIds = 64;
/// A write that starts this long after the call is logged.
static constexpr milliseconds LateWrite{300};

std::string_view toString(call_result Result) {
  switch (Result) {
  case call_result::Complete:
    return "complete";
  case call_result::NotConnected:
    return "not_connected";
  case call_result::Withheld:
    return "withheld";
  case call_result::NoResponse:
    return "no_answer";
  case call_result::InvalidResponse:
    break;
  }
  return "broken_answer";
}

namespace {
class connection;
using connection_ptr = std::shared_ptr<connection>;
} // namespace

struct http_client::state : std::enable_shared_from_this<state> {
  state(event_loop &Loop, http_client_options Options)
      : Loop(Loop), Options(Options) {}

  /// Returns null if there is no idle connection for a request with this id.
  connection_ptr takeIdle(const std::string &Address,
                          std::string_view RequestId);
  void addIdle(const connection_ptr &Connection);
  void removeIdle(const connection *Connection);

  event_loop &Loop;
  http_client_options Options;
  /// Idle connections by address, least recently used first.
  std::map<std::string, std::vector<connection_ptr>> IdleConnections;
  size_t ConnectionsOpened = 0;
};

namespace {

/// Connection to an upstream. It serves one call at a time. Its read loop also
/// runs between calls, to detect a close by the peer or unsolicited data.
class connection : public std::enable_shared_from_this<connection> {
public:
  connection(std::shared_ptr<http_client::state> Client, std::string Address)
      : Client(std::move(Client)), Address(std::move(Address)),
        Socket(this->Client->Loop.context()) {}

  void open();
  void startCall(const std::shared_ptr<client_call_state> &NewCall);
  void close();
  /// Closes the connection without running hooks.
  void cancelCall() {
    Call.reset();
    close();
  }
  void startIdleTimer();
  [[nodiscard]] bool hasSent(std::string_view RequestId) const;

  std::shared_ptr<http_client::state> Client;
  const std::string Address;
  bool HasServedCall = false;

private:
  void rememberSent(std::string_view RequestId);

  // A string_body would reserve memory for the whole Content-Length, which the
  // peer chooses.
  using parser = beast::http::response_parser<
      beast::http::basic_dynamic_body<beast::flat_buffer>,
      std::allocator<char>>;

  void writeRequest();
  void read();
  void onRead(const error_code &Error, size_t Bytes);
  void onReadError(const error_code &Error);
  void onEndOfStream();
  void parse();
  bool deliverParsed();
  void startResponse();
  void completeCall();
  void failCall(call_result Result, std::string Detail);
  void deliverHead();

  tcp::socket Socket;
  beast::flat_buffer Buffer;
  std::optional<parser> Parser;
  std::string Outgoing;
  time_point CallStartedAt{};
  std::weak_ptr<client_call_state> Call;
  /// Hashes of the ids of the last requests on this connection, oldest first.
  std::deque<size_t> SentIds;
  timer_handle Timer;
  bool Connected = false;
  bool CallInProgress = false;
  bool Closed = false;
  bool ExpectsNoBody = false;
  bool HeadDelivered = false;
  bool ResponseStarted = false;
  /// Bytes received since the last part of the body, or since the start.
  size_t FramingBytes = 0;
  /// A response may arrive before the request has been written completely.
  bool Writing = false;
  /// The connection failed before the peer's end of stream was received.
  bool WriteAborted = false;
};

} // namespace

class client_call_state {
public:
  ~client_call_state() {
    if (Connection)
      Connection->cancelCall();
  }
  call_hooks Hooks;
  std::string Request;
  /// A response to HEAD has no body, whatever length it states.
  bool IsHead = false;
  connection_ptr Connection;
  bool Reused = false;
  /// Only for fetch().
  http_response CollectedResponse;
  timer_handle Deadline;
};

void connection::open() {
  const auto Parsed = parseIpPort(Address);
  if (!Parsed) {
    // Reported from the event loop, because no hook may run inside send().
    Client->Loop.post([Self = shared_from_this()] {
      Self->failCall(call_result::NotConnected,
                     "\"" + Self->Address + "\" is not an IP address and port");
    });
    return;
  }
  ++Client->ConnectionsOpened;
  Timer = Client->Loop.after(
      Client->Options.ConnectTimeout, [Weak = weak_from_this()] {
        if (const auto Self = Weak.lock())
          Self->failCall(call_result::NotConnected, "connect timeout");
      });
  Socket.async_connect(
      tcp::endpoint(asio::ip::make_address(Parsed->Ip), Parsed->Port),
      [Self = shared_from_this()](const error_code &Error) {
        if (Self->Closed)
          return;
        Self->Timer.reset();
        if (Error) {
          Self->failCall(call_result::NotConnected, Error.message());
          return;
        }
        Self->Connected = true;
        configureSocket(Self->Socket.native_handle(),
                        Self->Client->Options.AckTimeout);
        const auto Current = Self->Call.lock();
        if (Current && Current->Hooks.MayWrite && !Current->Hooks.MayWrite()) {
          Self->failCall(call_result::Withheld, "the request is outdated");
          return;
        }
        Self->writeRequest();
        Self->read();
      });
}

void connection::startCall(const std::shared_ptr<client_call_state> &NewCall) {
  Call = NewCall;
  NewCall->Connection = shared_from_this();
  NewCall->Reused = HasServedCall;
  CallInProgress = true;
  CallStartedAt = event_loop::now();
  HeadDelivered = false;
  ResponseStarted = false;
  Outgoing = std::move(NewCall->Request);
  ExpectsNoBody = NewCall->IsHead;
  FramingBytes = 0;
  startResponse();
  rememberSent(NewCall->Hooks.RequestId);
  Timer.reset();
  if (Connected)
    writeRequest();
  else
    open();
  HasServedCall = true;
}

static size_t hashId(std::string_view RequestId) {
  return std::hash<std::string_view>()(RequestId);
}

bool connection::hasSent(std::string_view RequestId) const {
  return !RequestId.empty() && std::find(SentIds.begin(), SentIds.end(),
                                         hashId(RequestId)) != SentIds.end();
}

void connection::rememberSent(std::string_view RequestId) {
  if (RequestId.empty())
    return;
  SentIds.push_back(hashId(RequestId));
  if (SentIds.size() > MaxSentIds)
    SentIds.pop_front();
}

void connection::startResponse() {
  Parser.emplace();
  Parser->eager(true);
  Parser->header_limit(uint32_t(Client->Options.MaxHeaderBytes));
  Parser->body_limit(boost::none);
  Parser->skip(ExpectsNoBody);
}

/// Logs a request that is written long after its replica was chosen.
static void observeWriteDelay(std::string_view Address,
                              time_point::duration Delay) {
  const auto Ms = std::chrono::duration_cast<milliseconds>(Delay);
  static metric_histogram &Delays =
      metrics::get().histogram("request_write_delay_ms");
  Delays.record(double(Ms.count()));
  if (Ms >= LateWrite)
    logInfo("late_write", {{"address", std::string(Address)},
                           {"ms", std::to_string(Ms.count())}});
}

void connection::writeRequest() {
  observeWriteDelay(Address, event_loop::now() - CallStartedAt);
  Writing = true;
  asio::async_write(
      Socket, asio::buffer(Outgoing),
      [Self = shared_from_this()](const error_code &Error, size_t /*Bytes*/) {
        // The read loop reports the error after it has processed the data
        // that the peer sent before the failure.
        Self->Writing = bool(Error);
        // EPIPE is the error of a reset that follows the peer's end of stream.
        Self->WriteAborted = Error && Error != asio::error::broken_pipe;
      });
}

void connection::read() {
  if (Closed)
    return;
  Socket.async_read_some(
      Buffer.prepare(ReadChunkBytes),
      [Self = shared_from_this()](const error_code &Error, size_t Bytes) {
        Self->onRead(Error, Bytes);
      });
}

void connection::onRead(const error_code &Error, size_t Bytes) {
  if (Closed)
    return;
  if (Error) {
    onReadError(Error);
    return;
  }
  Buffer.commit(Bytes);
  if (!CallInProgress) {
    // The peer sent data although no request is outstanding.
    close();
    return;
  }
  ResponseStarted = true;
  parse();
  read();
}

void connection::onReadError(const error_code &Error) {
  if (!CallInProgress) {
    close();
    return;
  }
  if (!ResponseStarted) {
    failCall(call_result::NoResponse, Error.message());
    return;
  }
  if (Error == asio::error::eof && Parser->is_header_done() &&
      !Parser->is_done()) {
    // An error of a socket is reported only once. If a write got it, the read
    // gets the end of the stream, maybe before the write's completion has run.
    Client->Loop.post([Self = shared_from_this()] { Self->onEndOfStream(); });
    return;
  }
  failCall(call_result::InvalidResponse, Error.message());
}

void connection::onEndOfStream() {
  if (Closed)
    return;
  error_code Error;
  Parser->put_eof(Error);
  if (!Error && Parser->is_done() && !WriteAborted)
    completeCall();
  else
    failCall(call_result::InvalidResponse, "the connection ended early");
}

/// Returns whether a line of the head that Bytes starts with continues the line
/// before it (RFC 9112, 5.2). Bytes starts at the beginning of a line.
static bool hasFoldedLine(std::string_view Bytes) {
  size_t LineEnd = 0;
  while ((LineEnd = Bytes.find("\r\n")) != std::string_view::npos &&
         LineEnd > 0) {
    Bytes.remove_prefix(LineEnd + 2);
    if (Bytes.starts_with(' ') || Bytes.starts_with('\t'))
      return true;
  }
  return false;
}

void connection::parse() {
  while (!Closed && CallInProgress && Buffer.size() > 0) {
    error_code Error;
    const bool InHead = !Parser->is_header_done();
    const auto Unparsed = Buffer.data();
    const size_t Consumed = Parser->put(Unparsed, Error);
    // The parser consumes only whole fields of a head, with the lines that
    // continue them, and would join these lines.
    const bool Folded =
        InHead &&
        hasFoldedLine({static_cast<const char *>(Unparsed.data()), Consumed});
    Buffer.consume(Consumed);
    const size_t BodyBytes =
        Parser->is_header_done() ? Parser->get().body().size() : 0;
    FramingBytes = BodyBytes > 0 ? 0 : FramingBytes + Consumed;
    if (FramingBytes + Buffer.size() > Client->Options.MaxHeaderBytes) {
      failCall(call_result::InvalidResponse, "head or framing too large");
      return;
    }
    if (Error && Error != beast::http::error::need_more) {
      failCall(call_result::InvalidResponse, Error.message());
      return;
    }
    // The parser accepts any three digits.
    if (Parser->is_header_done() &&
        !isValidStatus(Parser->get().result_int())) {
      failCall(call_result::InvalidResponse, "status out of range");
      return;
    }
    if (Folded) {
      failCall(call_result::InvalidResponse, "folded header line");
      return;
    }
    // A hook may have cancelled the call.
    if (!deliverParsed() || Closed)
      return;
    if (Parser->is_done()) {
      completeCall();
      return;
    }
    if (Error == beast::http::error::need_more || Consumed == 0)
      return;
  }
}

bool connection::deliverParsed() {
  if (!Parser->is_header_done())
    return true;
  if (Parser->get().result_int() / 100 == 1) {
    startResponse();
    return true;
  }
  const std::weak_ptr<connection> Alive = weak_from_this();
  const auto Current = Call.lock();
  if (!Current)
    return false;
  if (!HeadDelivered) {
    HeadDelivered = true;
    http_response Head{
        .Status = Parser->get().result_int(), .Headers = {}, .Body = {}};
    for (const auto &Field : Parser->get())
      Head.Headers.add(std::string_view(Field.name_string()),
                       std::string_view(Field.value()));
    if (Current->Hooks.OnHead)
      Current->Hooks.OnHead(Head);
    if (Closed)
      return false;
  }
  beast::flat_buffer &Body = Parser->get().body();
  if (Body.size() > 0) {
    const std::string Data = beast::buffers_to_string(Body.data());
    Body.consume(Body.size());
    if (Current->Hooks.OnBody)
      Current->Hooks.OnBody(Data);
  }
  return !Closed;
}

void connection::completeCall() {
  const auto Current = Call.lock();
  Call.reset();
  CallInProgress = false;
  const bool KeepAlive = Parser->keep_alive() && !Parser->need_eof() &&
                         Buffer.size() == 0 && Connected && !Writing;
  const bool Reused = Current && Current->Reused;
  if (Current)
    Current->Connection.reset();
  if (KeepAlive)
    Client->addIdle(shared_from_this());
  else
    close();
  if (Current && Current->Hooks.OnEnd)
    Current->Hooks.OnEnd(
        {.Result = call_result::Complete, .Reused = Reused, .Detail = {}});
}

void connection::failCall(call_result Result, std::string Detail) {
  const auto Current = Call.lock();
  Call.reset();
  close();
  if (!Current)
    return;
  Current->Connection.reset();
  if (Current->Hooks.OnEnd)
    Current->Hooks.OnEnd({.Result = Result,
                          .Reused = Current->Reused,
                          .Detail = std::move(Detail)});
}

void connection::close() {
  if (Closed)
    return;
  Closed = true;
  CallInProgress = false;
  Timer.reset();
  error_code Ignored;
  Socket.close(Ignored);
  Client->removeIdle(this);
}

void connection::startIdleTimer() {
  Timer = Client->Loop.after(Client->Options.IdleTimeout,
                             [Weak = weak_from_this()] {
                               if (const auto Self = Weak.lock())
                                 Self->close();
                             });
}

connection_ptr http_client::state::takeIdle(const std::string &Address,
                                            std::string_view RequestId) {
  const auto It = IdleConnections.find(Address);
  if (It == IdleConnections.end())
    return nullptr;
  // The most recently used one is the least likely to be closed by the peer.
  const auto Found = std::find_if(It->second.rbegin(), It->second.rend(),
                                  [&](const connection_ptr &Candidate) {
                                    return !Candidate->hasSent(RequestId);
                                  });
  if (Found == It->second.rend())
    return nullptr;
  connection_ptr Connection = *Found;
  It->second.erase(std::next(Found).base());
  if (It->second.empty())
    IdleConnections.erase(It);
  return Connection;
}

void http_client::state::addIdle(const connection_ptr &Connection) {
  std::vector<connection_ptr> &Connections =
      IdleConnections[Connection->Address];
  if (Connections.size() >= Options.MaxIdlePerAddress) {
    Connection->close();
    return;
  }
  Connection->startIdleTimer();
  Connections.push_back(Connection);
}

void http_client::state::removeIdle(const connection *Connection) {
  const auto It = IdleConnections.find(Connection->Address);
  if (It == IdleConnections.end())
    return;
  std::erase_if(It->second, [&](const connection_ptr &Candidate) {
    return Candidate.get() == Connection;
  });
  if (It->second.empty())
    IdleConnections.erase(It);
}

static std::string serializeRequest(const http_request &Request) {
  std::string Out = Request.Method + ' ' + Request.Target + " HTTP/1.1\r\n";
  for (const http_header &Header : Request.Headers)
    Out += Header.Name + ": " + Header.Value + "\r\n";
  if (!Request.Body.empty() || Request.Method == "POST" ||
      Request.Method == "PUT")
    Out += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  return Out + "\r\n" + Request.Body;
}

http_client::http_client(event_loop &Loop, http_client_options Options)
    : State(std::make_shared<state>(Loop, Options)) {}

http_client::~http_client() {
  const auto Idle = std::move(State->IdleConnections);
  State->IdleConnections.clear();
  for (const auto &[Address, Connections] : Idle)
    for (const connection_ptr &Connection : Connections)
      Connection->close();
}

call_handle http_client::send(const std::string &Address,
                              const http_request &Request, call_hooks Hooks) {
  auto Call = std::make_shared<client_call_state>();
  Call->Hooks = std::move(Hooks);
  Call->Request = serializeRequest(Request);
  Call->IsHead = Request.Method == "HEAD";
  connection_ptr Connection = State->takeIdle(Address, Call->Hooks.RequestId);
  if (!Connection)
    Connection = std::make_shared<connection>(State, Address);
  Connection->startCall(Call);
  return Call;
}

/// Closes the connection of a fetch and reports its end.
static void endFetch(
    client_call_state &Call, call_result Result, std::string Detail,
    const std::function<void(const call_completion &, http_response)> &OnEnd,
    bool BodyTooLarge = false) {
  const connection_ptr Connection = std::move(Call.Connection);
  Call.Connection.reset();
  const bool Reused = Call.Reused;
  Connection->cancelCall();
  OnEnd({.Result = Result,
         .Reused = Reused,
         .Detail = std::move(Detail),
         .BodyTooLarge = BodyTooLarge},
        {});
}

call_handle http_client::fetch(
    const std::string &Address, const http_request &Request,
    milliseconds Timeout,
    const std::function<void(const call_completion &, http_response)> &OnEnd,
    std::function<bool()> MayWrite) {
  call_handle Call = send(Address, Request, {.MayWrite = std::move(MayWrite)});
  const std::weak_ptr<client_call_state> Weak = Call;
  Call->Hooks.OnHead = [Weak](const http_response &Head) {
    if (const auto Self = Weak.lock())
      Self->CollectedResponse = Head;
  };
  Call->Hooks.OnBody = [Weak, OnEnd, MaxBytes = State->Options.MaxFetchedBytes](
                           std::string_view Data) {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    std::string &Body = Self->CollectedResponse.Body;
    Body += Data;
    if (Body.size() > MaxBytes)
      endFetch(*Self, call_result::InvalidResponse, "body too large", OnEnd,
               /*BodyTooLarge=*/true);
  };
  Call->Hooks.OnEnd = [Weak, OnEnd](const call_completion &End) {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    Self->Deadline.reset();
    OnEnd(End, std::move(Self->CollectedResponse));
  };
  Call->Deadline = State->Loop.after(Timeout, [Weak, OnEnd] {
    if (const auto Self = Weak.lock(); Self && Self->Connection)
      endFetch(*Self, call_result::NoResponse, "timeout", OnEnd);
  });
  return Call;
}

void http_client::closeIdleConnections(const std::string &Address) {
  const auto It = State->IdleConnections.find(Address);
  if (It == State->IdleConnections.end())
    return;
  const auto Connections = std::move(It->second);
  State->IdleConnections.erase(It);
  for (const connection_ptr &Connection : Connections)
    Connection->close();
}

size_t http_client::connectionsOpened() const {
  return State->ConnectionsOpened;
}

} // namespace cardamom
