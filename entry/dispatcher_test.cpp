#include "entry/dispatcher.h"

#include "inner/gen/messages.pb.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace cardamom {

/// Replaces the connections to agents. Records the opened streams and lets the
/// test send the responses.
struct fake_agents {
  struct opened_stream {
    std::string Address;
    std::string Path;
    std::string Message;
    inner_stream_hooks Hooks;
  };
  std::vector<opened_stream> OpenedStreams;
  std::vector<upstream_view> Views;
  std::optional<dispatch_result> Result;
  std::string Text;
  time_point Now = time_point() + milliseconds(1000000);
  std::unique_ptr<dispatcher> Dispatcher;

  explicit fake_agents(int Count) {
    Dispatcher = std::make_unique<dispatcher>(dispatcher_options{
        .OpenStream =
            [this](std::string_view Address, std::string_view Path,
                   std::string_view Message, inner_stream_hooks Hooks) {
              OpenedStreams.push_back({std::string(Address), std::string(Path),
                                       std::string(Message), std::move(Hooks)});
              return OpenedStreams.size();
            },
        .CancelStream = [](auto) {},
        .HoldWindow = [](auto) {},
        .Consume = [](auto, size_t) {},
        .UpstreamsOfPool = [this](std::string_view) { return Views; },
        .AddressOf = [](std::string_view Name) { return std::string(Name); },
        .EnsurePeer = {},
        .ConfigVersion = [] { return uint64_t(1); },
        .Random = [] { return 0.0; },
        .Trace = {},
        .OwnFailureDomain = {},
        .RetryBudget = {}});
    for (int I = 0; I < Count; ++I) {
      upstream_view View;
      View.Name = "agent-" + std::to_string(I);
      View.Connected = true;
      Views.push_back(View);
      connectPeer(View.Name, 100 + I, 1);
    }
  }

  void connectPeer(const std::string &Address, uint64_t Incarnation,
                   uint64_t Epoch) {
    peer_identity Peer;
    Peer.Name = Address;
    Peer.Incarnation = Incarnation;
    Dispatcher->onPeerUp(Address, Peer, Epoch);
    advance();
  }
  void advance(milliseconds Elapsed = milliseconds(0)) {
    Now += Elapsed;
    Dispatcher->poll(Now);
  }
  dispatch_id startRequest(bool Idempotent, const std::string &Key = {}) {
    auto Request = std::make_shared<wire::run_request>();
    Request->set_request_id("r");
    Request->set_idempotent(Idempotent);
    Request->set_idempotency_key(Key);
    dispatch_call Call;
    Call.Pool = "p";
    Call.Request = Request;
    Call.Deadline = Now + milliseconds(10000);
    dispatch_sink Sink;
    Sink.OnData = [this](std::string_view Bytes) { Text += Bytes; };
    Sink.OnEnd = [this](const dispatch_result &R) { Result = R; };
    const dispatch_id Id = Dispatcher->start(Call, Sink);
    advance();
    return Id;
  }
  void sendData(size_t Stream, uint64_t Offset, const std::string &Bytes) {
    wire::run_event Event;
    Event.mutable_data()->set_offset(Offset);
    Event.mutable_data()->set_bytes(Bytes);
    OpenedStreams.at(Stream).Hooks.OnMessage(Event.SerializeAsString());
    advance();
  }
  void sendEnd(size_t Stream, wire::run_end_code Code, uint64_t Bytes = 0,
               const std::string &Reason = {}) {
    wire::run_event Event;
    Event.mutable_end()->set_code(Code);
    Event.mutable_end()->set_reason(Reason);
    Event.mutable_end()->set_answer_bytes(Bytes);
    OpenedStreams.at(Stream).Hooks.OnMessage(Event.SerializeAsString());
    advance();
  }
  void closeStream(size_t Stream, inner_stream_end End) {
    OpenedStreams.at(Stream).Hooks.OnClose(End, "test");
    advance();
  }
  [[nodiscard]] run_certainty certainty() const {
    CPPUNIT_ASSERT(Result.has_value());
    return Result->Verdict.Certainty;
  }
};

