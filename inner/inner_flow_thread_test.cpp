#include "inner/frame_codec.h"
#include "inner/gen/messages.pb.h"
#include "inner/http2_connection.h"
#include "inner/test_peers.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>
#include <string>

namespace cardamom {

/// Large messages, flow control and the end of streams.
class inner_flow_thread_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(inner_flow_thread_test);
  CPPUNIT_TEST(carriesLargeMessages);
  CPPUNIT_TEST(boundsUnreadBytes);
  CPPUNIT_TEST(stalledStreamBlocksNoOther);
  CPPUNIT_TEST(manualFlowControlCountsMessageBytes);
  CPPUNIT_TEST(cancelReachesServer);
  CPPUNIT_TEST(resetsStreamsThatOverflow);
  CPPUNIT_TEST(streamsOutliveServer);
  CPPUNIT_TEST(stopSendsQueuedResponses);
  CPPUNIT_TEST_SUITE_END();

  /// A server that stores the last stream, and a client connected to it.
  struct connected_pair {
    connected_pair()
        : Server({.Self = testIdentity("server"),
                  .OnRequest =
                      [this](std::shared_ptr<server_stream> NewStream,
                             std::string_view Path, std::string_view Message) {
                        if (Path == "/echo") {
                          NewStream->send(Message);
                          NewStream->finish();
                          return;
                        }
                        std::lock_guard Lock(Mutex);
                        Stream = std::move(NewStream);
                      }}),
          Client({.Self = testIdentity("client")}) {
      Server.start();
      Client.start();
      Address = loopbackAddress(Server.port());
      Client.addPeer(Address);
      CPPUNIT_ASSERT(waitConnected(Client, Address));
    }

    std::shared_ptr<server_stream> waitForStream() {
      CPPUNIT_ASSERT(waitFor([&] {
        std::lock_guard Lock(Mutex);
        return Stream != nullptr;
      }));
      std::lock_guard Lock(Mutex);
      return Stream;
    }

    inner_server Server;
    inner_client Client;
    std::string Address;
    std::mutex Mutex;
    std::shared_ptr<server_stream> Stream;
  };

