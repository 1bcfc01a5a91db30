#include "inner/inner_client.h"

#include "base/log.h"
#include "base/metrics.h"
#include "inner/backoff.h"
#include "inner/client_peer.h"
#include "inner/gen/messages.pb.h"
#include "inner/io_loop.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <sys/epoll.h>
#include <unordered_map>
#include <utility>

namespace cardamom {

// Requests queued per peer until hello_ok arrives; further ones end as
// NeverSent.
static constexpr size_t MaxQueuedRequests = 256;
// Tasks queued for the I/O thread; beyond this, new requests end as NeverSent.
static constexpr size_t MaxQueuedTasks = 16384;
static constexpr size_t MaxControlBytes = size_t(8) << 20;

static metric_value &reasonCounter(std::string_view Name,
                                   std::string_view Reason) {
  return metrics::get().counter(Name, "reason", Reason);
}

// The reason is sent by the peer, so an unknown one must not become a metric
// label.
static std::string_view refusalLabel(std::string_view Reason) {
  static constexpr std::array<std::string_view, 4> Known = {
      "protocol_version", "epoch_not_higher", "too_many_peers", "bad_identity"};
  const auto *It = std::find(Known.begin(), Known.end(), Reason);
  return It == Known.end() ? "other" : *It;
}

struct inner_client::state {
  using stream_ptr = std::shared_ptr<client_stream>;
  using phase = client_peer::phase;

  explicit state(inner_client_options Options);

  void onReady(uint64_t Id, uint32_t Events, time_point At);
  time_point onTimer(time_point At);
  void onBatchEnd(time_point At);

  void addPeer(const std::string &Address, const socket_address &Target);
  void removePeer(const std::string &Address);
  void connect(client_peer &Peer);
  void onConnected(client_peer &Peer);
  [[nodiscard]] http2_hooks makeHooks(client_peer &Peer);
  void sendHello(client_peer &Peer);
  void checkPeer(client_peer &Peer);
  void checkSilence(client_peer &Peer);

  void onMessage(client_peer &Peer, int32_t Stream, std::string_view Message);
  void onControl(client_peer &Peer, std::string_view Message);
  void onHelloReply(client_peer &Peer, const wire::control_frame &Frame);
  void onHelloOk(client_peer &Peer, const wire::hello_ok &Hello);
  void onStreamClose(client_peer &Peer, int32_t Stream, bool Clean,
                     bool Serialized);

  void open(const std::string &Address, stream_ptr Stream);
  void submit(client_peer &Peer, const stream_ptr &Stream);
  void cancel(stream_id Id);
  void enableManualFlowControl(stream_id Id);
  void consume(stream_id Id, size_t Bytes);
  void finishStream(const stream_ptr &Stream, inner_stream_end End,
                    std::string_view Reason);

  void pushControl(client_peer &Peer, std::string_view Message);
  void scheduleFlush(client_peer &Peer);
  void flush(client_peer &Peer);
  void disconnect(client_peer &Peer, const std::string &Reason);
  void publishStatus(const client_peer &Peer);
  [[nodiscard]] client_peer *find(const std::string &Address);
  [[nodiscard]] time_point deadlineOf(const client_peer &Peer) const;

  inner_client_options Options;
  std::unique_ptr<io_loop> Loop;
  /// Time of the event batch that is being handled.
  time_point Now;
  uint64_t NextConnectionId = 1;
  /// One counter for all peers, so that epochs also increase when a peer is
  /// removed and added again.
  uint64_t LastEpoch = 0;
  std::minstd_rand Random{std::random_device()()};
  std::map<std::string, std::unique_ptr<client_peer>> Peers;
  std::unordered_map<uint64_t, client_peer *> PeersByConnection;
  std::unordered_map<stream_id, stream_ptr> Streams;
  std::vector<uint64_t> ScheduledFlushes;
  std::atomic<stream_id> LastStreamId{0};

