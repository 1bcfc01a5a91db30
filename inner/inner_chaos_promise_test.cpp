#include "inner/gen/messages.pb.h"
#include "inner/test_peers.h"
#include "inner/test_relay.h"

#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <random>
#include <set>
#include <string>

namespace cardamom {

/// Sends requests while the relay stalls, resumes and closes connections at
/// random.
class inner_chaos_promise_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(inner_chaos_promise_test);
  CPPUNIT_TEST(reportsCorrectOutcomes);
  CPPUNIT_TEST_SUITE_END();

  static constexpr unsigned Seed = 1;
  static constexpr milliseconds Duration{3000};
  static constexpr milliseconds SilenceTimeout{60};

  /// Echo server that records which requests arrive in which epoch.
  struct echo_server {
    echo_server()
        : Server({.Self = testIdentity("server"),
                  .OnRequest =
                      [this](const std::shared_ptr<server_stream> &Stream,
                             std::string_view, std::string_view Message) {
                        recordRequest(Stream->epoch(), std::string(Message));
                        Stream->send(Message);
                        Stream->finish();
                      },
                  .OnPeerUp = [this](const peer_identity &,
                                     uint64_t Epoch) { NewestEpoch = Epoch; },
                  // Old connections are closed only by newer ones.
                  .SilenceTimeout = milliseconds(60000)}) {
      Server.start();
    }
    void recordRequest(uint64_t Epoch, std::string Message) {
      StaleRequests += Epoch < NewestEpoch ? 1 : 0;
      DuplicateRequests += Arrived.insert(std::move(Message)).second ? 0 : 1;
    }

    // Used on the I/O thread, and by the test only after stop().
    std::set<std::string> Arrived;
    uint64_t NewestEpoch = 0;
    int StaleRequests = 0;
    int DuplicateRequests = 0;
    inner_server Server;
  };

  static void injectFault(test_relay &Relay, std::minstd_rand &Random) {
    const unsigned Choice =
        std::uniform_int_distribution<unsigned>(0, 5)(Random);
    if (Choice == 0)
      Relay.closeAll();
    else if (Choice <= 2)
      Relay.stall();
    else if (Choice == 3)
      Relay.resume();
  }

public:
  // Guards against a request that is reported as NeverSent but arrives, that
  // arrives twice or in a superseded epoch, whose outcome is reported twice or
  // not at all, or that receives the response of another request.
  void reportsCorrectOutcomes() {
    echo_server Echo;
    test_relay Relay(Echo.Server.port());
    inner_client Client({.Self = testIdentity("client"),
                         .SilenceTimeout = SilenceTimeout,
                         .MaxReconnectDelay = milliseconds(100)});
    Client.start();
    const std::string Address = loopbackAddress(Relay.port());
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    wire::control_frame Heartbeat;
    Heartbeat.mutable_heartbeat()->set_sequence(1);
    std::minstd_rand Random(Seed);
    std::deque<stream_recorder> Records;
    const time_point End = steady_clock::now() + Duration;
    for (int Tick = 0; steady_clock::now() < End; ++Tick) {
      for (int I = 0; I < 5; ++I) {
        const std::string Message = std::to_string(Records.size());
        const auto Id = Client.open(Address, "/run", Message,
                                    Records.emplace_back().hooks());
        if (I == 4 && Tick % 4 == 0)
          Client.cancel(Id);
      }
      Client.broadcastControl(Heartbeat);
      Echo.Server.broadcastControl(Heartbeat);
      if (Tick % 10 == 9)
        injectFault(Relay, Random);
      std::this_thread::sleep_for(milliseconds(3));
    }
    Relay.resume();
    for (stream_recorder &Record : Records)
      CPPUNIT_ASSERT(Record.waitClosed().has_value());
    const uint64_t Epochs = Client.peer(Address)->Epoch;
    Client.stop();
    Echo.Server.stop();
    std::array<int, 3> Ends = {};
    for (size_t I = 0; I < Records.size(); ++I) {
      const std::string Message = std::to_string(I);
      const inner_stream_end Reported = *Records[I].waitClosed();
      ++Ends[size_t(Reported)];
      CPPUNIT_ASSERT_EQUAL(1U, Records[I].closeCount());
      const std::vector<std::string> Expected = {Message};
      if (Reported == inner_stream_end::Finished)
        CPPUNIT_ASSERT(Records[I].messages() == Expected);
      if (Reported == inner_stream_end::NeverSent)
        CPPUNIT_ASSERT(!Echo.Arrived.contains(Message));
    }
    CPPUNIT_ASSERT_EQUAL(0, Echo.StaleRequests);
    CPPUNIT_ASSERT_EQUAL(0, Echo.DuplicateRequests);
    // The test is meaningful only if all outcomes and several reconnects
    // occurred.
    CPPUNIT_ASSERT(Epochs > 3);
    CPPUNIT_ASSERT(*std::min_element(Ends.begin(), Ends.end()) > 0);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(inner_chaos_promise_test,
                                      "inner_chaos_promise_test");

} // namespace cardamom
