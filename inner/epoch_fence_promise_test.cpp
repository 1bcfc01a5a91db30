#include "inner/epoch_table.h"
#include "inner/test_raw_peer.h"
#include "inner/test_relay.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace cardamom {

/// After hello_ok for an epoch, no request of an older epoch is passed to
/// OnRequest. Otherwise a request reported as NEVER_SEEN could still run later.
class epoch_fence_promise_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(epoch_fence_promise_test);
  CPPUNIT_TEST(delayedRequestNeverArrives);
  CPPUNIT_TEST(delayedHelloIsRefused);
  CPPUNIT_TEST(unreadBytesAreDiscarded);
  CPPUNIT_TEST(closesStreamsBeforeHelloOk);
  CPPUNIT_TEST(tableRemembersClosedPeers);
  CPPUNIT_TEST_SUITE_END();

  /// Records the events of a server in one sequence. Thread-safe.
  struct event_recorder {
    void record(std::string Event) {
      std::lock_guard Lock(Mutex);
      Events.push_back(std::move(Event));
    }
    std::vector<std::string> events() {
      std::lock_guard Lock(Mutex);
      return Events;
    }
    inner_server_options options() {
      return {
          .Self = testIdentity("server"),
          .OnRequest =
              [this](const std::shared_ptr<server_stream> &Stream,
                     std::string_view, std::string_view Message) {
                record("request " + std::to_string(Stream->epoch()) + " " +
                       std::string(Message));
                Stream->onClose([this] { record("stream closed"); });
              },
          .OnPeerUp =
              [this](const peer_identity &, uint64_t Epoch) {
                record("up " + std::to_string(Epoch));
              },
          .OnPeerDown =
              [this](const peer_identity &, std::string_view Reason) {
                record("down " + std::string(Reason));
              },
          .SilenceTimeout = milliseconds(60000),
      };
    }

    std::mutex Mutex;
    std::vector<std::string> Events;
  };

  using events = std::vector<std::string>;

