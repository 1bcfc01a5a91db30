#include "agent/agent.h"

#include "agent/test_http_server.h"
#include "inner/document_exchange.h"
#include "inner/gen/messages.pb.h"
#include "inner/inner_client.h"
#include "inner/test_peers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <atomic>

namespace cardamom {

namespace {
constexpr uint64_t Incarnation = 77;

/// An entry: a client that distributes documents to the agent.
struct test_entry {
  document_exchange Documents{{}};
  std::atomic<bool> AgentDrains{false};
  std::string Address;
  inner_client Client;
  std::atomic<bool> Stopping{false};
  std::thread HeartbeatThread;

  explicit test_entry(uint16_t Port)
      : Address(loopbackAddress(Port)),
        Client(
            {.Self = testIdentity("entry"),
             .OnControl = [this](std::string_view From, const peer_identity &,
                                 const wire::control_frame &Frame) {
               if (Frame.has_heartbeat())
                 AgentDrains = Frame.heartbeat().draining();
               for (const auto &Reply : Documents.handleFrame(Frame))
                 Client.sendControl(From, Reply);
             }}) {
    Client.start();
    Client.addPeer(Address);
    CPPUNIT_ASSERT(waitConnected(Client, Address));
    HeartbeatThread = std::thread([this] {
      for (; !Stopping; std::this_thread::sleep_for(milliseconds(200)))
        sendHeartbeat();
    });
  }
  ~test_entry() {
    Stopping = true;
    HeartbeatThread.join();
    Client.stop();
  }

  void sendHeartbeat() {
    wire::control_frame Frame;
    Documents.addVersions(*Frame.mutable_heartbeat());
    Client.sendControl(Address, Frame);
  }

  void publish(std::string Name, uint64_t Version, std::string Body) {
    Documents.install({std::move(Name), Version, std::move(Body)});
    sendHeartbeat();
  }
  void publishConfig(uint64_t Version, bool Retiring) {
    const nlohmann::json Rules = {
        {"routes", {{{"prefix", "/c"}, {"pool", "counter"}}}},
        {"upstreams", {{{"name", "u"}, {"retiring", Retiring}}}}};
    const nlohmann::json Document = {
        {"edit_id", "e"},
        {"author", "a"},
        {"inventory", "name,kind,pool,vm,region,failure_domain,inner_address,"
                      "address,concurrency\n"
                      "e,entry,,vm0,r,f,127.0.0.1:3,127.0.0.1:4,\n"
                      "u,plain,counter,vm1,r,f,127.0.0.1:1,127.0.0.1:2,2\n"},
        {"rules", Rules},
        {"history", nlohmann::json::array()}};
    publish("config", Version, Document.dump());
  }

  std::vector<std::string> exchange(std::string_view Path,
                                    const google::protobuf::Message &Message) {
    stream_recorder Record;
    Client.open(Address, Path, Message.SerializeAsString(), Record.hooks());
    CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Finished);
    return Record.messages();
  }
  static wire::run_request makeRunRequest(const std::string &Id) {
    wire::run_request Request;
    Request.set_request_id(Id);
    Request.set_agent_incarnation(Incarnation);
    Request.mutable_plain()->set_route("/c");
    Request.mutable_plain()->set_method("POST");
    Request.mutable_plain()->set_target("/c/deposits");
    return Request;
  }
  static wire::run_end endOf(const std::vector<std::string> &Messages,
                             std::string *Body = nullptr) {
    wire::run_event Event;
    for (const std::string &Message : Messages) {
      CPPUNIT_ASSERT(Event.ParseFromString(Message));
      if (Body != nullptr)
        *Body += Event.data().bytes();
    }
    CPPUNIT_ASSERT(Event.has_end());
    return Event.end();
  }
  wire::run_end run(const std::string &Id, std::string *Body = nullptr) {
    return endOf(exchange("/run", makeRunRequest(Id)), Body);
  }
  /// Sends new requests until one ends with the reason.
  bool runUntilReason(const std::string &Reason) {
    static std::atomic<int> LastSerial{0};
    return waitFor([&] {
      return run("r" + std::to_string(++LastSerial)).reason() == Reason;
    });
  }
  wire::run_state query(const std::string &Id) {
    wire::query_request Query;
    Query.set_agent_incarnation(Incarnation);
    Query.add_request_ids(Id);
    wire::query_reply Reply;
    CPPUNIT_ASSERT(Reply.ParseFromString(exchange("/query", Query).at(0)));
    return Reply.runs(0).state();
  }
  void acknowledge(const std::string &Id) {
    wire::ack_request Ack;
    Ack.add_request_ids(Id);
    exchange("/ack", Ack);
  }
};

struct agent_fixture {
  std::atomic<bool> ReleaseCalls{true};
  std::atomic<int> Calls{0};
  test_http_server Service;
  std::optional<agent> Agent;

