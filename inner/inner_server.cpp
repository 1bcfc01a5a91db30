#include "inner/inner_server.h"

#include "base/log.h"
#include "base/metrics.h"
#include "inner/epoch_table.h"
#include "inner/gen/messages.pb.h"
#include "inner/io_loop.h"
#include "inner/server_connection.h"

#include <algorithm>
#include <cerrno>
#include <map>
#include <mutex>
#include <sys/epoll.h>
#include <utility>

namespace cardamom {

static constexpr uint64_t ListenerId = 0;
// Capacity of the epoch table. A fleet has a few hundred processes and about as
// many restarts a day.
static constexpr size_t MaxEpochEntries = 16384;
// Enough for several documents of 1 MiB and the heartbeats queued behind them.
static constexpr size_t MaxControlBytes = size_t(8) << 20;
// Longest wait in stop(). A responsive peer closes its side within a round
// trip.
static constexpr milliseconds StopTimeout{200};
// Delay before the server accepts again after it ran out of file descriptors or
// memory.
static constexpr milliseconds AcceptRetryDelay{100};

static void countRefusal(std::string_view Reason) {
  metrics::get().counter("inner_server_refusals_total", "reason", Reason).add();
}

struct inner_server::state {
  using peer_key = std::pair<std::string, uint64_t>;

  explicit state(inner_server_options Options);

  void onReady(uint64_t Id, uint32_t Events, time_point Now);
  time_point onTimer(time_point Now);
  void onBatchEnd(time_point Now);
  void acceptAll(time_point Now);
  void addConnection(unique_fd Socket, time_point Now);
  [[nodiscard]] time_point checkSilence(server_connection &Connection,
                                        time_point Now);

  void onRequest(server_connection &Connection, int32_t Stream,
                 std::string_view Path);
  void onMessage(server_connection &Connection, int32_t Stream,
                 std::string_view Message);
  void onRemoteEnd(server_connection &Connection, int32_t Stream);
  void onStreamClose(server_connection &Connection, int32_t Stream);
  void dispatch(server_connection &Connection, int32_t Stream,
                const incoming_request &Request);

  void onControl(server_connection &Connection, std::string_view Message);
  void onHello(server_connection &Connection, const wire::hello &Hello);
  [[nodiscard]] std::string checkHello(const wire::hello &Hello);
  void refuseHello(server_connection &Connection, const std::string &Reason);
  void acceptHello(server_connection &Connection, const wire::hello &Hello);
  void closeOlderConnection(const server_connection &Newer);

  void pushControl(server_connection &Connection, std::string_view Message);
  void sendControl(const peer_key &Peer, std::string_view Message);
  void onStreamChanged(uint64_t Id, int32_t Stream);
  void scheduleFlush(server_connection &Connection);
  void flush(server_connection &Connection);
  void closeConnection(uint64_t Id, std::string_view Reason);
  void closeAll(std::string_view Reason);

  inner_server_options Options;
  std::shared_ptr<io_loop> Loop;
  unique_fd Listener;
  uint16_t Port = 0;
  bool AcceptPaused = false;
  /// Time of the event batch that is being handled.
  time_point Now;
  uint64_t NextId = ListenerId + 1;
  std::map<uint64_t, std::unique_ptr<server_connection>> Connections;
  std::map<peer_key, uint64_t> ConnectionsByPeer;
  std::vector<uint64_t> ScheduledFlushes;
  epoch_table Epochs{MaxEpochEntries};

