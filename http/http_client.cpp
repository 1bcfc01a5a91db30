#include "http/http_client.h"

#include "base/identifier.h"
#include "http/event_loop.h"
#include "http/socket_options.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <optional>
#include <vector>

namespace cardamom {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

static constexpr size_t ReadChunkBytes = 16384;

std::string_view toString(call_result Result) {
  switch (Result) {
  case call_result::Complete:
    return "complete";
  case call_result::NotConnected:
    return "not_connected";
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

  connection_ptr takeIdle(const std::string &Address);
  void addIdle(const connection_ptr &Connection);
  void removeIdle(const connection *Connection);

  event_loop &Loop;
  http_client_options Options;
  /// Kept connections without a request; the last one was used last.
  std::map<std::string, std::vector<connection_ptr>> IdleConnections;
  size_t ConnectionsOpened = 0;
};

namespace {

/// One connection to an upstream. It serves one call at a time; its read loop
/// runs all the while, so that a close or stray bytes are noticed between
/// calls.
class connection : public std::enable_shared_from_this<connection> {
public:
  connection(std::shared_ptr<http_client::state> Client, std::string Address)
      : Client(std::move(Client)), Address(std::move(Address)),
        Socket(this->Client->Loop.context()) {}

  void open();
  void begin(const std::shared_ptr<client_call_state> &NewCall);
  void close();
  /// The call has been given up.
  void abandon() {
    Call.reset();
    close();
  }
  void startIdleTimer();

  std::shared_ptr<http_client::state> Client;
  const std::string Address;
  bool Used = false;

private:
  using parser = beast::http::response_parser<beast::http::string_body,
                                              std::allocator<char>>;

  void writeRequest();
  void read();
  void onRead(const error_code &Error, size_t Bytes);
  void onEnd(const error_code &Error);
  void parse();
  bool deliver();
  void finish();
  void fail(call_result Result, std::string Detail);
  void deliverHead();

  tcp::socket Socket;
  beast::flat_buffer Buffer;
  std::optional<parser> Parser;
  std::string Outgoing;
  std::weak_ptr<client_call_state> Call;
  timer_handle Timer;
  bool Connected = false;
  bool Busy = false;
  bool Closed = false;
  bool HeadDelivered = false;
  bool GotBytes = false;
  /// A response may come before the request has been written whole.
  bool Writing = false;
};

} // namespace

class client_call_state {
public:
  ~client_call_state() {
    if (Connection)
      Connection->abandon();
  }
  call_hooks Hooks;
  std::string Request;
  connection_ptr Connection;
  bool Reused = false;
  /// Only for fetch().
  http_response CollectedResponse;
  timer_handle Deadline;
};

void connection::open() {
  const auto Parsed = parseIpPort(Address);
  if (!Parsed) {
    // Reported from the loop, because no hook may run inside send().
    Client->Loop.post([Self = shared_from_this()] {
      Self->fail(call_result::NotConnected,
                 "\"" + Self->Address + "\" is not an address");
    });
    return;
  }
  ++Client->ConnectionsOpened;
  Timer = Client->Loop.after(
      Client->Options.ConnectTimeout, [Weak = weak_from_this()] {
        if (const auto Self = Weak.lock())
          Self->fail(call_result::NotConnected, "connect timeout");
      });
  Socket.async_connect(
      tcp::endpoint(asio::ip::make_address(Parsed->Ip), Parsed->Port),
      [Self = shared_from_this()](const error_code &Error) {
        if (Self->Closed)
          return;
        Self->Timer.reset();
        if (Error) {
          Self->fail(call_result::NotConnected, Error.message());
          return;
        }
        Self->Connected = true;
        configureSocket(Self->Socket.native_handle(),
                        Self->Client->Options.AckTimeout);
        Self->writeRequest();
        Self->read();
      });
}

void connection::begin(const std::shared_ptr<client_call_state> &NewCall) {
  Call = NewCall;
  NewCall->Connection = shared_from_this();
  NewCall->Reused = Used;
  Busy = true;
  HeadDelivered = false;
  GotBytes = false;
  Outgoing = std::move(NewCall->Request);
  Parser.emplace();
  Parser->eager(true);
  Parser->header_limit(uint32_t(Client->Options.MaxHeaderBytes));
  Parser->body_limit(boost::none);
  Timer.reset();
  if (Connected)
    writeRequest();
  else
    open();
  Used = true;
}

void connection::writeRequest() {
  Writing = true;
  asio::async_write(
      Socket, asio::buffer(Outgoing),
      [Self = shared_from_this()](const error_code &Error, size_t /*Bytes*/) {
        // A failure is reported by the read loop, after the bytes that the
        // peer sent before it.
        Self->Writing = bool(Error);
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
    onEnd(Error);
    return;
  }
  Buffer.commit(Bytes);
  if (!Busy) {
    // Bytes without a request belong to no call.
    close();
    return;
  }
  GotBytes = true;
  parse();
  read();
}

void connection::onEnd(const error_code &Error) {
  if (!Busy) {
    close();
    return;
  }
  if (!GotBytes) {
    fail(call_result::NoResponse, Error.message());
    return;
  }
  if (Error == asio::error::eof && Parser->is_header_done() &&
      !Parser->is_done()) {
    error_code Ended;
    Parser->put_eof(Ended);
    if (!Ended && Parser->is_done()) {
      finish();
      return;
    }
  }
  fail(call_result::InvalidResponse, Error.message());
}

void connection::parse() {
  while (!Closed && Busy && Buffer.size() > 0) {
    error_code Error;
    const size_t Used = Parser->put(Buffer.data(), Error);
    Buffer.consume(Used);
    if (Error && Error != beast::http::error::need_more) {
      fail(call_result::InvalidResponse, Error.message());
      return;
    }
    // A hook may have given the call up.
    if (!deliver() || Closed)
      return;
    if (Parser->is_done()) {
      finish();
      return;
    }
    if (Error == beast::http::error::need_more || Used == 0)
      return;
  }
}

bool connection::deliver() {
  if (!Parser->is_header_done())
    return true;
  if (Parser->get().result_int() / 100 == 1) {
    Parser.emplace();
    Parser->eager(true);
    Parser->body_limit(boost::none);
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
  std::string &Body = Parser->get().body();
  if (!Body.empty()) {
    const std::string Data = std::move(Body);
    Body.clear();
    if (Current->Hooks.OnBody)
      Current->Hooks.OnBody(Data);
  }
  return !Closed;
}

void connection::finish() {
  const auto Current = Call.lock();
  Call.reset();
  Busy = false;
  const bool Keep = Parser->keep_alive() && !Parser->need_eof() &&
                    Buffer.size() == 0 && Connected && !Writing;
  const bool Reused = Current && Current->Reused;
  if (Current)
    Current->Connection.reset();
  if (Keep)
    Client->addIdle(shared_from_this());
  else
    close();
  if (Current && Current->Hooks.OnEnd)
    Current->Hooks.OnEnd(
        {.Result = call_result::Complete, .Reused = Reused, .Detail = {}});
}

void connection::fail(call_result Result, std::string Detail) {
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
  Busy = false;
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

connection_ptr http_client::state::takeIdle(const std::string &Address) {
  const auto It = IdleConnections.find(Address);
  if (It == IdleConnections.end())
    return nullptr;
  connection_ptr Connection = std::move(It->second.back());
  It->second.pop_back();
  if (It->second.empty())
    IdleConnections.erase(It);
  return Connection;
}

void http_client::state::addIdle(const connection_ptr &Connection) {
  std::vector<connection_ptr> &Kept = IdleConnections[Connection->Address];
  if (Kept.size() >= Options.MaxIdlePerAddress) {
    Connection->close();
    return;
  }
  Connection->startIdleTimer();
  Kept.push_back(Connection);
}

void http_client::state::removeIdle(const connection *Connection) {
  const auto It = IdleConnections.find(Connection->Address);
  if (It == IdleConnections.end())
    return;
  std::erase_if(It->second, [&](const connection_ptr &Kept) {
    return Kept.get() == Connection;
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
  for (const auto &[Address, Kept] : Idle)
    for (const connection_ptr &Connection : Kept)
      Connection->close();
}

call_handle http_client::send(const std::string &Address,
                              const http_request &Request, call_hooks Hooks) {
  auto Call = std::make_shared<client_call_state>();
  Call->Hooks = std::move(Hooks);
  Call->Request = serializeRequest(Request);
  connection_ptr Connection = State->takeIdle(Address);
  if (!Connection)
    Connection = std::make_shared<connection>(State, Address);
  Connection->begin(Call);
  return Call;
}

call_handle http_client::fetch(
    const std::string &Address, const http_request &Request,
    milliseconds Timeout,
    const std::function<void(const call_completion &, http_response)> &OnEnd) {
  call_handle Call = send(Address, Request, {});
  const std::weak_ptr<client_call_state> Weak = Call;
  Call->Hooks.OnHead = [Weak](const http_response &Head) {
    if (const auto Self = Weak.lock())
      Self->CollectedResponse = Head;
  };
  Call->Hooks.OnBody = [Weak](std::string_view Data) {
    if (const auto Self = Weak.lock())
      Self->CollectedResponse.Body += Data;
  };
  Call->Hooks.OnEnd = [Weak, OnEnd](const call_completion &End) {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    Self->Deadline.reset();
    OnEnd(End, std::move(Self->CollectedResponse));
  };
  Call->Deadline = State->Loop.after(Timeout, [Weak, OnEnd] {
    const auto Self = Weak.lock();
    if (!Self || !Self->Connection)
      return;
    const connection_ptr Connection = std::move(Self->Connection);
    Self->Connection.reset();
    const bool Reused = Self->Reused;
    Connection->abandon();
    OnEnd({.Result = call_result::NoResponse,
           .Reused = Reused,
           .Detail = "timeout"},
          {});
  });
  return Call;
}

void http_client::closeIdleConnections(const std::string &Address) {
  const auto It = State->IdleConnections.find(Address);
  if (It == State->IdleConnections.end())
    return;
  const auto Kept = std::move(It->second);
  State->IdleConnections.erase(It);
  for (const connection_ptr &Connection : Kept)
    Connection->close();
}

size_t http_client::connectionsOpened() const {
  return State->ConnectionsOpened;
}

} // namespace cardamom