public:
  // Guards against running a request that was delayed in the network. Its
  // sender has since opened a newer connection, which tells the sender that the
  // delayed request will never run.
  void delayedRequestNeverArrives() {
    event_recorder Recorder;
    inner_server Server(Recorder.options());
    Server.start();
    test_relay Relay(Server.port());
    inner_client Client(
        {.Self = testIdentity("client"), .SilenceTimeout = milliseconds(200)});
    Client.start();
    const std::string Address = loopbackAddress(Relay.port());
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    Relay.stall();
    stream_recorder Record;
    Client.open(Address, "/run", "X", Record.hooks());
    CPPUNIT_ASSERT(waitFor([&] { return Relay.stalledClientBytes() > 0; }));
    // The client times out the silent connection and opens another one.
    CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Broken);
    CPPUNIT_ASSERT_EQUAL(std::string("silent"), Record.reason());
    CPPUNIT_ASSERT(waitFor([&] {
      const auto Status = Client.peer(Address);
      return Status->Connected && Status->Epoch == 2;
    }));
    Relay.resume();
    stream_recorder Later;
    Client.open(Address, "/run", "Y", Later.hooks());
    CPPUNIT_ASSERT(waitFor([&] { return Relay.stalledClientBytes() == 0; }));
    CPPUNIT_ASSERT(waitFor([&] { return Recorder.events().size() >= 4; }));
    const events Expected = {"up 1", "down superseded", "up 2", "request 2 Y"};
    CPPUNIT_ASSERT(Recorder.events() == Expected);
    Client.stop();
    Server.stop();
    for (const std::string &Event : Recorder.events())
      CPPUNIT_ASSERT(Event.find('X') == std::string::npos);
  }

  // Guards against accepting an old connection whose hello was delayed until
  // after the newer connection had closed.
  void delayedHelloIsRefused() {
    event_recorder Recorder;
    inner_server Server(Recorder.options());
    Server.start();
    test_relay Relay(Server.port());
    Relay.stallNewConnections(true);
    test_raw_peer Old(Relay.port());
    Old.sendHello(test_raw_peer::makeHello(1));
    CPPUNIT_ASSERT(waitFor([&] { return Relay.stalledClientBytes() > 0; }));
    {
      test_raw_peer Newer(Server.port());
      Newer.sendHello(test_raw_peer::makeHello(2));
      CPPUNIT_ASSERT(Newer.receiveHelloOk());
    }
    CPPUNIT_ASSERT(waitFor([&] { return Server.peers().empty(); }));
    Relay.resume();
    CPPUNIT_ASSERT(Old.receiveUntil(
        [&] { return Old.LastControlFrame.has_hello_refused(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("epoch_not_higher"),
                         Old.LastControlFrame.hello_refused().reason());
    Old.sendRequest("/run", "X");
    CPPUNIT_ASSERT(Old.receiveUntilClosed());
    const events Expected = {"up 2", "down closed_by_peer"};
    CPPUNIT_ASSERT(Recorder.events() == Expected);
  }

  // Guards against handling requests of the old connection that are still in
  // the kernel's receive buffer when the newer hello is handled. The I/O thread
  // is blocked while both arrive.
  void unreadBytesAreDiscarded() {
    constexpr int Rounds = 50;
    std::atomic<bool> Busy{false};
    std::atomic<bool> Block{false};
    event_recorder Recorder;
    inner_server_options Options = Recorder.options();
    Options.OnControl = [&](const peer_identity &,
                            const wire::control_frame &) {
      Busy = true;
      waitFor([&] { return !Block; });
    };
    inner_server Server(std::move(Options));
    Server.start();
    test_raw_peer Blocker(Server.port());
    wire::hello Hello = test_raw_peer::makeHello(1);
    Hello.set_name("blocker");
    Blocker.sendHello(Hello);
    CPPUNIT_ASSERT(Blocker.receiveHelloOk());
    wire::control_frame Heartbeat;
    Heartbeat.mutable_heartbeat();
    uint64_t Epoch = 0;
    for (int I = 0; I < Rounds; ++I) {
      // Newer connects before Old, so that the event batch may contain the two
      // sockets in either order.
      test_raw_peer Newer(Server.port());
      test_raw_peer Old(Server.port());
      Old.sendHello(test_raw_peer::makeHello(++Epoch));
      CPPUNIT_ASSERT(Old.receiveHelloOk());
      Block = true;
      Busy = false;
      Blocker.sendControl(Heartbeat);
      CPPUNIT_ASSERT(waitFor([&] { return Busy.load(); }));
      Newer.sendHello(test_raw_peer::makeHello(++Epoch));
      Old.sendRequest("/run", "X");
      Block = false;
      CPPUNIT_ASSERT(Newer.receiveHelloOk());
      CPPUNIT_ASSERT(Old.receiveUntilClosed());
    }
    Server.stop();
    std::string LastUp;
    int Requests = 0;
    for (const std::string &Event : Recorder.events()) {
      if (Event.starts_with("up"))
        LastUp = Event.substr(3);
      if (!Event.starts_with("request"))
        continue;
      ++Requests;
      CPPUNIT_ASSERT_EQUAL("request " + LastUp + " X", Event);
    }
    // The case is covered only if the newer hello was handled first in some
    // rounds.
    CPPUNIT_ASSERT(Requests < Rounds);
  }

  // Guards against a stream of the old connection that is still considered open
  // when the peer queries its requests over the newer connection.
  void closesStreamsBeforeHelloOk() {
    event_recorder Recorder;
    inner_server Server(Recorder.options());
    Server.start();
    test_raw_peer Old(Server.port());
    Old.sendHello(test_raw_peer::makeHello(1));
    CPPUNIT_ASSERT(Old.receiveHelloOk());
    Old.sendRequest("/run", "X");
    CPPUNIT_ASSERT(waitFor([&] { return Recorder.events().size() == 2; }));
    test_raw_peer Newer(Server.port());
    Newer.sendHello(test_raw_peer::makeHello(2));
    CPPUNIT_ASSERT(Newer.receiveHelloOk());
    const events Expected = {"up 1", "request 1 X", "stream closed",
                             "down superseded", "up 2"};
    CPPUNIT_ASSERT(Recorder.events() == Expected);
  }

  // Guards against a table that drops epochs while bytes of older connections
  // may still arrive, and against one that grows without limit.
  void tableRemembersClosedPeers() {
    using outcome = epoch_table::outcome;
    const time_point Start{};
    epoch_table Table(2);
    CPPUNIT_ASSERT(Table.accept("a", 1, 5, Start) == outcome::Accepted);
    CPPUNIT_ASSERT(Table.accept("a", 1, 5, Start) == outcome::NotHigher);
    CPPUNIT_ASSERT(Table.accept("a", 2, 1, Start) == outcome::Accepted);
    CPPUNIT_ASSERT(Table.accept("b", 1, 1, Start) == outcome::Full);
    const time_point Later =
        Start + epoch_table::EntryLifetime + milliseconds(1);
    Table.touch("a", 1, Later);
    CPPUNIT_ASSERT(Table.accept("b", 1, 1, Later) == outcome::Accepted);
    CPPUNIT_ASSERT_EQUAL(size_t(2), Table.size());
    CPPUNIT_ASSERT(Table.accept("a", 1, 5, Later) == outcome::NotHigher);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(epoch_fence_promise_test,
                                      "epoch_fence_promise_test");

} // namespace cardamom