  mutable std::mutex PeersMutex;
  /// Keyed by connection id.
  std::map<uint64_t, std::shared_ptr<const peer_identity>> Peers;
};

inner_server::state::state(inner_server_options Options)
    : Options(std::move(Options)) {
  Loop = std::make_shared<io_loop>(io_loop_options{
      .OnReady = [this](uint64_t Id, uint32_t Events,
                        time_point Now) { onReady(Id, Events, Now); },
      .OnTimer = [this](time_point Now) { return onTimer(Now); },
      .OnBatchEnd = [this](time_point Now) { onBatchEnd(Now); }});
}

void inner_server::state::onReady(uint64_t Id, uint32_t Events, time_point At) {
  Now = At;
  if (Id == ListenerId)
    return acceptAll(Now);
  // An earlier event of the same batch may have closed the connection.
  const auto It = Connections.find(Id);
  if (It == Connections.end())
    return;
  server_connection &Connection = *It->second;
  if ((Events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
    Connection.Http2->receive(Now);
  scheduleFlush(Connection);
}

void inner_server::state::acceptAll(time_point Now) {
  while (unique_fd Socket = acceptConnection(Listener.get()))
    addConnection(std::move(Socket), Now);
  if (errno != EMFILE && errno != ENFILE && errno != ENOBUFS && errno != ENOMEM)
    return;
  // The listener stays readable, so watching it would make the loop spin.
  AcceptPaused = true;
  Loop->updateWatch(Listener.get(), ListenerId, 0);
  Loop->setTimer(Now + AcceptRetryDelay);
  countRefusal("no_descriptors");
}

void inner_server::state::addConnection(unique_fd Socket, time_point Now) {
  if (Connections.size() >= Options.MaxConnections)
    return countRefusal("too_many_connections");
  const uint64_t Id = NextId++;
  auto Owned = std::make_unique<server_connection>();
  server_connection &Connection = *Owned;
  Connection.Id = Id;
  Connection.AcceptedAt = Now;
  const int Fd = Socket.get();
  Connection.Http2 = std::make_unique<http2_connection>(
      std::move(Socket),
      http2_connection_options{
          .Side = http2_side::Server,
          .Hooks = {
              .OnRequest =
                  [this, &Connection](int32_t Stream, std::string_view Path) {
                    onRequest(Connection, Stream, Path);
                  },
              .OnMessage =
                  [this, &Connection](int32_t Stream,
                                      std::string_view Message) {
                    onMessage(Connection, Stream, Message);
                  },
              .OnRemoteEnd =
                  [this, &Connection](int32_t Stream) {
                    onRemoteEnd(Connection, Stream);
                  },
              .OnStreamClose =
                  [this, &Connection](int32_t Stream, bool, bool) {
                    onStreamClose(Connection, Stream);
                  },
              .OnWritable =
                  [&Connection](int32_t Stream) {
                    const auto It = Connection.Streams.find(Stream);
                    if (It != Connection.Streams.end())
                      It->second->markWritable();
                  }},
          .Now = Now});
  Connections.emplace(Id, std::move(Owned));
  Loop->watch(Fd, Id, EPOLLIN);
  Loop->setTimer(Now + Options.SilenceTimeout);
  metrics::get().counter("inner_server_accepts_total").add();
  scheduleFlush(Connection);
}

time_point inner_server::state::checkSilence(server_connection &Connection,
                                             time_point Now) {
  using phase = server_connection::phase;
  const bool Up = Connection.Phase == phase::Up;
  const auto Deadline = [&] {
    return (Up ? Connection.Http2->lastReceived() : Connection.AcceptedAt) +
           Options.SilenceTimeout;
  };
  if (Deadline() > Now)
    return Deadline();
  // Bytes may have arrived while this process was paused.
  Connection.Http2->receive(Now);
  scheduleFlush(Connection);
  if (Deadline() > Now || Connection.Http2->failed())
    return Deadline();
  if (Up)
    metrics::get().counter("inner_silent_peers_total", "side", "server").add();
  else if (Connection.Phase == phase::AwaitHello)
    countRefusal("hello_timeout");
  Connection.Http2->fail(Up ? "silent" : "hello_timeout");
  return time_point::max();
}

time_point inner_server::state::onTimer(time_point At) {
  Now = At;
  if (std::exchange(AcceptPaused, false))
    Loop->updateWatch(Listener.get(), ListenerId, EPOLLIN);
  time_point Next = time_point::max();
  // The ids are copied, since a hello that is read in the loop may close other
  // connections.
  std::vector<uint64_t> Ids;
  for (const auto &[Id, Connection] : Connections)
    Ids.push_back(Id);
  for (uint64_t Id : Ids) {
    const auto It = Connections.find(Id);
    if (It == Connections.end())
      continue;
    server_connection &Connection = *It->second;
    Next = std::min(Next, checkSilence(Connection, Now));
    if (Connection.Peer)
      Epochs.touch(Connection.Peer->Name, Connection.Peer->Incarnation, Now);
  }
  return Next;
}

void inner_server::state::onBatchEnd(time_point At) {
  Now = At;
  const std::vector<uint64_t> Ids = std::exchange(ScheduledFlushes, {});
  for (uint64_t Id : Ids) {
    const auto It = Connections.find(Id);
    if (It != Connections.end())
      flush(*It->second);
  }
}

void inner_server::state::scheduleFlush(server_connection &Connection) {
  if (std::exchange(Connection.NeedsFlush, true))
    return;
  ScheduledFlushes.push_back(Connection.Id);
}

void inner_server::state::flush(server_connection &Connection) {
  Connection.NeedsFlush = false;
  http2_connection &Http2 = *Connection.Http2;
  Http2.flush();
  if (Http2.failed())
    return closeConnection(Connection.Id, std::string(Http2.failure()));
  if (Http2.blocked() == Connection.WatchesWritable)
    return;
  Connection.WatchesWritable = Http2.blocked();
  const uint32_t Events =
      EPOLLIN | (Connection.WatchesWritable ? EPOLLOUT : 0U);
  Loop->updateWatch(Http2.fd(), Connection.Id, Events);
}

void inner_server::state::closeConnection(uint64_t Id,
                                          std::string_view Reason) {
  const auto It = Connections.find(Id);
  if (It == Connections.end())
    return;
  const std::unique_ptr<server_connection> Connection = std::move(It->second);
  Connections.erase(It);
  Loop->unwatch(Connection->Http2->fd());
  Connection->Http2.reset();
  metrics::get()
      .counter("inner_server_disconnects_total", "reason", Reason)
      .add();
  if (Connection->Peer) {
    const peer_identity &Peer = *Connection->Peer;
    Epochs.touch(Peer.Name, Peer.Incarnation, Now);
    const auto PeerIt = ConnectionsByPeer.find({Peer.Name, Peer.Incarnation});
    if (PeerIt != ConnectionsByPeer.end() && PeerIt->second == Id)
      ConnectionsByPeer.erase(PeerIt);
    std::lock_guard Lock(PeersMutex);
    Peers.erase(Id);
  }
  for (const auto &[Stream, Handle] : Connection->Streams)
    Handle->markClosed();
  if (!Connection->Peer)
    return;
  logInfo("peer_disconnected", {{"peer", Connection->Peer->Name},
                                {"epoch", std::to_string(Connection->Epoch)},
                                {"reason", std::string(Reason)}});
  if (Options.OnPeerDown)
    Options.OnPeerDown(*Connection->Peer, Reason);
}

void inner_server::state::closeAll(std::string_view Reason) {
  Now = steady_clock::now();
  std::vector<int> Sockets;
  for (const auto &[Id, Connection] : Connections) {
    Connection->Http2->flush();
    if (!Connection->Http2->failed())
      Sockets.push_back(Connection->Http2->fd());
  }
  drainSockets(Sockets, StopTimeout);
  while (!Connections.empty())
    closeConnection(Connections.begin()->first, Reason);
}

void inner_server::state::onRequest(server_connection &Connection,
                                    int32_t Stream, std::string_view Path) {
  if (Path == "/control") {
    if (Connection.ControlStreamId != 0)
      return Connection.Http2->fail("second_control_stream");
    Connection.ControlStreamId = Stream;
    Connection.ControlQueue = std::make_shared<outbound_queue>(MaxControlBytes);
    return Connection.Http2->respond(Stream, Connection.ControlQueue);
  }
  if (Connection.Phase != server_connection::phase::Up) {
    countRefusal("request_before_hello");
    return Connection.Http2->fail("request_before_hello");
  }
  Connection.IncomingRequests[Stream].Path = Path;
}

void inner_server::state::onMessage(server_connection &Connection,
                                    int32_t Stream, std::string_view Message) {
  if (Stream == Connection.ControlStreamId)
    return onControl(Connection, Message);
  const auto It = Connection.IncomingRequests.find(Stream);
  if (It == Connection.IncomingRequests.end() || It->second.Message)
    return Connection.Http2->fail("malformed_request");
  It->second.Message.emplace(Message);
}

void inner_server::state::onRemoteEnd(server_connection &Connection,
                                      int32_t Stream) {
  if (Stream == Connection.ControlStreamId)
    return Connection.Http2->fail("control_closed");
  auto Request = Connection.IncomingRequests.extract(Stream);
  if (Request.empty() || !Request.mapped().Message)
    return Connection.Http2->fail("malformed_request");
  dispatch(Connection, Stream, Request.mapped());
}

void inner_server::state::dispatch(server_connection &Connection,
                                   int32_t Stream,
                                   const incoming_request &Request) {
  const uint64_t Id = Connection.Id;
  // Streams may outlive the server, so they share ownership of the loop. A
  // stopped loop accepts no tasks.
  auto Handle =
      std::make_shared<queued_server_stream>(queued_server_stream_options{
          .Peer = Connection.Peer,
          .Epoch = Connection.Epoch,
          .OnChange = [this, Loop = this->Loop, Id, Stream] {
            Loop->post([this, Id, Stream](time_point) {
              onStreamChanged(Id, Stream);
            });
          }});
  Connection.Streams.emplace(Stream, Handle);
  if (Options.OnRequest)
    Options.OnRequest(std::move(Handle), Request.Path, *Request.Message);
}

void inner_server::state::onStreamChanged(uint64_t Id, int32_t Stream) {
  const auto It = Connections.find(Id);
  if (It == Connections.end())
    return;
  server_connection &Connection = *It->second;
  const auto StreamIt = Connection.Streams.find(Stream);
  if (StreamIt == Connection.Streams.end())
    return;
  queued_server_stream &Handle = *StreamIt->second;
  Handle.acknowledgeChange();
  if (Handle.overflowed()) {
    countRefusal("stream_overflow");
    Connection.Http2->reset(Stream);
  } else if (Handle.startOnce()) {
    Connection.Http2->respond(Stream, Handle.queue());
  } else {
    Connection.Http2->resume(Stream);
  }
  scheduleFlush(Connection);
}

void inner_server::state::onStreamClose(server_connection &Connection,
                                        int32_t Stream) {
  if (Stream == Connection.ControlStreamId)
    return Connection.Http2->fail("control_closed");
  Connection.IncomingRequests.erase(Stream);
  auto Handle = Connection.Streams.extract(Stream);
  if (!Handle.empty())
    Handle.mapped()->markClosed();
}

void inner_server::state::onControl(server_connection &Connection,
                                    std::string_view Message) {
  wire::control_frame Frame;
  if (!Frame.ParseFromArray(Message.data(), static_cast<int>(Message.size())))
    return Connection.Http2->fail("malformed_message");
  using phase = server_connection::phase;
  if (Connection.Phase == phase::Refused)
    return;
  const bool IsHello = Frame.body_case() == wire::control_frame::kHello;
  if (IsHello != (Connection.Phase == phase::AwaitHello))
    return Connection.Http2->fail("unexpected_frame");
  if (IsHello)
    return onHello(Connection, Frame.hello());
  if (Options.OnControl)
    Options.OnControl(*Connection.Peer, Frame);
}

std::string inner_server::state::checkHello(const wire::hello &Hello) {
  if (Hello.protocol_version() != InnerProtocolVersion)
    return "protocol_version";
  if (Hello.name().empty() || Hello.incarnation() == 0)
    return "bad_identity";
  using outcome = epoch_table::outcome;
  switch (
      Epochs.accept(Hello.name(), Hello.incarnation(), Hello.epoch(), Now)) {
  case outcome::NotHigher:
    return "epoch_not_higher";
  case outcome::Full:
    return "too_many_peers";
  case outcome::Accepted:
    break;
  }
  return {};
}

void inner_server::state::onHello(server_connection &Connection,
                                  const wire::hello &Hello) {
  const std::string Reason = checkHello(Hello);
  if (Reason.empty())
    acceptHello(Connection, Hello);
  else
    refuseHello(Connection, Reason);
}

void inner_server::state::refuseHello(server_connection &Connection,
                                      const std::string &Reason) {
  countRefusal(Reason);
  Connection.Phase = server_connection::phase::Refused;
  wire::control_frame Reply;
  Reply.mutable_hello_refused()->set_reason(Reason);
  Reply.mutable_hello_refused()->set_message(
      "server " + Options.Self.Name + " has protocol version " +
      std::to_string(InnerProtocolVersion));
  Connection.ControlQueue->push(Reply.SerializeAsString());
  // The client closes the connection; if it does not, the hello timeout closes
  // it.
  Connection.Http2->resume(Connection.ControlStreamId);
}

void inner_server::state::closeOlderConnection(const server_connection &Newer) {
  const auto It =
      ConnectionsByPeer.find({Newer.Peer->Name, Newer.Peer->Incarnation});
  if (It != ConnectionsByPeer.end())
    closeConnection(It->second, "superseded");
}

void inner_server::state::acceptHello(server_connection &Connection,
                                      const wire::hello &Hello) {
  Connection.Peer = std::make_shared<const peer_identity>(
      peer_identity{.Name = Hello.name(),
                    .Incarnation = Hello.incarnation(),
                    .FailureDomain = Hello.failure_domain(),
                    .Build = Hello.build(),
                    .Role = Hello.role()});
  Connection.Epoch = Hello.epoch();
  closeOlderConnection(Connection);
  Connection.Phase = server_connection::phase::Up;
  ConnectionsByPeer[{Hello.name(), Hello.incarnation()}] = Connection.Id;
  {
    std::lock_guard Lock(PeersMutex);
    Peers[Connection.Id] = Connection.Peer;
  }
  wire::control_frame Reply;
  wire::hello_ok &Ok = *Reply.mutable_hello_ok();
  Ok.set_protocol_version(InnerProtocolVersion);
  Ok.set_build(Options.Self.Build);
  Ok.set_name(Options.Self.Name);
  Ok.set_incarnation(Options.Self.Incarnation);
  Ok.set_failure_domain(Options.Self.FailureDomain);
  Connection.ControlQueue->push(Reply.SerializeAsString());
  Connection.Http2->resume(Connection.ControlStreamId);
  metrics::get().counter("inner_server_peers_up_total").add();
  logInfo("peer_connected",
          {{"peer", Hello.name()}, {"epoch", std::to_string(Hello.epoch())}});
  if (Options.OnPeerUp)
    Options.OnPeerUp(*Connection.Peer, Connection.Epoch);
}

void inner_server::state::pushControl(server_connection &Connection,
                                      std::string_view Message) {
  const auto Result = Connection.ControlQueue->push(Message);
  if (Result == outbound_queue::push_result::Full)
    Connection.Http2->fail("control_overflow");
  else
    Connection.Http2->resume(Connection.ControlStreamId);
  scheduleFlush(Connection);
}

void inner_server::state::sendControl(const peer_key &Peer,
                                      std::string_view Message) {
  const auto It = ConnectionsByPeer.find(Peer);
  if (It != ConnectionsByPeer.end())
    pushControl(*Connections.at(It->second), Message);
}

inner_server::inner_server(inner_server_options Options)
    : State(std::make_unique<state>(std::move(Options))) {}

inner_server::~inner_server() { stop(); }

void inner_server::start() {
  state &S = *State;
  S.Listener = listenOn(S.Options.Host, S.Options.Port);
  S.Port = localPort(S.Listener.get());
  S.Loop->watch(S.Listener.get(), ListenerId, EPOLLIN);
  S.Loop->start();
}

void inner_server::stop() {
  // After the I/O thread has been joined, the rest runs on this thread only.
  State->Loop->stop();
  State->closeAll("stopped");
  State->Listener.reset();
}

uint16_t inner_server::port() const { return State->Port; }

static std::string serializeControl(const wire::control_frame &Frame) {
  std::string Message = Frame.SerializeAsString();
  if (Message.size() > MaxMessageBytes)
    throw std::length_error(
        "control frame of " + std::to_string(Message.size()) +
        " bytes exceeds the limit of " + std::to_string(MaxMessageBytes));
  return Message;
}

void inner_server::broadcastControl(const wire::control_frame &Frame) {
  State->Loop->post(
      [S = State.get(), Message = serializeControl(Frame)](time_point) {
        for (const auto &[Peer, Id] : S->ConnectionsByPeer)
          S->pushControl(*S->Connections.at(Id), Message);
      });
}

void inner_server::sendControl(const peer_identity &Peer,
                               const wire::control_frame &Frame) {
  State->Loop->post([S = State.get(),
                     Key = state::peer_key(Peer.Name, Peer.Incarnation),
                     Message = serializeControl(Frame)](time_point) {
    S->sendControl(Key, Message);
  });
}

std::vector<peer_identity> inner_server::peers() const {
  std::vector<peer_identity> Result;
  std::lock_guard Lock(State->PeersMutex);
  for (const auto &[Id, Peer] : State->Peers)
    Result.push_back(*Peer);
  return Result;
}

} // namespace cardamom
