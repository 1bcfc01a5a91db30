#include "gateway/dispatch_gate.h"

#include "gateway/test_environment.h"
#include "http/http_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cardamom {

class dispatch_gate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(dispatch_gate_test);
  CPPUNIT_TEST(oldListIsRenewedBeforeAChoice);
  CPPUNIT_TEST(oldListIsUsedWhileStoreIsUnreachable);
  CPPUNIT_TEST(unaryCallIsNotWrittenToReplicaThatLeftDuringConnect);
  CPPUNIT_TEST(streamIsNotWrittenToReplicaThatLeftDuringConnect);
  CPPUNIT_TEST(callWaitsForRenewedList);
  CPPUNIT_TEST_SUITE_END();

  test_environment Env;
  std::vector<std::unique_ptr<http_server>> Servers;
  std::map<std::string, unsigned> Received;
  std::string Left;

  void startReplica(const std::string &Id) {
    const std::string Address = test_environment::unusedAddress();
    Servers.push_back(std::make_unique<http_server>(
        Env.Loop, http_server_options{
                      .Listen = Address,
                      .OnRequest = [this, Id](const exchange_ptr &Exchange) {
                        ++Received[Id];
                        Exchange->respond({.Status = 200,
                                           .Headers = {},
                                           .Body = "id: 1\ndata: x\n\n"});
                      }}));
    Env.addReplica(Id, Address);
  }

  /// Lets the replica leave that the last call was sent to.
  void letChosenReplicaLeave() {
    Left = Env.Chosen;
    replica Leaving = *Env.Directory.find(Left);
    Leaving.Draining = true;
    Env.Directory.update(Leaving, event_loop::now());
  }

public:
  void oldListIsRenewedBeforeAChoice() {
    bool Opened = false;
    const time_point LastChoice = Env.ConfirmedAt + milliseconds(60000);
    CPPUNIT_ASSERT(Env.Gate.mayChoose(LastChoice));
    CPPUNIT_ASSERT(!Env.Gate.mayChoose(LastChoice + milliseconds(1)));
    Env.Gate.whenOpen([&] { Opened = true; });
    Env.Gate.whenOpen([] {});
    CPPUNIT_ASSERT_EQUAL(1U, Env.Renewals);
    Env.runFor(milliseconds(10));
    CPPUNIT_ASSERT(!Opened);
    Env.Gate.onRenewalEnded();
    Env.runFor(milliseconds(10));
    CPPUNIT_ASSERT(Opened);
  }

  // Guards against a service that stops in an outage of the store.
  void oldListIsUsedWhileStoreIsUnreachable() {
    Env.StoreReachable = false;
    CPPUNIT_ASSERT(Env.Gate.mayChoose(Env.ConfirmedAt + milliseconds(600000)));
  }

  void unaryCallIsNotWrittenToReplicaThatLeftDuringConnect() {
    startReplica("a");
    startReplica("b");
    unary_result Result;
    const unary_call_ptr Call = Env.UnaryClient.start(
        test_environment::unaryRequest(),
        [&](unary_result End) { Result = std::move(End); });
    letChosenReplicaLeave();
    Env.runFor(milliseconds(200));
    CPPUNIT_ASSERT(Result.FromReplica);
    CPPUNIT_ASSERT_EQUAL(0U, Received[Left]);
  }

  void streamIsNotWrittenToReplicaThatLeftDuringConnect() {
    startReplica("a");
    startReplica("b");
    std::optional<stream_outcome> Outcome;
    const stream_call_ptr Call = Env.StreamClient.start(
        test_environment::streamRequest(),
        {.OnHead = [](const upstream_head &) {},
         .OnEvent = [](std::string_view) {},
         .OnEnd = [&](const stream_result &End) { Outcome = End.Outcome; }});
    letChosenReplicaLeave();
    Env.runFor(milliseconds(200));
    CPPUNIT_ASSERT(Outcome == stream_outcome::Complete);
    CPPUNIT_ASSERT_EQUAL(0U, Received[Left]);
  }

  // Guards against requests that a process sends on what it knew before it was
  // suspended.
  void callWaitsForRenewedList() {
    startReplica("a");
    startReplica("b");
    Env.ConfirmedAt -= milliseconds(65000);
    unary_result Result;
    const unary_call_ptr Call = Env.UnaryClient.start(
        test_environment::unaryRequest(),
        [&](unary_result End) { Result = std::move(End); });
    Env.runFor(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(1U, Env.Renewals);
    CPPUNIT_ASSERT_EQUAL(0U, Received["a"] + Received["b"]);
    Env.Directory.remove("a", std::nullopt, event_loop::now());
    Env.ConfirmedAt = event_loop::now();
    Env.Gate.onRenewalEnded();
    Env.runFor(milliseconds(200));
    CPPUNIT_ASSERT(Result.FromReplica);
    CPPUNIT_ASSERT_EQUAL(0U, Received["a"]);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(dispatch_gate_test, "dispatch_gate_test");

} // namespace cardamom