  mutable std::mutex StatusMutex;
  std::map<std::string, peer_status, std::less<>> Status;
};

inner_client::state::state(inner_client_options Options)
    : Options(std::move(Options)) {
  Loop = std::make_unique<io_loop>(io_loop_options{
      .OnReady = [this](uint64_t Id, uint32_t Events,
                        time_point Now) { onReady(Id, Events, Now); },
      .OnTimer = [this](time_point Now) { return onTimer(Now); },
      .OnBatchEnd = [this](time_point Now) { onBatchEnd(Now); }});
}

client_peer *inner_client::state::find(const std::string &Address) {
  const auto It = Peers.find(Address);
  return It == Peers.end() ? nullptr : It->second.get();
}

void inner_client::state::publishStatus(const client_peer &Peer) {
  std::lock_guard Lock(StatusMutex);
  peer_status &Entry = Status[Peer.Address];
  const bool Connected = Peer.Phase == phase::Up;
  if (Entry.Connected != Connected)
    Entry.Since = Now;
  Entry.Address = Peer.Address;
  Entry.Connected = Connected;
  Entry.Identity = Peer.Identity;
  if (Connected)
    Entry.Epoch = Peer.Epoch;
  Entry.FailedAttempts = Peer.FailedAttempts;
}

void inner_client::state::addPeer(const std::string &Address,
                                  const socket_address &Target) {
  if (find(Address) != nullptr)
    return;
  auto Peer = std::make_unique<client_peer>();
  Peer->Address = Address;
  Peer->Target = Target;
  client_peer &Added = *Peer;
  Peers.emplace(Address, std::move(Peer));
  publishStatus(Added);
  connect(Added);
}

void inner_client::state::removePeer(const std::string &Address) {
  client_peer *Peer = find(Address);
  if (Peer == nullptr)
    return;
  disconnect(*Peer, "removed");
  Peers.erase(Address);
  std::lock_guard Lock(StatusMutex);
  Status.erase(Address);
}

void inner_client::state::connect(client_peer &Peer) {
  Peer.Socket = startConnect(Peer.Target);
  if (!Peer.Socket)
    return disconnect(Peer, "connect_failed");
  Peer.Phase = phase::Connecting;
  Peer.Deadline = Now + Options.ConnectTimeout;
  Peer.ConnectionId = NextConnectionId++;
  PeersByConnection[Peer.ConnectionId] = &Peer;
  Loop->watch(Peer.Socket.get(), Peer.ConnectionId, EPOLLOUT);
  Loop->setTimer(Peer.Deadline);
}

http2_hooks inner_client::state::makeHooks(client_peer &Peer) {
  return {
      .OnRequest =
          [&Peer](int32_t, std::string_view) {
            Peer.Http2->fail("malformed_http2");
          },
      .OnMessage =
          [this, &Peer](int32_t Stream, std::string_view Message) {
            onMessage(Peer, Stream, Message);
          },
      .OnRemoteEnd =
          [&Peer](int32_t Stream) {
            const auto It = Peer.Streams.find(Stream);
            if (It != Peer.Streams.end())
              It->second->RemoteEnded = true;
          },
      .OnStreamClose =
          [this, &Peer](int32_t Stream, bool Clean, bool Serialized) {
            onStreamClose(Peer, Stream, Clean, Serialized);
          },
      .OnWritable = [](int32_t) {},
  };
}

void inner_client::state::onConnected(client_peer &Peer) {
  if (connectResult(Peer.Socket.get()) != 0)
    return disconnect(Peer, "connect_failed");
  Peer.Http2 = std::make_unique<http2_connection>(
      std::move(Peer.Socket),
      http2_connection_options{
          .Side = http2_side::Client, .Hooks = makeHooks(Peer), .Now = Now});
  Peer.Phase = phase::AwaitHello;
  Peer.Deadline = Now + Options.SilenceTimeout;
  Loop->setTimer(Peer.Deadline);
  Loop->updateWatch(Peer.Http2->fd(), Peer.ConnectionId, EPOLLIN);
  Peer.WatchesWritable = false;
  Peer.Epoch = ++LastEpoch;
  sendHello(Peer);
}

void inner_client::state::sendHello(client_peer &Peer) {
  wire::control_frame Frame;
  wire::hello &Hello = *Frame.mutable_hello();
  Hello.set_protocol_version(InnerProtocolVersion);
  Hello.set_build(Options.Self.Build);
  Hello.set_name(Options.Self.Name);
  Hello.set_incarnation(Options.Self.Incarnation);
  Hello.set_epoch(Peer.Epoch);
  Hello.set_failure_domain(Options.Self.FailureDomain);
  Hello.set_role(Options.Self.Role);
  Peer.ControlQueue = std::make_shared<outbound_queue>(MaxControlBytes);
  Peer.ControlQueue->push(Frame.SerializeAsString());
  Peer.ControlStreamId = Peer.Http2->request("/control", Peer.ControlQueue);
  scheduleFlush(Peer);
}

void inner_client::state::onReady(uint64_t Id, uint32_t Events, time_point At) {
  Now = At;
  const auto It = PeersByConnection.find(Id);
  if (It == PeersByConnection.end())
    return;
  client_peer &Peer = *It->second;
  if (Peer.Phase == phase::Connecting)
    return onConnected(Peer);
  if ((Events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
    Peer.Http2->receive(Now);
  scheduleFlush(Peer);
}

time_point inner_client::state::deadlineOf(const client_peer &Peer) const {
  return Peer.Phase == phase::Up
             ? Peer.Http2->lastReceived() + Options.SilenceTimeout
             : Peer.Deadline;
}

void inner_client::state::checkSilence(client_peer &Peer) {
  // Bytes may have arrived while this process was paused.
  Peer.Http2->receive(Now);
  scheduleFlush(Peer);
  if (Peer.Http2->failed() || deadlineOf(Peer) > Now)
    return;
  metrics::get().counter("inner_silent_peers_total", "side", "client").add();
  Peer.Http2->fail("silent");
}

void inner_client::state::checkPeer(client_peer &Peer) {
  if (deadlineOf(Peer) > Now)
    return;
  if (Peer.Phase == phase::Backoff)
    return connect(Peer);
  if (Peer.Phase == phase::Connecting)
    return disconnect(Peer, "connect_timeout");
  checkSilence(Peer);
}

time_point inner_client::state::onTimer(time_point At) {
  Now = At;
  time_point Next = time_point::max();
  for (const auto &[Address, Peer] : Peers) {
    checkPeer(*Peer);
    // A failed connection is closed at the end of this batch, and disconnect()
    // sets the timer.
    if (!Peer->Http2 || !Peer->Http2->failed())
      Next = std::min(Next, deadlineOf(*Peer));
  }
  return Next;
}

void inner_client::state::onBatchEnd(time_point At) {
  Now = At;
  const std::vector<uint64_t> Ids = std::exchange(ScheduledFlushes, {});
  for (uint64_t Id : Ids) {
    const auto It = PeersByConnection.find(Id);
    if (It != PeersByConnection.end())
      flush(*It->second);
  }
}

void inner_client::state::scheduleFlush(client_peer &Peer) {
  if (std::exchange(Peer.NeedsFlush, true))
    return;
  ScheduledFlushes.push_back(Peer.ConnectionId);
}

void inner_client::state::flush(client_peer &Peer) {
  Peer.NeedsFlush = false;
  http2_connection &Http2 = *Peer.Http2;
  Http2.flush();
  if (Http2.failed())
    return disconnect(Peer, Http2.failure());
  if (Http2.blocked() == Peer.WatchesWritable)
    return;
  Peer.WatchesWritable = Http2.blocked();
  const uint32_t Events = EPOLLIN | (Peer.WatchesWritable ? EPOLLOUT : 0U);
  Loop->updateWatch(Http2.fd(), Peer.ConnectionId, Events);
}

// Reason may be a member of the connection, which is kept alive until the
// function returns.
void inner_client::state::disconnect(client_peer &Peer,
                                     const std::string &Reason) {
  const bool WasUp = Peer.Phase == phase::Up;
  if (Peer.Http2)
    Loop->unwatch(Peer.Http2->fd());
  else if (Peer.Socket)
    Loop->unwatch(Peer.Socket.get());
  PeersByConnection.erase(Peer.ConnectionId);
  const auto Queued = std::exchange(Peer.QueuedRequests, {});
  const auto Open = std::exchange(Peer.Streams, {});
  const auto Http2 = std::move(Peer.Http2);
  Peer.Socket.reset();
  Peer.ConnectionId = 0;
  Peer.NeedsFlush = false;
  Peer.Phase = phase::Backoff;
  Peer.FailedAttempts = WasUp ? 0 : Peer.FailedAttempts + 1;
  // Connections that close soon after they were established must not be
  // reopened repeatedly at the minimum delay.
  const bool WasLongLived =
      WasUp && Now - Peer.UpSince >= Options.SilenceTimeout;
  Peer.BackoffStep = WasLongLived ? 0 : Peer.BackoffStep + 1;
  const double Jitter = std::uniform_real_distribution<>(0, 1)(Random);
  Peer.Deadline =
      Now + backoffDelay({Options.MinReconnectDelay, Options.MaxReconnectDelay},
                         Peer.BackoffStep, Jitter);
  Loop->setTimer(Peer.Deadline);
  publishStatus(Peer);
  if (WasUp)
    reasonCounter("inner_client_disconnects_total", Reason).add();
  else
    reasonCounter("inner_client_connect_failures_total", Reason).add();
  if (WasUp)
    logInfo("peer_disconnected", {{"peer", Peer.Identity.Name},
                                  {"address", Peer.Address},
                                  {"epoch", std::to_string(Peer.Epoch)},
                                  {"reason", Reason}});
  for (const stream_ptr &Stream : Queued)
    finishStream(Stream, inner_stream_end::NeverSent, Reason);
  for (const auto &[Id, Stream] : Open)
    finishStream(Stream,
                 Http2->requestSent(Id) ? inner_stream_end::Broken
                                        : inner_stream_end::NeverSent,
                 Reason);
  if (WasUp && Options.OnPeerDown)
    Options.OnPeerDown(Peer.Address, Reason);
}

void inner_client::state::onMessage(client_peer &Peer, int32_t Stream,
                                    std::string_view Message) {
  if (Stream == Peer.ControlStreamId)
    return onControl(Peer, Message);
  const auto It = Peer.Streams.find(Stream);
  if (It == Peer.Streams.end())
    return;
  const stream_ptr Request = It->second;
  if (Request->Hooks.OnMessage)
    Request->Hooks.OnMessage(Message);
}

void inner_client::state::onControl(client_peer &Peer,
                                    std::string_view Message) {
  wire::control_frame Frame;
  if (!Frame.ParseFromArray(Message.data(), static_cast<int>(Message.size())))
    return Peer.Http2->fail("malformed_message");
  if (Peer.Phase == phase::AwaitHello)
    return onHelloReply(Peer, Frame);
  using body = wire::control_frame;
  if (Frame.body_case() == body::kHello || Frame.body_case() == body::kHelloOk)
    return Peer.Http2->fail("unexpected_frame");
  if (Options.OnControl)
    Options.OnControl(Peer.Address, Peer.Identity, Frame);
}

void inner_client::state::onHelloReply(client_peer &Peer,
                                       const wire::control_frame &Frame) {
  if (Frame.has_hello_ok())
    return onHelloOk(Peer, Frame.hello_ok());
  if (!Frame.has_hello_refused())
    return Peer.Http2->fail("unexpected_frame");
  const std::string_view Reason = refusalLabel(Frame.hello_refused().reason());
  reasonCounter("inner_client_refusals_total", Reason).add();
  Peer.Http2->fail("refused_" + std::string(Reason));
}

void inner_client::state::onHelloOk(client_peer &Peer,
                                    const wire::hello_ok &Hello) {
  if (Hello.protocol_version() != InnerProtocolVersion) {
    reasonCounter("inner_client_refusals_total", "protocol_version").add();
    return Peer.Http2->fail("refused_protocol_version");
  }
  Peer.Identity = {.Name = Hello.name(),
                   .Incarnation = Hello.incarnation(),
                   .FailureDomain = Hello.failure_domain(),
                   .Build = Hello.build(),
                   .Role = {}};
  Peer.Phase = phase::Up;
  Peer.FailedAttempts = 0;
  Peer.UpSince = Now;
  Loop->setTimer(deadlineOf(Peer));
  publishStatus(Peer);
  metrics::get().counter("inner_client_connects_total").add();
  logInfo("peer_connected", {{"peer", Peer.Identity.Name},
                             {"address", Peer.Address},
                             {"epoch", std::to_string(Peer.Epoch)}});
  for (const stream_ptr &Stream : std::exchange(Peer.QueuedRequests, {}))
    submit(Peer, Stream);
  if (Options.OnPeerUp)
    Options.OnPeerUp(Peer.Address, Peer.Identity, Peer.Epoch);
}

void inner_client::state::onStreamClose(client_peer &Peer, int32_t Stream,
                                        bool Clean, bool Serialized) {
  if (Stream == Peer.ControlStreamId)
    return Peer.Http2->fail("control_closed");
  auto Found = Peer.Streams.extract(Stream);
  if (Found.empty())
    return;
  if (Clean && Found.mapped()->RemoteEnded)
    return finishStream(Found.mapped(), inner_stream_end::Finished, "finished");
  finishStream(Found.mapped(),
               Serialized ? inner_stream_end::Broken
                          : inner_stream_end::NeverSent,
               "reset");
}

void inner_client::state::finishStream(const stream_ptr &Stream,
                                       inner_stream_end End,
                                       std::string_view Reason) {
  Streams.erase(Stream->Id);
  if (Stream->Hooks.OnClose)
    Stream->Hooks.OnClose(End, Reason);
  // Releases the objects that the hooks have captured.
  Stream->Hooks = {};
}

void inner_client::state::open(const std::string &Address, stream_ptr Stream) {
  client_peer *Peer = find(Address);
  if (Peer == nullptr)
    return finishStream(Stream, inner_stream_end::NeverSent, "unknown_peer");
  Stream->Peer = Peer;
  if (Peer->Phase == phase::Up) {
    Streams.emplace(Stream->Id, Stream);
    return submit(*Peer, Stream);
  }
  if (Peer->Phase != phase::AwaitHello)
    return finishStream(Stream, inner_stream_end::NeverSent, "not_connected");
  if (Peer->QueuedRequests.size() >= MaxQueuedRequests)
    return finishStream(Stream, inner_stream_end::NeverSent, "queue_full");
  Streams.emplace(Stream->Id, Stream);
  Peer->QueuedRequests.push_back(std::move(Stream));
}

void inner_client::state::submit(client_peer &Peer, const stream_ptr &Stream) {
  // The control stream counts towards MaxStreams.
  if (Peer.Streams.size() + 1 >= MaxStreams)
    return finishStream(Stream, inner_stream_end::NeverSent,
                        "too_many_streams");
  if (Peer.Http2->failed())
    return finishStream(Stream, inner_stream_end::NeverSent,
                        Peer.Http2->failure());
  const int32_t Id = Peer.Http2->request(Stream->Path, Stream->Body);
  scheduleFlush(Peer);
  if (Id < 0)
    return finishStream(Stream, inner_stream_end::NeverSent,
                        Peer.Http2->failure());
  Stream->Http2StreamId = Id;
  Peer.Streams.emplace(Id, Stream);
  if (Stream->ManualFlowControl)
    Peer.Http2->enableManualFlowControl(Id);
}

void inner_client::state::cancel(stream_id Id) {
  const auto It = Streams.find(Id);
  if (It == Streams.end())
    return;
  const stream_ptr Stream = It->second;
  client_peer &Peer = *Stream->Peer;
  if (Stream->Http2StreamId == 0) {
    std::erase(Peer.QueuedRequests, Stream);
    return finishStream(Stream, inner_stream_end::NeverSent, "cancelled");
  }
  const bool Serialized = Peer.Http2->requestSerialized(Stream->Http2StreamId);
  Peer.Http2->reset(Stream->Http2StreamId);
  scheduleFlush(Peer);
  Peer.Streams.erase(Stream->Http2StreamId);
  finishStream(Stream,
               Serialized ? inner_stream_end::Broken
                          : inner_stream_end::NeverSent,
               "cancelled");
}

void inner_client::state::enableManualFlowControl(stream_id Id) {
  const auto It = Streams.find(Id);
  if (It == Streams.end())
    return;
  It->second->ManualFlowControl = true;
  if (It->second->Http2StreamId != 0)
    It->second->Peer->Http2->enableManualFlowControl(It->second->Http2StreamId);
}

void inner_client::state::consume(stream_id Id, size_t Bytes) {
  const auto It = Streams.find(Id);
  if (It == Streams.end() || It->second->Http2StreamId == 0)
    return;
  It->second->Peer->Http2->consume(It->second->Http2StreamId, Bytes);
  scheduleFlush(*It->second->Peer);
}

void inner_client::state::pushControl(client_peer &Peer,
                                      std::string_view Message) {
  if (Peer.Phase != phase::Up)
    return;
  const auto Result = Peer.ControlQueue->push(Message);
  if (Result == outbound_queue::push_result::Full)
    Peer.Http2->fail("control_overflow");
  else
    Peer.Http2->resume(Peer.ControlStreamId);
  scheduleFlush(Peer);
}

inner_client::inner_client(inner_client_options Options)
    : State(std::make_unique<state>(std::move(Options))) {}

inner_client::~inner_client() { stop(); }

void inner_client::start() { State->Loop->start(); }

void inner_client::stop() {
  // After the I/O thread has been joined, the rest runs on this thread only.
  State->Loop->stop();
  State->Now = steady_clock::now();
  while (!State->Peers.empty()) {
    client_peer &Peer = *State->Peers.begin()->second;
    if (Peer.Http2)
      Peer.Http2->flush();
    State->disconnect(Peer, "stopped");
    State->Peers.erase(State->Peers.begin());
  }
}

void inner_client::addPeer(std::string_view Address) {
  const socket_address Target = parseAddress(Address);
  {
    // Makes the peer visible to peer() immediately.
    std::lock_guard Lock(State->StatusMutex);
    const auto Added =
        State->Status.try_emplace(std::string(Address), peer_status());
    if (Added.second)
      Added.first->second = {.Address = std::string(Address),
                             .Identity = {},
                             .Since = steady_clock::now()};
  }
  State->Loop->post(
      [S = State.get(), Name = std::string(Address), Target](time_point Now) {
        S->Now = Now;
        S->addPeer(Name, Target);
      });
}

void inner_client::removePeer(std::string_view Address) {
  State->Loop->post(
      [S = State.get(), Name = std::string(Address)](time_point Now) {
        S->Now = Now;
        S->removePeer(Name);
      });
}

inner_client::stream_id inner_client::open(std::string_view Address,
                                           std::string_view Path,
                                           std::string_view Message,
                                           inner_stream_hooks Hooks) {
  auto Stream = std::make_shared<client_stream>();
  const stream_id Id = ++State->LastStreamId;
  Stream->Id = Id;
  Stream->Path = Path;
  Stream->Hooks = std::move(Hooks);
  const bool Full = State->Loop->queuedTasks() >= MaxQueuedTasks;
  if (!Full) {
    Stream->Body =
        std::make_shared<outbound_queue>(FrameHeaderBytes + MaxMessageBytes);
    Stream->Body->push(Message);
    Stream->Body->finish();
  }
  const bool Posted = State->Loop->post([S = State.get(),
                                         Name = std::string(Address), Stream,
                                         Full](time_point Now) {
    S->Now = Now;
    if (Full)
      return S->finishStream(Stream, inner_stream_end::NeverSent, "queue_full");
    S->open(Name, Stream);
  });
  if (!Posted && Stream->Hooks.OnClose)
    Stream->Hooks.OnClose(inner_stream_end::NeverSent, "stopped");
  return Id;
}

void inner_client::cancel(stream_id Stream) {
  State->Loop->post(
      [S = State.get(), Stream](time_point) { S->cancel(Stream); });
}

void inner_client::enableManualFlowControl(stream_id Stream) {
  State->Loop->post([S = State.get(), Stream](time_point) {
    S->enableManualFlowControl(Stream);
  });
}

void inner_client::consume(stream_id Stream, size_t Bytes) {
  State->Loop->post([S = State.get(), Stream, Bytes](time_point) {
    S->consume(Stream, Bytes);
  });
}

void inner_client::sendControl(std::string_view Address,
                               const wire::control_frame &Frame) {
  State->Loop->post([S = State.get(), Name = std::string(Address),
                     Message = Frame.SerializeAsString()](time_point) {
    if (client_peer *Peer = S->find(Name))
      S->pushControl(*Peer, Message);
  });
}

void inner_client::broadcastControl(const wire::control_frame &Frame) {
  State->Loop->post(
      [S = State.get(), Message = Frame.SerializeAsString()](time_point) {
        for (const auto &[Address, Peer] : S->Peers)
          S->pushControl(*Peer, Message);
      });
}

std::optional<peer_status> inner_client::peer(std::string_view Address) const {
  std::lock_guard Lock(State->StatusMutex);
  const auto It = State->Status.find(Address);
  if (It == State->Status.end())
    return std::nullopt;
  return It->second;
}

std::vector<peer_status> inner_client::peers() const {
  std::vector<peer_status> Result;
  std::lock_guard Lock(State->StatusMutex);
  for (const auto &[Address, Entry] : State->Status)
    Result.push_back(Entry);
  return Result;
}

} // namespace cardamom