class dispatcher_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(dispatcher_test);
  CPPUNIT_TEST(attachesAtOffsetAfterReconnection);
  CPPUNIT_TEST(unknownAfterHigherEpochIsNotRun);
  CPPUNIT_TEST(unknownOnSameEpochMayHaveRun);
  CPPUNIT_TEST(restartedAgentMayHaveRun);
  CPPUNIT_TEST(reconnectTimeoutMayHaveRun);
  CPPUNIT_TEST(retriesRefusalOnOtherUpstream);
  CPPUNIT_TEST(truncatedResponseIsNotComplete);
  CPPUNIT_TEST(sameKeyGoesToSameAgent);
  CPPUNIT_TEST(fetchesResponseOfKeyHolder);
  CPPUNIT_TEST(cancelReturnsPartialOutput);
  CPPUNIT_TEST(restartedAgentCannotProveNotRun);
  CPPUNIT_TEST(abandonedRunIsAcknowledged);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against lost or repeated bytes after a lost connection.
  void attachesAtOffsetAfterReconnection() {
    fake_agents Agents(1);
    Agents.startRequest(false);
    CPPUNIT_ASSERT_EQUAL(std::string("/run"), Agents.OpenedStreams[0].Path);
    Agents.sendData(0, 0, "hello ");
    Agents.closeStream(0, inner_stream_end::Broken);
    Agents.connectPeer("agent-0", 100, 2);
    wire::attach_request Attach;
    CPPUNIT_ASSERT(Attach.ParseFromString(Agents.OpenedStreams.at(1).Message));
    CPPUNIT_ASSERT_EQUAL(uint64_t(6), Attach.offset());
    Agents.sendData(1, 4, "o world");
    CPPUNIT_ASSERT_EQUAL(std::string("hello world"), Agents.Text);
    Agents.sendEnd(1, wire::COMPLETED, 11);
    CPPUNIT_ASSERT(run_certainty::Ran == Agents.certainty());
  }

  // Guards against giving up on a request that provably did not run.
  void unknownAfterHigherEpochIsNotRun() {
    fake_agents Agents(1);
    Agents.startRequest(false);
    Agents.closeStream(0, inner_stream_end::Broken);
    Agents.connectPeer("agent-0", 100, 2);
    Agents.sendEnd(1, wire::RUN_UNKNOWN);
    Agents.advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::string("/run"), Agents.OpenedStreams.at(2).Path);
  }

  // Guards against reporting "not run" while bytes of the first stream may
  // still arrive.
  void unknownOnSameEpochMayHaveRun() {
    fake_agents Agents(1);
    Agents.startRequest(false);
    Agents.closeStream(0, inner_stream_end::Broken);
    Agents.advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::string("/attach"),
                         Agents.OpenedStreams.at(1).Path);
    Agents.sendEnd(1, wire::RUN_UNKNOWN);
    CPPUNIT_ASSERT(run_certainty::MayHaveRun == Agents.certainty());
  }

  // Guards against a second run after the agent was restarted.
  void restartedAgentMayHaveRun() {
    fake_agents Agents(2);
    Agents.startRequest(false);
    const std::string First = Agents.OpenedStreams.at(0).Address;
    Agents.closeStream(0, inner_stream_end::Broken);
    Agents.connectPeer(First, 999, 1);
    CPPUNIT_ASSERT(run_certainty::MayHaveRun == Agents.certainty());
    CPPUNIT_ASSERT_EQUAL(size_t(1), Agents.OpenedStreams.size());
  }

  // Guards against callers that wait beyond their deadline.
  void reconnectTimeoutMayHaveRun() {
    fake_agents Agents(1);
    Agents.startRequest(false);
    Agents.Dispatcher->onPeerDown("agent-0");
    Agents.closeStream(0, inner_stream_end::Broken);
    Agents.advance(milliseconds(9999));
    Agents.advance(milliseconds(1));
    CPPUNIT_ASSERT(run_certainty::MayHaveRun == Agents.certainty());
  }

  // Guards against failing a refused request that another upstream could serve.
  void retriesRefusalOnOtherUpstream() {
    fake_agents Agents(2);
    Agents.startRequest(false);
    Agents.sendEnd(0, wire::REFUSED, 0, "queue_full");
    CPPUNIT_ASSERT(!Agents.Result.has_value());
    Agents.advance(milliseconds(50));
    CPPUNIT_ASSERT(Agents.OpenedStreams.at(0).Address !=
                   Agents.OpenedStreams.at(1).Address);
    wire::run_request Second;
    CPPUNIT_ASSERT(Second.ParseFromString(Agents.OpenedStreams[1].Message));
    CPPUNIT_ASSERT_EQUAL(2U, Second.attempt());
  }

  // Guards against reporting a truncated response as complete.
  void truncatedResponseIsNotComplete() {
    fake_agents Agents(1);
    Agents.startRequest(false);
    Agents.sendData(0, 0, "abc");
    Agents.sendEnd(0, wire::COMPLETED, 5);
    CPPUNIT_ASSERT(run_certainty::MayHaveRun == Agents.certainty());
  }

  // Guards against avoidable conflicts in the key ledger, which occur when
  // requests with the same idempotency key go to different agents.
  void sameKeyGoesToSameAgent() {
    fake_agents Agents(5);
    for (int I = 0; I < 10; ++I)
      Agents.startRequest(false, "key");
    for (const auto &Stream : Agents.OpenedStreams)
      CPPUNIT_ASSERT_EQUAL(Agents.OpenedStreams[0].Address, Stream.Address);
  }

  // Guards against an error for a repeated non-idempotent request whose
  // response is available.
  void fetchesResponseOfKeyHolder() {
    fake_agents Agents(2);
    Agents.startRequest(false, "key");
    wire::run_event Event;
    Event.mutable_end()->set_code(wire::KEY_CLAIMED);
    Event.mutable_end()->set_holder_agent("agent-1");
    Event.mutable_end()->set_holder_incarnation(101);
    Event.mutable_end()->set_holder_request_id("other");
    Agents.OpenedStreams[0].Hooks.OnMessage(Event.SerializeAsString());
    Agents.advance();
    wire::attach_request Attach;
    CPPUNIT_ASSERT(Attach.ParseFromString(Agents.OpenedStreams.at(1).Message));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), Attach.request_id());
    // The request that holds the key may still run on another agent.
    Agents.sendEnd(1, wire::REFUSED, 0, "queue_full");
    CPPUNIT_ASSERT(run_certainty::MayHaveRun == Agents.certainty());
  }

  // Guards against losing the tokens that a sample generated before it was
  // moved.
  void cancelReturnsPartialOutput() {
    fake_agents Agents(1);
    const dispatch_id Id = Agents.startRequest(true);
    Agents.sendData(0, 0, "abc");
    Agents.Dispatcher->cancel(Id);
    Agents.advance();
    CPPUNIT_ASSERT_EQUAL(std::string("/cancel"),
                         Agents.OpenedStreams.at(1).Path);
    Agents.sendEnd(0, wire::CANCELLED, 3);
    CPPUNIT_ASSERT(Agents.Result->Kind == outcome_kind::Cancelled);
    CPPUNIT_ASSERT(Agents.Result->OutputComplete);
  }

  // Guards against accepting "not run" from a restarted agent whose previous
  // process may have run the request.
  void restartedAgentCannotProveNotRun() {
    fake_agents Agents(1);
    Agents.startRequest(false);
    Agents.closeStream(0, inner_stream_end::Broken);
    Agents.connectPeer("agent-0", 100, 2);
    Agents.sendEnd(1, wire::RUN_UNKNOWN, 0, "wrong_incarnation");
    CPPUNIT_ASSERT(run_certainty::MayHaveRun == Agents.certainty());
  }

  // Guards against an agent that cannot shut down because the response of an
  // abandoned run is never acknowledged.
  void abandonedRunIsAcknowledged() {
    fake_agents Agents(1);
    const dispatch_id Id = Agents.startRequest(true);
    Agents.Dispatcher->abandon(Id);
    Agents.advance();
    CPPUNIT_ASSERT(Agents.Result->Kind == outcome_kind::Cancelled);
    CPPUNIT_ASSERT_EQUAL(std::string("/cancel"),
                         Agents.OpenedStreams.at(1).Path);
    Agents.sendEnd(0, wire::CANCELLED);
    Agents.advance();
    CPPUNIT_ASSERT_EQUAL(std::string("/ack"), Agents.OpenedStreams.at(2).Path);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Agents.Dispatcher->inFlight());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(dispatcher_test, "dispatcher_test");

} // namespace cardamom
