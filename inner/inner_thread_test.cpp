#include "inner/gen/messages.pb.h"
#include "inner/test_peers.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <thread>

namespace cardamom {

/// Client and server with several sending threads.
class inner_thread_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(inner_thread_test);
  CPPUNIT_TEST(answersRequests);
  CPPUNIT_TEST(exchangesControlFrames);
  CPPUNIT_TEST(answersFromManyThreads);
  CPPUNIT_TEST_SUITE_END();

  static inner_server_options echoOptions() {
    return {.Self = testIdentity("server", 7),
            .OnRequest = [](const std::shared_ptr<server_stream> &Stream,
                            std::string_view Path, std::string_view Message) {
              Stream->send(Path);
              Stream->send(Message);
              Stream->finish();
            }};
  }

public:
  // Guards against responses that are lost, reordered or delivered to another
  // request.
  void answersRequests() {
    inner_server Server(echoOptions());
    Server.start();
    const std::string Address = loopbackAddress(Server.port());
    inner_client Client({.Self = testIdentity("client")});
    Client.start();
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    const auto Status = Client.peer(Address);
    CPPUNIT_ASSERT_EQUAL(std::string("server"), Status->Identity.Name);
    CPPUNIT_ASSERT_EQUAL(uint64_t(7), Status->Identity.Incarnation);
    for (int I = 0; I < 100; ++I) {
      stream_recorder Record;
      const std::string Text = "message " + std::to_string(I);
      Client.open(Address, "/run", Text, Record.hooks());
      CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Finished);
      const std::vector<std::string> Expected = {"/run", Text};
      CPPUNIT_ASSERT(Record.messages() == Expected);
      CPPUNIT_ASSERT_EQUAL(1U, Record.closeCount());
    }
  }

  // Guards against control frames that are lost or delivered to the wrong side.
  void exchangesControlFrames() {
    std::atomic<uint64_t> AtServer{0};
    std::atomic<uint64_t> AtClient{0};
    inner_server Server({.Self = testIdentity("server"),
                         .OnControl = [&](const peer_identity &Peer,
                                          const wire::control_frame &Frame) {
                           if (Peer.Name == "client")
                             AtServer = Frame.heartbeat().sequence();
                         }});
    Server.start();
    const std::string Address = loopbackAddress(Server.port());
    inner_client Client(
        {.Self = testIdentity("client"),
         .OnControl = [&](std::string_view, const peer_identity &Peer,
                          const wire::control_frame &Frame) {
           if (Peer.Name == "server")
             AtClient = Frame.heartbeat().sequence();
         }});
    Client.start();
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    wire::control_frame Frame;
    Frame.mutable_heartbeat()->set_sequence(3);
    Client.broadcastControl(Frame);
    CPPUNIT_ASSERT(waitFor([&] { return AtServer == 3; }));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Server.peers().size());
    Frame.mutable_heartbeat()->set_sequence(4);
    Server.broadcastControl(Frame);
    CPPUNIT_ASSERT(waitFor([&] { return AtClient == 4; }));
    Frame.mutable_heartbeat()->set_sequence(5);
    Server.sendControl(Server.peers()[0], Frame);
    CPPUNIT_ASSERT(waitFor([&] { return AtClient == 5; }));
    Frame.mutable_heartbeat()->set_sequence(6);
    Client.sendControl(Address, Frame);
    CPPUNIT_ASSERT(waitFor([&] { return AtServer == 6; }));
  }

  // Guards against data races between senders and the I/O threads.
  void answersFromManyThreads() {
    constexpr int Callers = 4;
    constexpr int Requests = 200;
    // The thread sanitizer keeps a trace for each thread that is not joined,
    // and on arm64 it has room for fewer than there are requests.
    constexpr size_t MaxUnjoined = 64;
    std::deque<std::thread> Workers;
    std::mutex WorkersMutex;
    inner_server Server(
        {.Self = testIdentity("server"),
         .OnRequest = [&](const std::shared_ptr<server_stream> &Stream,
                          std::string_view, std::string_view Message) {
           std::lock_guard Lock(WorkersMutex);
           while (Workers.size() >= MaxUnjoined) {
             Workers.front().join();
             Workers.pop_front();
           }
           Workers.emplace_back([Stream, Text = std::string(Message)] {
             for (int I = 0; I < 3; ++I)
               Stream->send(Text);
             Stream->finish();
           });
         }});
    Server.start();
    const std::string Address = loopbackAddress(Server.port());
    inner_client Client({.Self = testIdentity("client")});
    Client.start();
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    std::atomic<int> CorrectResponses{0};
    std::vector<std::thread> Threads;
    Threads.reserve(Callers);
    for (int T = 0; T < Callers; ++T)
      Threads.emplace_back([&, T] {
        for (int I = 0; I < Requests; ++I) {
          stream_recorder Record;
          const std::string Text = std::to_string(T * Requests + I);
          Client.open(Address, "/run", Text, Record.hooks());
          const std::vector<std::string> Expected(3, Text);
          if (Record.waitClosed() == inner_stream_end::Finished &&
              Record.messages() == Expected)
            ++CorrectResponses;
        }
      });
    for (std::thread &Thread : Threads)
      Thread.join();
    Client.stop();
    Server.stop();
    for (std::thread &Worker : Workers)
      Worker.join();
    CPPUNIT_ASSERT_EQUAL(Callers * Requests, CorrectResponses.load());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(inner_thread_test, "inner_thread_test");

} // namespace cardamom
