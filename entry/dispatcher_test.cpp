#include "entry/dispatcher.h"

#include "inner/gen/messages.pb.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace cardamom {

/// Links to fake agents: records what was opened and lets the test answer.
struct fake_agents {
  struct opened {
    std::string Address;
    std::string Path;
    std::string Message;
    inner_stream_hooks Hooks;
  };
  std::vector<opened> Opened;
  std::vector<upstream_view> Views;
  std::optional<dispatch_result> Result;
  std::string Text;
  time_point Now = time_point() + milliseconds(1000000);
  std::unique_ptr<dispatcher> Dispatcher;

  explicit fake_agents(int Count) {
    Dispatcher = std::make_unique<dispatcher>(dispatcher_options{
        .Open =
            [this](std::string_view Address, std::string_view Path,
                   std::string_view Message, inner_stream_hooks Hooks) {
              Opened.push_back({std::string(Address), std::string(Path),
                                std::string(Message), std::move(Hooks)});
              return Opened.size();
            },
        .CancelStream = [](auto) {},
        .HoldWindow = [](auto) {},
        .Consume = [](auto, size_t) {},
        .Views = [this](std::string_view) { return Views; },
        .AddressOf = [](std::string_view Name) { return std::string(Name); },
        .EnsurePeer = {},
        .ConfigVersion = [] { return uint64_t(1); },
        .Random = [] { return 0.0; },
        .Trace = {},
        .OwnFailureDomain = {},
        .Budget = {}});
    for (int I = 0; I < Count; ++I) {
      upstream_view View;
      View.Name = "agent-" + std::to_string(I);
      View.Connected = true;
      Views.push_back(View);
      up(View.Name, 100 + I, 1);
    }
  }

