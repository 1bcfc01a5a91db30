#include "gateway/dispatch_gate.h"

#include "gateway/replica_directory.h"
#include "gateway/stream_client.h"
#include "gateway/unary_client.h"
#include "http/event_loop.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "policy/router.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cardamom {

class dispatch_gate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(dispatch_gate_test);
  CPPUNIT_TEST(oldListIsRenewedBeforeAChoice);
  CPPUNIT_TEST(oldListIsUsedWhileStoreIsUnreachable);
  CPPUNIT_TEST(unaryCallIsNotWrittenToReplicaThatLeftDuringConnect);
  CPPUNIT_TEST(streamIsNotWrittenToReplicaThatLeftDuringConnect);
  CPPUNIT_TEST(callWaitsForRenewedList);
  CPPUNIT_TEST_SUITE_END();

  event_loop Loop;
  http_client Client{Loop, {}};
  replica_directory Directory{{}};
  time_point ConfirmedAt = event_loop::now();
  bool StoreReachable = true;
  unsigned Renewals = 0;
  dispatch_gate Gate{{.Loop = Loop,
                      .Directory = Directory,
                      .MaxAge = milliseconds(1000),
                      .ConfirmedAt = [this] { return ConfirmedAt; },
                      .StoreReachable = [this] { return StoreReachable; },
                      .Renew = [this] { ++Renewals; }}};
  router Router{{}};
  std::string Chosen;
  std::string Left;
  upstream_protocol Protocol{
      .Encode =
          [this](const upstream_request &Request) {
            Chosen = Request.ReplicaId;
            return http_request{
                .Method = "POST",
                .Target = "/",
                .Headers = {{"Host", "h"}, {"Id", Request.RequestId}}};
          },
      .Decode =
          [](const http_response &Response) {
            return upstream_head{
                .Status = Response.Status, .RequestId = "r", .Signature = "s"};
          }};
  unary_client UnaryClient{{.Loop = Loop,
                            .Client = Client,
                            .Directory = Directory,
                            .Gate = Gate,
                            .Router = Router,
                            .Protocol = Protocol}};
  stream_client StreamClient{{.Loop = Loop,
                              .Client = Client,
                              .Directory = Directory,
                              .Gate = Gate,
                              .Router = Router,
                              .Protocol = Protocol}};
  std::vector<std::unique_ptr<http_server>> Servers;
  std::map<std::string, unsigned> Received;

  static std::string unusedAddress() {
    const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(
        0,
        ::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address));
    socklen_t Length = sizeof Address;
    ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length);
    ::close(Socket);
    return "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
  }

  void startReplica(const std::string &Id) {
    const std::string Address = unusedAddress();
    Servers.push_back(std::make_unique<http_server>(
        Loop,
        http_server_options{
            .Listen = Address, .OnRequest = [this, Id](const exchange_ptr &E) {
              ++Received[Id];
              E->respond(
                  {.Status = 200, .Headers = {}, .Body = "id: 1\ndata: x\n\n"});
            }}));
    Directory.update({.Id = Id, .Service = "s", .Address = Address},
                     event_loop::now());
  }

  /// Lets the replica leave that the last call was sent to.
  void letChosenReplicaLeave() {
    Left = Chosen;
    replica Leaving = *Directory.find(Left);
    Leaving.Draining = true;
    Directory.update(Leaving, event_loop::now());
  }

  void runFor(milliseconds Time) {
    const timer_handle Timer = Loop.after(Time, [this] { Loop.stop(); });
    Loop.run();
    Loop.restart();
  }

  unary_request request() {
    const time_point Now = event_loop::now();
    return {.UpstreamRequest = {.RequestId = "r"},
            .Service = "s",
            .MaxAttempts = 1,
            .ReceivedAt = Now,
            .Deadline = Now + milliseconds(1000)};
  }

public:
  void oldListIsRenewedBeforeAChoice() {
    bool Opened = false;
    CPPUNIT_ASSERT(Gate.mayChoose(ConfirmedAt + milliseconds(1000)));
    CPPUNIT_ASSERT(!Gate.mayChoose(ConfirmedAt + milliseconds(1001)));
    Gate.whenOpen([&] { Opened = true; });
    Gate.whenOpen([] {});
    CPPUNIT_ASSERT_EQUAL(1U, Renewals);
    runFor(milliseconds(10));
    CPPUNIT_ASSERT(!Opened);
    Gate.onRenewalEnded();
    runFor(milliseconds(10));
    CPPUNIT_ASSERT(Opened);
  }

  // Guards against a service that stops in an outage of the store.
  void oldListIsUsedWhileStoreIsUnreachable() {
    StoreReachable = false;
    CPPUNIT_ASSERT(Gate.mayChoose(ConfirmedAt + milliseconds(60000)));
  }

  void unaryCallIsNotWrittenToReplicaThatLeftDuringConnect() {
    startReplica("a");
    startReplica("b");
    unary_result Result;
    const unary_call_ptr Call =
        UnaryClient.start(request(), [&](unary_result End) { Result = End; });
    letChosenReplicaLeave();
    runFor(milliseconds(200));
    CPPUNIT_ASSERT(Result.FromReplica);
    CPPUNIT_ASSERT_EQUAL(0U, Received[Left]);
  }

  void streamIsNotWrittenToReplicaThatLeftDuringConnect() {
    startReplica("a");
    startReplica("b");
    std::optional<stream_outcome> Outcome;
    const stream_call_ptr Call = StreamClient.start(
        {.UpstreamRequest = {.RequestId = "r"},
         .Service = "s",
         .MaxAttempts = 1,
         .FirstEventDeadline = event_loop::now() + milliseconds(1000)},
        {.OnHead = [](const upstream_head &) {},
         .OnEvent = [](std::string_view) {},
         .OnEnd = [&](const stream_result &End) { Outcome = End.Outcome; }});
    letChosenReplicaLeave();
    runFor(milliseconds(200));
    CPPUNIT_ASSERT(Outcome == stream_outcome::Complete);
    CPPUNIT_ASSERT_EQUAL(0U, Received[Left]);
  }

  // Guards against requests that a process sends on what it knew before it was
  // suspended.
  void callWaitsForRenewedList() {
    startReplica("a");
    startReplica("b");
    ConfirmedAt -= milliseconds(5000);
    unary_result Result;
    const unary_call_ptr Call =
        UnaryClient.start(request(), [&](unary_result End) { Result = End; });
    runFor(milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(1U, Renewals);
    CPPUNIT_ASSERT_EQUAL(0U, Received["a"] + Received["b"]);
    Directory.remove("a", std::nullopt, event_loop::now());
    ConfirmedAt = event_loop::now();
    Gate.onRenewalEnded();
    runFor(milliseconds(200));
    CPPUNIT_ASSERT(Result.FromReplica);
    CPPUNIT_ASSERT_EQUAL(0U, Received["a"]);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(dispatch_gate_test, "dispatch_gate_test");

} // namespace cardamom
