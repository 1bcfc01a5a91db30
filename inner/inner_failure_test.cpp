#include "base/metrics.h"
#include "inner/test_raw_peer.h"
#include "inner/test_relay.h"

#include <array>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace cardamom {

/// Silent, broken, restarted and misbehaving peers.
class inner_failure_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(inner_failure_test);
  CPPUNIT_TEST(detectsSilentConnections);
  CPPUNIT_TEST(keepsPeersThatSendHeartbeats);
  CPPUNIT_TEST(reconnectsAfterRestart);
  CPPUNIT_TEST(neverSentRequestsDoNotArrive);
  CPPUNIT_TEST(waitsForHelloOk);
  CPPUNIT_TEST(refusesOtherProtocolVersions);
  CPPUNIT_TEST(clientRefusesOtherProtocolVersions);
  CPPUNIT_TEST(closesOnGarbage);
  CPPUNIT_TEST(closesOnMalformedFrames);
  CPPUNIT_TEST(refusesRequestsBeforeHello);
  CPPUNIT_TEST(boundsConnections);
  CPPUNIT_TEST(backsOffAfterImmediateClose);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds SilenceTimeout{300};

  static wire::control_frame makeHeartbeat() {
    wire::control_frame Frame;
    Frame.mutable_heartbeat()->set_sequence(1);
    return Frame;
  }

  static uint64_t counterValue(std::string_view Name, std::string_view Label,
                               std::string_view Value) {
    return metrics::get().counter(Name, Label, Value).get();
  }

  /// Sends heartbeats from both sides in the background.
  struct heartbeat_sender {
    heartbeat_sender(inner_server &Server, inner_client &Client)
        : Thread([&] {
            while (!Stopping) {
              Server.broadcastControl(makeHeartbeat());
              Client.broadcastControl(makeHeartbeat());
              std::this_thread::sleep_for(SilenceTimeout / 6);
            }
          }) {}
    ~heartbeat_sender() {
      Stopping = true;
      Thread.join();
    }
    std::atomic<bool> Stopping{false};
    std::thread Thread;
  };

  static void echo(const std::shared_ptr<server_stream> &Stream,
                   std::string_view, std::string_view Message) {
    Stream->send(Message);
    Stream->finish();
  }