  static size_t receivedBytes(const stream_recorder &Record) {
    size_t Bytes = 0;
    for (const std::string &Message : Record.messages())
      Bytes += Message.size();
    return Bytes;
  }

public:
  // Guards against messages within the size limit that are truncated or
  // refused, even if they are larger than the window.
  void carriesLargeMessages() {
    connected_pair Pair;
    const std::string Large(MaxMessageBytes, 'x');
    for (bool Manual : {false, true}) {
      stream_recorder Record;
      const auto Id =
          Pair.Client.open(Pair.Address, "/echo", Large, Record.hooks());
      if (Manual)
        Pair.Client.enableManualFlowControl(Id);
      CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Finished);
      CPPUNIT_ASSERT(Record.messages().at(0) == Large);
    }
    stream_recorder Unused;
    CPPUNIT_ASSERT_THROW(
        Pair.Client.open(Pair.Address, "/echo", Large + "x", Unused.hooks()),
        std::length_error);
    CPPUNIT_ASSERT_EQUAL(0U, Unused.closeCount());
  }

  // Guards against unbounded buffers in either process when the reader is slow,
  // and against a sender that is not notified when it can continue.
  void boundsUnreadBytes() {
    constexpr size_t Chunk = size_t(16) << 10;
    constexpr size_t Total = size_t(8) << 20;
    connected_pair Pair;
    stream_recorder Record;
    const auto Id = Pair.Client.open(Pair.Address, "/run", "X", Record.hooks());
    Pair.Client.enableManualFlowControl(Id);
    const auto Stream = Pair.waitForStream();
    std::atomic<size_t> Sent{0};
    std::mutex FillMutex;
    const auto Fill = [&] {
      std::lock_guard Lock(FillMutex);
      while (Sent < Total && Stream->pendingBytes() < StreamWindowBytes) {
        Stream->send(std::string(Chunk, 'x'));
        Sent += Chunk;
        if (Sent == Total)
          Stream->finish();
      }
    };
    Stream->onWritable(Fill);
    Fill();
    CPPUNIT_ASSERT(waitFor([&] {
      return receivedBytes(Record) + 2 * Chunk > size_t(StreamWindowBytes);
    }));
    std::this_thread::sleep_for(milliseconds(100));
    CPPUNIT_ASSERT(receivedBytes(Record) <= size_t(StreamWindowBytes));
    CPPUNIT_ASSERT(Sent <= 3 * size_t(StreamWindowBytes));
    size_t Consumed = 0;
    CPPUNIT_ASSERT(waitFor([&] {
      const size_t Received = receivedBytes(Record);
      Pair.Client.consume(Id, Received - Consumed);
      Consumed = Received;
      return Received == Total;
    }));
    CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Finished);
    Stream->onWritable({});
  }

  // Guards against one slow caller that blocks all streams of a connection.
  void stalledStreamBlocksNoOther() {
    connected_pair Pair;
    stream_recorder Slow;
    const auto Id = Pair.Client.open(Pair.Address, "/run", "X", Slow.hooks());
    Pair.Client.enableManualFlowControl(Id);
    const auto Stream = Pair.waitForStream();
    for (int I = 0; I < 32; ++I)
      Stream->send(std::string(size_t(64) << 10, 'x'));
    const std::string Large(MaxMessageBytes, 'x');
    for (int I = 0; I < 20; ++I) {
      stream_recorder Record;
      Pair.Client.open(Pair.Address, "/echo", Large, Record.hooks());
      CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Finished);
    }
    CPPUNIT_ASSERT(receivedBytes(Slow) <= size_t(StreamWindowBytes));
  }

  // Guards against a window that is exhausted because frame headers never count
  // as consumed.
  void manualFlowControlCountsMessageBytes() {
    constexpr size_t Messages = 150000;
    connected_pair Pair;
    std::atomic<size_t> Received{0};
    std::atomic<inner_client::stream_id> Id{0};
    stream_recorder Record;
    inner_stream_hooks Hooks = Record.hooks();
    Hooks.OnMessage = [&](std::string_view Message) {
      Pair.Client.consume(Id, Message.size());
      ++Received;
    };
    Id = Pair.Client.open(Pair.Address, "/run", "X", std::move(Hooks));
    Pair.Client.enableManualFlowControl(Id);
    const auto Stream = Pair.waitForStream();
    for (size_t I = 0; I < Messages; ++I)
      Stream->send("x");
    Stream->finish();
    CPPUNIT_ASSERT(Record.waitClosed(milliseconds(30000)) ==
                   inner_stream_end::Finished);
    CPPUNIT_ASSERT_EQUAL(Messages, Received.load());
  }

  // Guards against runs that continue after the caller has cancelled them.
  void cancelReachesServer() {
    connected_pair Pair;
    stream_recorder Record;
    const auto Id = Pair.Client.open(Pair.Address, "/run", "X", Record.hooks());
    const auto Stream = Pair.waitForStream();
    std::atomic<int> Closes{0};
    Stream->onClose([&] { ++Closes; });
    CPPUNIT_ASSERT(Stream->send("part"));
    Pair.Client.cancel(Id);
    CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Broken);
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), Record.reason());
    CPPUNIT_ASSERT(waitFor([&] { return Closes == 1; }));
    CPPUNIT_ASSERT(Stream->closed());
    CPPUNIT_ASSERT(!Stream->send("more"));
    CPPUNIT_ASSERT_EQUAL(size_t(0), Stream->pendingBytes());
    Stream->onClose([&] { ++Closes; });
    CPPUNIT_ASSERT_EQUAL(2, Closes.load());
    stream_recorder Next;
    Pair.Client.open(Pair.Address, "/echo", "Y", Next.hooks());
    CPPUNIT_ASSERT(Next.waitClosed() == inner_stream_end::Finished);
    CPPUNIT_ASSERT_EQUAL(1U, Record.closeCount());
  }

  // Guards against a sender that ignores pendingBytes().
  void resetsStreamsThatOverflow() {
    connected_pair Pair;
    stream_recorder Record;
    const auto Id = Pair.Client.open(Pair.Address, "/run", "X", Record.hooks());
    Pair.Client.enableManualFlowControl(Id);
    const auto Stream = Pair.waitForStream();
    const std::string Large(MaxMessageBytes / 2, 'x');
    int Sent = 0;
    while (Stream->send(Large))
      ++Sent;
    CPPUNIT_ASSERT(Sent >= 30 && Sent <= 64);
    CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Broken);
    CPPUNIT_ASSERT(waitFor([&] { return Stream->closed(); }));
  }

  // Guards against a graceful stop that truncates complete responses. The
  // client reads slowly, so most bytes are still in the server's socket buffer
  // when the server stops. The client also keeps sending, and data that arrives
  // at a closed socket would reset the connection.
  void stopSendsQueuedResponses() {
    constexpr size_t Streams = 8;
    std::mutex Mutex;
    std::vector<std::shared_ptr<server_stream>> Handles;
    inner_server Server(
        {.Self = testIdentity("server"),
         .OnRequest = [&](std::shared_ptr<server_stream> NewStream,
                          std::string_view, std::string_view) {
           std::lock_guard Lock(Mutex);
           Handles.push_back(std::move(NewStream));
         }});
    Server.start();
    std::atomic<bool> Blocked{false};
    inner_client Client(
        {.Self = testIdentity("client"),
         .OnControl = [&](std::string_view, const peer_identity &,
                          const wire::control_frame &) {
           Blocked = true;
           std::this_thread::sleep_for(milliseconds(50));
         }});
    Client.start();
    const std::string Address = loopbackAddress(Server.port());
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    std::vector<stream_recorder> Records(Streams);
    for (stream_recorder &Record : Records)
      Client.open(Address, "/run", "X", Record.hooks());
    CPPUNIT_ASSERT(waitFor([&] {
      std::lock_guard Lock(Mutex);
      return Handles.size() == Streams;
    }));
    wire::control_frame Heartbeat;
    Heartbeat.mutable_heartbeat()->set_sequence(1);
    Server.broadcastControl(Heartbeat);
    CPPUNIT_ASSERT(waitFor([&] { return Blocked.load(); }));
    for (const auto &Handle : Handles) {
      Handle->send(std::string(size_t(200) << 10, 'x'));
      Handle->finish();
    }
    Server.stop();
    for (stream_recorder &Record : Records)
      CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Finished);
  }

  // Guards against invalid memory accesses when a worker thread sends a
  // response after the server was destroyed.
  void streamsOutliveServer() {
    std::shared_ptr<server_stream> Stream;
    {
      connected_pair Pair;
      stream_recorder Record;
      Pair.Client.open(Pair.Address, "/run", "X", Record.hooks());
      Stream = Pair.waitForStream();
      Pair.Client.stop();
      CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Broken);
    }
    CPPUNIT_ASSERT(Stream->closed());
    CPPUNIT_ASSERT(!Stream->send("late"));
    Stream->finish();
    CPPUNIT_ASSERT_EQUAL(std::string("client"), Stream->peer().Name);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(inner_flow_thread_test,
                                      "inner_flow_thread_test");

} // namespace cardamom