  void up(const std::string &Address, uint64_t Incarnation, uint64_t Epoch) {
    peer_identity Peer;
    Peer.Name = Address;
    Peer.Incarnation = Incarnation;
    Dispatcher->onPeerUp(Address, Peer, Epoch);
    pass();
  }
  void pass(milliseconds By = milliseconds(0)) {
    Now += By;
    Dispatcher->poll(Now);
  }
  dispatch_id start(bool Idempotent, const std::string &Key = {}) {
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
    pass();
    return Id;
  }
  void data(size_t Stream, uint64_t Offset, const std::string &Bytes) {
    wire::run_event Event;
    Event.mutable_data()->set_offset(Offset);
    Event.mutable_data()->set_bytes(Bytes);
    Opened.at(Stream).Hooks.OnMessage(Event.SerializeAsString());
    pass();
  }
  void end(size_t Stream, wire::run_end_code Code, uint64_t Bytes = 0,
           const std::string &Reason = {}) {
    wire::run_event Event;
    Event.mutable_end()->set_code(Code);
    Event.mutable_end()->set_reason(Reason);
    Event.mutable_end()->set_answer_bytes(Bytes);
    Opened.at(Stream).Hooks.OnMessage(Event.SerializeAsString());
    pass();
  }
  void close(size_t Stream, inner_stream_end How) {
    Opened.at(Stream).Hooks.OnClose(How, "test");
    pass();
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
  CPPUNIT_TEST(unknownOnTheSameEpochMayHaveRun);
  CPPUNIT_TEST(otherIncarnationMayHaveRun);
  CPPUNIT_TEST(noReconnectionMayHaveRun);
  CPPUNIT_TEST(retriesRefusalElsewhere);
  CPPUNIT_TEST(shortAnswerIsNotComplete);
  CPPUNIT_TEST(keyGoesToOneAgent);
  CPPUNIT_TEST(fetchesAnswerOfKeyHolder);
  CPPUNIT_TEST(cancelReturnsPartialOutput);
  CPPUNIT_TEST(successorAnswerIsNoEvidence);
  CPPUNIT_TEST(abandonedRunIsAcknowledged);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against lost or repeated bytes after a broken connection.
  void attachesAtOffsetAfterReconnection() {
    fake_agents F(1);
    F.start(false);
    CPPUNIT_ASSERT_EQUAL(std::string("/run"), F.Opened[0].Path);
    F.data(0, 0, "hello ");
    F.close(0, inner_stream_end::Broken);
    F.up("agent-0", 100, 2);
    wire::attach_request Attach;
    CPPUNIT_ASSERT(Attach.ParseFromString(F.Opened.at(1).Message));
    CPPUNIT_ASSERT_EQUAL(uint64_t(6), Attach.offset());
    F.data(1, 4, "o world");
    CPPUNIT_ASSERT_EQUAL(std::string("hello world"), F.Text);
    F.end(1, wire::COMPLETED, 11);
    CPPUNIT_ASSERT(run_certainty::Ran == F.certainty());
  }

  // Guards against giving up on a request that provably did not run.
  void unknownAfterHigherEpochIsNotRun() {
    fake_agents F(1);
    F.start(false);
    F.close(0, inner_stream_end::Broken);
    F.up("agent-0", 100, 2);
    F.end(1, wire::RUN_UNKNOWN);
    F.pass(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::string("/run"), F.Opened.at(2).Path);
  }

  // Guards against "not run" while the first stream's bytes may still arrive.
  void unknownOnTheSameEpochMayHaveRun() {
    fake_agents F(1);
    F.start(false);
    F.close(0, inner_stream_end::Broken);
    F.pass(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::string("/attach"), F.Opened.at(1).Path);
    F.end(1, wire::RUN_UNKNOWN);
    CPPUNIT_ASSERT(run_certainty::MayHaveRun == F.certainty());
  }

  // Guards against a second run after the agent was replaced.
  void otherIncarnationMayHaveRun() {
    fake_agents F(2);
    F.start(false);
    const std::string First = F.Opened.at(0).Address;
    F.close(0, inner_stream_end::Broken);
    F.up(First, 999, 1);
    CPPUNIT_ASSERT(run_certainty::MayHaveRun == F.certainty());
    CPPUNIT_ASSERT_EQUAL(size_t(1), F.Opened.size());
  }

  // Guards against callers that wait beyond their deadline.
  void noReconnectionMayHaveRun() {
    fake_agents F(1);
    F.start(false);
    F.Dispatcher->onPeerDown("agent-0");
    F.close(0, inner_stream_end::Broken);
    F.pass(milliseconds(9999));
    F.pass(milliseconds(1));
    CPPUNIT_ASSERT(run_certainty::MayHaveRun == F.certainty());
  }

  // Guards against refused requests that another upstream could serve.
  void retriesRefusalElsewhere() {
    fake_agents F(2);
    F.start(false);
    F.end(0, wire::REFUSED, 0, "queue_full");
    CPPUNIT_ASSERT(!F.Result.has_value());
    F.pass(milliseconds(50));
    CPPUNIT_ASSERT(F.Opened.at(0).Address != F.Opened.at(1).Address);
    wire::run_request Second;
    CPPUNIT_ASSERT(Second.ParseFromString(F.Opened[1].Message));
    CPPUNIT_ASSERT_EQUAL(2U, Second.attempt());
  }

  // Guards against a truncated answer that is reported as whole.
  void shortAnswerIsNotComplete() {
    fake_agents F(1);
    F.start(false);
    F.data(0, 0, "abc");
    F.end(0, wire::COMPLETED, 5);
    CPPUNIT_ASSERT(run_certainty::MayHaveRun == F.certainty());
  }

  // Guards against needless conflicts in the ledger.
  void keyGoesToOneAgent() {
    fake_agents F(5);
    for (int I = 0; I < 10; ++I)
      F.start(false, "key");
    for (const auto &Stream : F.Opened)
      CPPUNIT_ASSERT_EQUAL(F.Opened[0].Address, Stream.Address);
  }

  // Guards against an error for a repeated booking that has an answer.
  void fetchesAnswerOfKeyHolder() {
    fake_agents F(2);
    F.start(false, "key");
    wire::run_event Event;
    Event.mutable_end()->set_code(wire::KEY_CLAIMED);
    Event.mutable_end()->set_holder_agent("agent-1");
    Event.mutable_end()->set_holder_incarnation(101);
    Event.mutable_end()->set_holder_request_id("other");
    F.Opened[0].Hooks.OnMessage(Event.SerializeAsString());
    F.pass();
    wire::attach_request Attach;
    CPPUNIT_ASSERT(Attach.ParseFromString(F.Opened.at(1).Message));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), Attach.request_id());
    // The holder's request may still run at another agent.
    F.end(1, wire::REFUSED, 0, "queue_full");
    CPPUNIT_ASSERT(run_certainty::MayHaveRun == F.certainty());
  }

  // Guards against losing what a moved sample has already generated.
  void cancelReturnsPartialOutput() {
    fake_agents F(1);
    const dispatch_id Id = F.start(true);
    F.data(0, 0, "abc");
    F.Dispatcher->cancel(Id);
    F.pass();
    CPPUNIT_ASSERT_EQUAL(std::string("/cancel"), F.Opened.at(1).Path);
    F.end(0, wire::CANCELLED, 3);
    CPPUNIT_ASSERT(F.Result->Kind == outcome_kind::Cancelled);
    CPPUNIT_ASSERT(F.Result->WholeOutput);
  }

  // Guards against "not run" from the successor of the agent that had the run.
  void successorAnswerIsNoEvidence() {
    fake_agents F(1);
    F.start(false);
    F.close(0, inner_stream_end::Broken);
    F.up("agent-0", 100, 2);
    F.end(1, wire::RUN_UNKNOWN, 0, "wrong_incarnation");
    CPPUNIT_ASSERT(run_certainty::MayHaveRun == F.certainty());
  }

  // Guards against an agent that cannot stop because of a caller that left.
  void abandonedRunIsAcknowledged() {
    fake_agents F(1);
    const dispatch_id Id = F.start(true);
    F.Dispatcher->abandon(Id);
    F.pass();
    CPPUNIT_ASSERT(F.Result->Kind == outcome_kind::Cancelled);
    CPPUNIT_ASSERT_EQUAL(std::string("/cancel"), F.Opened.at(1).Path);
    F.end(0, wire::CANCELLED);
    F.pass();
    CPPUNIT_ASSERT_EQUAL(std::string("/ack"), F.Opened.at(2).Path);
    CPPUNIT_ASSERT_EQUAL(size_t(0), F.Dispatcher->inFlight());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(dispatcher_test, "dispatcher_test");

} // namespace cardamom