public:
  // Guards against requests that hang on a silent connection although new
  // connections work.
  void detectsSilentConnections() {
    const uint64_t Before =
        counterValue("inner_silent_peers_total", "side", "client");
    inner_server Server({.Self = testIdentity("server"),
                         .OnRequest = echo,
                         .SilenceTimeout = SilenceTimeout});
    Server.start();
    test_relay Relay(Server.port());
    std::mutex Mutex;
    std::string DownReason;
    inner_client Client({.Self = testIdentity("client"),
                         .OnPeerDown =
                             [&](std::string_view, std::string_view Reason) {
                               std::lock_guard Lock(Mutex);
                               DownReason = Reason;
                             },
                         .SilenceTimeout = SilenceTimeout});
    Client.start();
    const std::string Address = loopbackAddress(Relay.port());
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    heartbeat_sender Heartbeats(Server, Client);
    Relay.stall();
    const time_point Start = steady_clock::now();
    stream_recorder Record;
    Client.open(Address, "/run", "X", Record.hooks());
    CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Broken);
    CPPUNIT_ASSERT_EQUAL(std::string("silent"), Record.reason());
    CPPUNIT_ASSERT(steady_clock::now() - Start >= SilenceTimeout / 2);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Client.peer(Address)->Epoch);
    CPPUNIT_ASSERT(counterValue("inner_silent_peers_total", "side", "client") >
                   Before);
    std::lock_guard Lock(Mutex);
    CPPUNIT_ASSERT_EQUAL(std::string("silent"), DownReason);
  }

  // Guards against a server that closes idle connections whose peers still send
  // heartbeats, or keeps a connection whose peer has stopped sending.
  void keepsPeersThatSendHeartbeats() {
    std::atomic<int> Disconnects{0};
    inner_server Server({.Self = testIdentity("server"),
                         .OnPeerDown =
                             [&](const peer_identity &, std::string_view R) {
                               if (R == "silent")
                                 ++Disconnects;
                             },
                         .SilenceTimeout = SilenceTimeout});
    Server.start();
    inner_client Client(
        {.Self = testIdentity("client"), .SilenceTimeout = SilenceTimeout});
    Client.start();
    const std::string Address = loopbackAddress(Server.port());
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    heartbeat_sender Heartbeats(Server, Client);
    test_raw_peer Silent(Server.port());
    Silent.sendHello(test_raw_peer::makeHello(1));
    CPPUNIT_ASSERT(Silent.receiveHelloOk());
    CPPUNIT_ASSERT(waitFor([&] { return Disconnects == 1; }));
    CPPUNIT_ASSERT(Silent.receiveUntilClosed());
    std::this_thread::sleep_for(2 * SilenceTimeout);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Client.peer(Address)->Epoch);
    CPPUNIT_ASSERT_EQUAL(1, Disconnects.load());
  }

  // Guards against a client that does not reconnect, or does not notice that
  // another process now listens on the address.
  void reconnectsAfterRestart() {
    auto First = std::make_unique<inner_server>(
        inner_server_options{.Self = testIdentity("server", 1)});
    First->start();
    const uint16_t Port = First->port();
    const std::string Address = loopbackAddress(Port);
    inner_client Client({.Self = testIdentity("client")});
    Client.start();
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    stream_recorder Open;
    Client.open(Address, "/run", "X", Open.hooks());
    std::this_thread::sleep_for(milliseconds(50));
    First.reset();
    CPPUNIT_ASSERT(Open.waitClosed() == inner_stream_end::Broken);
    stream_recorder Down;
    Client.open(Address, "/run", "X", Down.hooks());
    CPPUNIT_ASSERT(Down.waitClosed() == inner_stream_end::NeverSent);
    CPPUNIT_ASSERT_EQUAL(std::string("not_connected"), Down.reason());
    CPPUNIT_ASSERT(
        waitFor([&] { return Client.peer(Address)->FailedAttempts > 1; }));
    inner_server Second(
        {.Port = Port, .Self = testIdentity("server", 2), .OnRequest = echo});
    Second.start();
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    const auto Status = Client.peer(Address);
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Status->Identity.Incarnation);
    CPPUNIT_ASSERT_EQUAL(0U, Status->FailedAttempts);
    stream_recorder Again;
    Client.open(Address, "/run", "Y", Again.hooks());
    CPPUNIT_ASSERT(Again.waitClosed() == inner_stream_end::Finished);
    Client.removePeer(Address);
    CPPUNIT_ASSERT(waitFor([&] { return !Client.peer(Address); }));
    stream_recorder Removed;
    Client.open(Address, "/run", "Z", Removed.hooks());
    CPPUNIT_ASSERT(Removed.waitClosed() == inner_stream_end::NeverSent);
  }

  // Guards against a request that is reported as NeverSent but arrives. The
  // server stops reading until its socket is full, the client disconnects, and
  // the server then reads what was sent.
  void neverSentRequestsDoNotArrive() {
    constexpr int Requests = 120;
    // Smaller than the stream window, so that requests can be sent completely
    // without a window update from the server.
    constexpr size_t Bytes = size_t(128) << 10;
    std::atomic<bool> Block{false};
    std::atomic<bool> Down{false};
    std::mutex Mutex;
    std::set<std::string> Arrived;
    inner_server Server(
        {.Self = testIdentity("server"),
         .OnRequest =
             [&](const std::shared_ptr<server_stream> &, std::string_view,
                 std::string_view Message) {
               std::lock_guard Lock(Mutex);
               Arrived.emplace(Message.substr(0, Message.find(' ')));
             },
         .OnControl =
             [&](const peer_identity &, const wire::control_frame &) {
               waitFor([&] { return !Block; });
             },
         .OnPeerDown = [&](const peer_identity &,
                           std::string_view) { Down = true; }});
    Server.start();
    inner_client Client({.Self = testIdentity("client")});
    Client.start();
    const std::string Address = loopbackAddress(Server.port());
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    Block = true;
    Client.broadcastControl(makeHeartbeat());
    std::vector<stream_recorder> Records(Requests);
    for (int I = 0; I < Requests; ++I) {
      std::string Message = std::to_string(I) + " ";
      Message.resize(Bytes, 'x');
      Client.open(Address, "/run", Message, Records[size_t(I)].hooks());
      std::this_thread::sleep_for(milliseconds(1));
    }
    Client.removePeer(Address);
    int NeverSent = 0;
    int Broken = 0;
    for (stream_recorder &Record : Records)
      ++(Record.waitClosed() == inner_stream_end::NeverSent ? NeverSent
                                                            : Broken);
    Block = false;
    CPPUNIT_ASSERT(waitFor([&] { return Down.load(); }));
    std::lock_guard Lock(Mutex);
    for (int I = 0; I < Requests; ++I)
      if (Records[size_t(I)].waitClosed() == inner_stream_end::NeverSent)
        CPPUNIT_ASSERT(!Arrived.contains(std::to_string(I)));
    CPPUNIT_ASSERT(NeverSent > 0);
    CPPUNIT_ASSERT(Broken > 0);
    CPPUNIT_ASSERT(!Arrived.empty());
  }

  // Guards against requests that are sent before the epoch is accepted, and
  // against an unlimited wait or queue before hello_ok.
  void waitsForHelloOk() {
    inner_server Server({.Self = testIdentity("server"), .OnRequest = echo});
    Server.start();
    test_relay Relay(Server.port());
    Relay.stallNewConnections(true);
    inner_client Client(
        {.Self = testIdentity("client"), .SilenceTimeout = milliseconds(1000)});
    Client.start();
    const std::string Address = loopbackAddress(Relay.port());
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitFor([&] { return Relay.stalledClientBytes() > 0; }));
    std::vector<stream_recorder> Records(257);
    for (stream_recorder &Record : Records)
      Client.open(Address, "/run", "X", Record.hooks());
    CPPUNIT_ASSERT(Records.back().waitClosed() == inner_stream_end::NeverSent);
    CPPUNIT_ASSERT_EQUAL(std::string("queue_full"), Records.back().reason());
    CPPUNIT_ASSERT_EQUAL(0U, Records.front().closeCount());
    Relay.resume();
    for (size_t I = 0; I + 1 < Records.size(); ++I)
      CPPUNIT_ASSERT(Records[I].waitClosed() == inner_stream_end::Finished);
    Relay.closeAll();
    CPPUNIT_ASSERT(waitFor([&] { return Relay.stalledClientBytes() > 0; }));
    stream_recorder DuringReconnect;
    Client.open(Address, "/run", "X", DuringReconnect.hooks());
    CPPUNIT_ASSERT(DuringReconnect.waitClosed() == inner_stream_end::NeverSent);
    CPPUNIT_ASSERT_EQUAL(std::string("silent"), DuringReconnect.reason());
  }

  // Guards against accepting peers that interpret the messages differently.
  void refusesOtherProtocolVersions() {
    const uint64_t Before = counterValue("inner_server_refusals_total",
                                         "reason", "protocol_version");
    inner_server Server({.Self = testIdentity("server")});
    Server.start();
    test_raw_peer Peer(Server.port());
    wire::hello Hello = test_raw_peer::makeHello(1);
    Hello.set_protocol_version(InnerProtocolVersion + 1);
    Peer.sendHello(Hello);
    CPPUNIT_ASSERT(Peer.receiveUntil(
        [&] { return Peer.LastControlFrame.has_hello_refused(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("protocol_version"),
                         Peer.LastControlFrame.hello_refused().reason());
    CPPUNIT_ASSERT_EQUAL(Before + 1,
                         counterValue("inner_server_refusals_total", "reason",
                                      "protocol_version"));
    CPPUNIT_ASSERT(Server.peers().empty());
  }

  // Guards against a client that uses a server of another version, or fails
  // when a server sends invalid bytes.
  void clientRefusesOtherProtocolVersions() {
    const uint64_t Before = counterValue("inner_client_refusals_total",
                                         "reason", "protocol_version");
    unique_fd Listener = listenOn("127.0.0.1", 0);
    const std::string Address = loopbackAddress(localPort(Listener.get()));
    inner_client Client({.Self = testIdentity("client")});
    Client.start();
    Client.addPeer(Address);
    unique_fd Socket;
    const auto Accept = [&] {
      Socket = acceptConnection(Listener.get());
      return bool(Socket);
    };
    CPPUNIT_ASSERT(waitFor(Accept));
    const std::string Garbage(1000, '\xf0');
    ::send(Socket.get(), Garbage.data(), Garbage.size(), MSG_NOSIGNAL);
    CPPUNIT_ASSERT(waitFor(Accept));
    wire::control_frame Reply;
    Reply.mutable_hello_ok()->set_protocol_version(InnerProtocolVersion + 1);
    auto Body = std::make_shared<outbound_queue>(MaxMessageBytes);
    Body->push(Reply.SerializeAsString());
    http2_connection Server(
        std::move(Socket),
        {.Side = http2_side::Server,
         .Hooks = {.OnRequest =
                       [&](int32_t Stream, std::string_view) {
                         Server.respond(Stream, Body);
                       },
                   .OnMessage = [](int32_t, std::string_view) {}},
         .Now = steady_clock::now()});
    CPPUNIT_ASSERT(waitFor([&] {
      Server.receive(steady_clock::now());
      Server.flush();
      return Server.failed();
    }));
    CPPUNIT_ASSERT(!Client.peer(Address)->Connected);
    CPPUNIT_ASSERT_EQUAL(Before + 1,
                         counterValue("inner_client_refusals_total", "reason",
                                      "protocol_version"));
  }

  // Guards against bytes of another protocol that crash the server or keep a
  // connection open.
  void closesOnGarbage() {
    inner_server Server({.Self = testIdentity("server"), .OnRequest = echo});
    Server.start();
    std::minstd_rand Random(1);
    const std::string Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    for (int I = 0; I < 40; ++I) {
      std::string Bytes = I % 2 == 0 ? "" : Preface;
      if (I == 0)
        Bytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
      while (Bytes.size() < 20000)
        Bytes += static_cast<char>(Random());
      test_raw_peer Peer(Server.port());
      ::send(Peer.Http2->fd(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      CPPUNIT_ASSERT(waitFor([&] {
        std::array<char, 4096> Buffer;
        const ssize_t Count = ::recv(Peer.Http2->fd(), Buffer.data(),
                                     Buffer.size(), MSG_DONTWAIT);
        return Count == 0 || (Count < 0 && errno != EAGAIN);
      }));
    }
    test_raw_peer ValidPeer(Server.port());
    ValidPeer.sendHello(test_raw_peer::makeHello(1));
    CPPUNIT_ASSERT(ValidPeer.receiveHelloOk());
  }

  // Guards against accepting frames above the size limit, malformed requests
  // and messages that do not parse.
  void closesOnMalformedFrames() {
    inner_server Server({.Self = testIdentity("server"), .OnRequest = echo});
    Server.start();
    const auto Total = [] {
      return counterValue("inner_malformed_total", "kind", "malformed_frame") +
             counterValue("inner_malformed_total", "kind",
                          "malformed_message") +
             counterValue("inner_malformed_total", "kind", "malformed_request");
    };
    for (uint64_t Epoch = 1; Epoch <= 4; ++Epoch) {
      const uint64_t Before = Total();
      test_raw_peer Peer(Server.port());
      Peer.sendHello(test_raw_peer::makeHello(Epoch));
      CPPUNIT_ASSERT(Peer.receiveHelloOk());
      if (Epoch == 1) {
        auto Body = std::make_shared<outbound_queue>(MaxMessageBytes);
        Body->push("ok");
        Body->push("two messages");
        Body->finish();
        Peer.Http2->request("/run", Body);
      } else if (Epoch == 2) {
        auto Empty = std::make_shared<outbound_queue>(MaxMessageBytes);
        Empty->finish();
        Peer.Http2->request("/run", Empty);
      } else if (Epoch == 3) {
        Peer.ControlQueue->push("\xff\xff\xff");
        Peer.Http2->resume(Peer.ControlStreamId);
      } else {
        Peer.ControlQueue->pushFrame("\xff\xff\xff\xff");
        Peer.Http2->resume(Peer.ControlStreamId);
      }
      Peer.Http2->flush();
      CPPUNIT_ASSERT(Peer.receiveUntilClosed());
      CPPUNIT_ASSERT(waitFor([&] { return Total() == Before + 1; }));
    }
  }

  // Guards against accepting requests before the epoch of the connection was
  // checked.
  void refusesRequestsBeforeHello() {
    std::atomic<int> Requests{0};
    inner_server Server(
        {.Self = testIdentity("server"),
         .OnRequest = [&](const auto &, auto, auto) { ++Requests; },
         .SilenceTimeout = SilenceTimeout});
    Server.start();
    test_raw_peer NoHello(Server.port());
    NoHello.sendRequest("/run", "X");
    CPPUNIT_ASSERT(NoHello.receiveUntilClosed());
    // A peer that sends nothing must not keep its connection.
    test_raw_peer Silent(Server.port());
    CPPUNIT_ASSERT(Silent.receiveUntilClosed());
    CPPUNIT_ASSERT_EQUAL(0, Requests.load());
  }

  // Guards against a reconnect storm when two processes have the same identity
  // and close each other's connections.
  void backsOffAfterImmediateClose() {
    std::atomic<int> Connects{0};
    inner_server Server(
        {.Self = testIdentity("server"),
         .OnPeerUp = [&](const peer_identity &, uint64_t) { ++Connects; }});
    Server.start();
    inner_client First({.Self = testIdentity("client")});
    inner_client Second({.Self = testIdentity("client")});
    for (inner_client *Client : {&First, &Second}) {
      Client->start();
      Client->addPeer(loopbackAddress(Server.port()));
    }
    std::this_thread::sleep_for(milliseconds(1500));
    CPPUNIT_ASSERT(Connects >= 2);
    // With the minimum delay there would be about 40.
    CPPUNIT_ASSERT(Connects <= 14);
  }

  // Guards against an unlimited number of connections or streams.
  void boundsConnections() {
    inner_server Server({.Self = testIdentity("server"), .MaxConnections = 1});
    Server.start();
    inner_client Client({.Self = testIdentity("client")});
    Client.start();
    const std::string Address = loopbackAddress(Server.port());
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    test_raw_peer Second(Server.port());
    Second.sendHello(test_raw_peer::makeHello(1));
    CPPUNIT_ASSERT(Second.receiveUntilClosed());
    std::vector<stream_recorder> Records(MaxStreams);
    for (stream_recorder &Record : Records)
      Client.open(Address, "/run", "X", Record.hooks());
    CPPUNIT_ASSERT(Records.back().waitClosed() == inner_stream_end::NeverSent);
    CPPUNIT_ASSERT_EQUAL(std::string("too_many_streams"),
                         Records.back().reason());
    CPPUNIT_ASSERT_EQUAL(0U, Records[MaxStreams - 2].closeCount());
    Client.stop();
    CPPUNIT_ASSERT(Records.front().waitClosed() == inner_stream_end::Broken);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(inner_failure_test, "inner_failure_test");

} // namespace cardamom
