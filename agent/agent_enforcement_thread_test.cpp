#include "agent/agent.h"
#include "agent/response_streams.h"
#include "config/configuration_document.h"
#include "inner/gen/messages.pb.h"
#include "inner/server_stream.h"
#include "inner/test_peers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

namespace {
/// Records the sent messages.
class recording_stream final : public server_stream {
public:
  bool send(std::string_view Message) override {
    CPPUNIT_ASSERT(Events.emplace_back().ParseFromArray(Message.data(),
                                                        int(Message.size())));
    return true;
  }
  void finish() override {}
  [[nodiscard]] size_t pendingBytes() const override { return 0; }
  [[nodiscard]] bool closed() const override { return false; }
  void onWritable(std::function<void()>) override {}
  void onClose(std::function<void()>) override {}
  [[nodiscard]] const peer_identity &peer() const override { return Peer; }
  [[nodiscard]] uint64_t epoch() const override { return 1; }

  std::vector<wire::run_event> Events;
  peer_identity Peer;
};
} // namespace

class agent_enforcement_thread_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(agent_enforcement_thread_test);
  CPPUNIT_TEST(drainingAgentRefusesNewRuns);
  CPPUNIT_TEST(attachStartsAtOffset);
  CPPUNIT_TEST_SUITE_END();

  static wire::control_frame retiringConfiguration() {
    wire::control_frame Frame;
    wire::document &Document = *Frame.mutable_document();
    Document.set_name("config");
    Document.set_version(1);
    Document.set_body(formatDocument(
        {.EditId = "e",
         .Author = "test",
         .Inventory =
             "name,kind,pool,vm,region,failure_domain,inner_address,address,"
             "concurrency\n"
             "e,entry,,vm-e,r1,fd-1,127.0.0.1:3,127.0.0.1:4,1\n"
             "a,plain,counter,vm-a,r1,fd-1,127.0.0.1:2,127.0.0.1:1,1\n",
         .Rules = R"({"routes": [{"prefix": "/counter", "pool": "counter"}],
                      "upstreams": [{"name": "a", "retiring": true}]})"}));
    return Frame;
  }

public:
  // Guards against new runs on a draining upstream. An entry that has not yet
  // learned of the drain still sends runs, which the agent must refuse.
  void drainingAgentRefusesNewRuns() {
    for (bool ByRule : {false, true}) {
      agent Agent({.Name = "a",
                   .Incarnation = 5,
                   .UpstreamAddress = "127.0.0.1:1",
                   .StoreAddress = "127.0.0.1:1"});
      CPPUNIT_ASSERT(Agent.start());
      inner_client Client({.Self = testIdentity("entry")});
      Client.start();
      const std::string Address = loopbackAddress(Agent.port());
      Client.addPeer(Address);
      CPPUNIT_ASSERT(waitConnected(Client, Address));
      if (ByRule)
        Client.sendControl(Address, retiringConfiguration());
      else
        Agent.drain();
      CPPUNIT_ASSERT(waitFor([&] { return Agent.draining(); }));
      wire::run_request Request;
      Request.set_request_id("r");
      Request.set_agent_incarnation(5);
      Request.mutable_plain()->set_method("POST");
      Request.mutable_plain()->set_target("/counter/x");
      stream_recorder Record;
      Client.open(Address, "/run", Request.SerializeAsString(), Record.hooks());
      CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Finished);
      wire::run_event Event;
      CPPUNIT_ASSERT(Event.ParseFromString(Record.messages().back()));
      CPPUNIT_ASSERT(Event.end().code() == wire::REFUSED);
      CPPUNIT_ASSERT_EQUAL(std::string("draining"), Event.end().reason());
      Client.stop();
    }
  }

  // Guards against an attach that sends the response from the start. Callers
  // would only notice the delay, because the entry discards bytes that it has
  // already forwarded.
  void attachStartsAtOffset() {
    run_table Table({});
    response_streams Streams(Table);
    const time_point Now = steady_clock::now();
    Table.insert({.RequestId = "r", .Idempotent = true}, Now);
    CPPUNIT_ASSERT(Table.start("r"));
    Table.setHead("r", {});
    CPPUNIT_ASSERT(Table.append("r", "abcdef") == append_result::Ok);
    const auto Stream = std::make_shared<recording_stream>();
    Streams.attach(Stream, "r", 4, Now);
    std::string Bytes;
    for (const wire::run_event &Event : Stream->Events)
      if (Event.has_data()) {
        CPPUNIT_ASSERT_EQUAL(uint64_t(4 + Bytes.size()), Event.data().offset());
        Bytes += Event.data().bytes();
      }
    CPPUNIT_ASSERT_EQUAL(std::string("ef"), Bytes);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(agent_enforcement_thread_test,
                                      "agent_enforcement_thread_test");

} // namespace cardamom