  agent_fixture() {
    Service.Server.Post(".*", [this](auto &, httplib::Response &Response) {
      ++Calls;
      while (!ReleaseCalls)
        std::this_thread::sleep_for(milliseconds(2));
      Response.set_content("0123456789", "text/plain");
    });
    Service.start();
    agent_options Options;
    Options.Name = "u";
    Options.Incarnation = Incarnation;
    Options.UpstreamAddress = Service.address();
    Options.StoreAddress = "127.0.0.1:1";
    Agent.emplace(Options);
    CPPUNIT_ASSERT(Agent->start());
  }
  ~agent_fixture() {
    ReleaseCalls = true;
    Agent.reset();
  }
};
} // namespace

class agent_thread_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(agent_thread_test);
  CPPUNIT_TEST(runsCallsOfConfiguredRoutes);
  CPPUNIT_TEST(drainsOnConfiguration);
  CPPUNIT_TEST(attachAfterLostConnection);
  CPPUNIT_TEST(stopWaitsForRuns);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against runs that are accepted without a configuration, for another
  // incarnation or without a route, and against wrong replies to /query.
  void runsCallsOfConfiguredRoutes() {
    agent_fixture Fixture;
    test_entry Entry(Fixture.Agent->port());
    CPPUNIT_ASSERT_EQUAL(std::string("no_configuration"),
                         Entry.run("early").reason());
    Entry.publishConfig(3, false);
    CPPUNIT_ASSERT(Entry.runUntilReason(""));
    std::string Body;
    CPPUNIT_ASSERT(Entry.run("a", &Body).code() == wire::COMPLETED);
    CPPUNIT_ASSERT_EQUAL(std::string("0123456789"), Body);
    CPPUNIT_ASSERT(Entry.query("a") == wire::FINISHED);
    Entry.acknowledge("a");
    CPPUNIT_ASSERT(Entry.query("a") == wire::FINISHED_ANSWER_GONE);
    CPPUNIT_ASSERT(Entry.query("b") == wire::NEVER_SEEN);
    CPPUNIT_ASSERT(Entry.run("a").code() == wire::ANSWER_GONE);
    wire::run_request Other = test_entry::makeRunRequest("c");
    Other.set_agent_incarnation(Incarnation + 1);
    CPPUNIT_ASSERT_EQUAL(
        std::string("wrong_incarnation"),
        test_entry::endOf(Entry.exchange("/run", Other)).reason());
    Other = test_entry::makeRunRequest("d");
    Other.mutable_plain()->set_route("/other");
    CPPUNIT_ASSERT_EQUAL(
        std::string("no_route"),
        test_entry::endOf(Entry.exchange("/run", Other)).reason());
    const nlohmann::json Status = Fixture.Agent->status();
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Status["config_version"].get<uint64_t>());
    CPPUNIT_ASSERT_EQUAL(2, Status["load"]["slots"].get<int>());
  }

  // Guards against new runs on an upstream that is retiring or whose VM is
  // leaving, and against one that keeps refusing runs after the operator has
  // reverted the change.
  void drainsOnConfiguration() {
    agent_fixture Fixture;
    test_entry Entry(Fixture.Agent->port());
    Entry.publishConfig(1, false);
    CPPUNIT_ASSERT(Entry.runUntilReason(""));
    Entry.publishConfig(2, true);
    CPPUNIT_ASSERT(Entry.runUntilReason("draining"));
    CPPUNIT_ASSERT(waitFor([&] { return Entry.AgentDrains.load(); }));
    Entry.publishConfig(3, false);
    CPPUNIT_ASSERT(Entry.runUntilReason(""));
    Entry.publish("vms", 9,
                  R"({"version":9,"vms":[{"vm":"vm1","state":"leaving"}]})");
    CPPUNIT_ASSERT(Entry.runUntilReason("draining"));
  }

  // Guards against a response that is truncated, repeated or generated by a
  // second call after the entry's connection was lost.
  void attachAfterLostConnection() {
    agent_fixture Fixture;
    Fixture.ReleaseCalls = false;
    {
      test_entry First(Fixture.Agent->port());
      First.publishConfig(1, false);
      CPPUNIT_ASSERT(waitFor([&] {
        return Fixture.Agent->status()["load"]["ready"].get<bool>();
      }));
      stream_recorder Record;
      First.Client.open(First.Address, "/run",
                        test_entry::makeRunRequest("a").SerializeAsString(),
                        Record.hooks());
      CPPUNIT_ASSERT(waitFor([&] { return Fixture.Calls == 1; }));
      First.Client.stop();
      CPPUNIT_ASSERT(Record.waitClosed() == inner_stream_end::Broken);
    }
    test_entry Second(Fixture.Agent->port());
    CPPUNIT_ASSERT(Second.query("a") == wire::RUNNING);
    Fixture.ReleaseCalls = true;
    CPPUNIT_ASSERT(
        waitFor([&] { return Second.query("a") == wire::FINISHED; }));
    wire::attach_request Attach;
    Attach.set_request_id("a");
    Attach.set_offset(4);
    Attach.set_agent_incarnation(Incarnation);
    std::string Body;
    const auto Messages = Second.exchange("/attach", Attach);
    CPPUNIT_ASSERT_EQUAL(uint64_t(10),
                         test_entry::endOf(Messages, &Body).answer_bytes());
    CPPUNIT_ASSERT_EQUAL(std::string("456789"), Body);
    CPPUNIT_ASSERT_EQUAL(1, Fixture.Calls.load());
    Attach.set_request_id("b");
    CPPUNIT_ASSERT(
        test_entry::endOf(Second.exchange("/attach", Attach)).code() ==
        wire::RUN_UNKNOWN);
  }

  // Guards against a graceful stop that aborts a run or loses its response.
  void stopWaitsForRuns() {
    agent_fixture Fixture;
    test_entry Entry(Fixture.Agent->port());
    Entry.publishConfig(1, false);
    CPPUNIT_ASSERT(waitFor(
        [&] { return Fixture.Agent->status()["load"]["ready"].get<bool>(); }));
    Fixture.ReleaseCalls = false;
    stream_recorder Record;
    Entry.Client.open(Entry.Address, "/run",
                      test_entry::makeRunRequest("a").SerializeAsString(),
                      Record.hooks());
    CPPUNIT_ASSERT(waitFor([&] { return Fixture.Calls == 1; }));
    std::atomic<bool> Acknowledged{false};
    std::thread Stopper([&] { Acknowledged = Fixture.Agent->stop(); });
    waitFor([&] { return Fixture.Agent->draining(); });
    const std::string Refused = Entry.run("b").reason();
    const int WaitingRuns = Fixture.Agent->waitingFor()["runs"].get<int>();
    Fixture.ReleaseCalls = true;
    Record.waitClosed();
    Entry.acknowledge("a");
    Stopper.join();
    CPPUNIT_ASSERT(Acknowledged);
    CPPUNIT_ASSERT_EQUAL(std::string("draining"), Refused);
    CPPUNIT_ASSERT_EQUAL(1, WaitingRuns);
    CPPUNIT_ASSERT(test_entry::endOf(Record.messages()).code() ==
                   wire::COMPLETED);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(agent_thread_test, "agent_thread_test");

} // namespace cardamom
