#include "agent/run_executor.h"

#include "agent/test_http_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>

namespace cardamom {

namespace {
/// An executor with an upstream whose calls last until they are released or
/// cancelled, and a store with one object.
struct executor_fixture {
  std::optional<test_http_server> Server;
  std::atomic<int> Calls{0};
  std::atomic<bool> ReleaseCalls{false};
  std::atomic<bool> StoreUp{true};
  std::atomic<int> Puts{0};
  std::atomic<bool> EngineReady{true};
  uint64_t ObservedVersion = 0;
  std::string ResponseBody = "{\"done\":true}\n";
  run_table Table{{}};
  std::optional<upstream_client> Client;
  std::optional<key_ledger> Ledger;
  std::optional<run_executor> Executor;

  explicit executor_fixture(unsigned Slots, bool Listening = true) {
    const auto Wait = [this](const httplib::Request &Request,
                             httplib::Response &Response) {
      ++Calls;
      while (!ReleaseCalls)
        std::this_thread::sleep_for(milliseconds(2));
      Response.set_content(ResponseBody, "text/plain");
    };
    Server.emplace();
    Server->Server.Post(".*", Wait);
    Server->start();
    const std::string Address = Server->address();
    if (!Listening)
      Server.reset();
    Client.emplace(upstream_client_options{.Address = Address});
    Ledger.emplace(ledgerOptions());
    Executor.emplace(run_executor_options{
        .Table = &Table,
        .Client = &*Client,
        .Ledger = &*Ledger,
        .Admission = {.Slots = Slots, .QueueCapacities = {2, 2, 2}},
        .GetEngine = [this] {
          observed_engine Engine{.Ready = EngineReady, .StatusKnown = true};
          Engine.Status.Version = ObservedVersion;
          return Engine;
        }});
    Executor->start();
  }
  ~executor_fixture() {
    ReleaseCalls = true;
    Executor->stop();
  }

  key_ledger_options ledgerOptions() {
    key_ledger_options O;
    O.Agent = "a";
    O.Get = [this](std::string_view) -> store_result {
      return {.Status =
                  StoreUp ? store_status::NotFound : store_status::Unavailable};
    };
    O.Put = [this](std::string_view, std::string_view,
                   uint64_t) -> store_result {
      ++Puts;
      return {.Status = store_status::Ok, .Version = uint64_t(Puts)};
    };
    O.WallSeconds = [] { return int64_t(1); };
    return O;
  }

  void submit(const std::string &Id,
              const std::function<void(wire::run_request &)> &Edit) {
    wire::run_request Request;
    Request.set_request_id(Id);
    Request.set_idempotent(true);
    Request.mutable_plain()->set_method("POST");
    Request.mutable_plain()->set_target("/x");
    Edit(Request);
    Table.insert({.RequestId = Id, .Idempotent = Request.idempotent()},
                 steady_clock::now());
    Executor->submit(Request, steady_clock::now());
  }
  void submitPlain(const std::string &Id, const std::string &Key = {}) {
    submit(Id, [&](wire::run_request &Request) {
      Request.set_idempotent(Key.empty());
      Request.set_idempotency_key(Key);
    });
  }
  static bool waitUntil(const std::function<bool()> &Condition) {
    const time_point Limit = steady_clock::now() + milliseconds(20000);
    while (!Condition() && steady_clock::now() < Limit)
      std::this_thread::sleep_for(milliseconds(5));
    return Condition();
  }
  wire::run_end waitEnd(const std::string &Id) {
    CPPUNIT_ASSERT_MESSAGE(
        Id, waitUntil([&] { return Table.findEnd(Id).has_value(); }));
    return *Table.findEnd(Id);
  }
  void waitCalls(int Count) {
    CPPUNIT_ASSERT(waitUntil([&] { return Calls == Count; }));
  }
};
} // namespace

class run_executor_thread_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(run_executor_thread_test);
  CPPUNIT_TEST(limitsConcurrencyAndQueue);
  CPPUNIT_TEST(liveRequestPreemptsTrainer);
  CPPUNIT_TEST(cancelEndsQueuedAndIdempotentRuns);
  CPPUNIT_TEST(keyedCallNeedsStore);
  CPPUNIT_TEST(releasesClaimWhenUnreachable);
  CPPUNIT_TEST(refusesWhileEngineIsNotReady);
  CPPUNIT_TEST(versionsComeFromTheStream);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an upstream that receives more calls than it has slots.
  void limitsConcurrencyAndQueue() {
    executor_fixture Fixture(1);
    for (const char *Id : {"a", "b", "c", "d"})
      Fixture.submitPlain(Id);
    CPPUNIT_ASSERT_EQUAL(std::string("queue_full"),
                         Fixture.waitEnd("d").reason());
    Fixture.waitCalls(1);
    Fixture.ReleaseCalls = true;
    CPPUNIT_ASSERT(Fixture.waitEnd("c").code() == wire::COMPLETED);
    CPPUNIT_ASSERT_EQUAL(3, Fixture.Calls.load());
  }

  // Guards against live requests that wait while a trainer's samples occupy all
  // slots.
  void liveRequestPreemptsTrainer() {
    executor_fixture Fixture(1);
    Fixture.submit("t", [](wire::run_request &Request) {
      Request.set_class_(wire::TRAINER_SECOND);
      Request.mutable_model()->set_model("m");
    });
    Fixture.waitCalls(1);
    Fixture.submitPlain("live");
    CPPUNIT_ASSERT(Fixture.waitEnd("t").code() == wire::PREEMPTED);
    Fixture.ReleaseCalls = true;
    CPPUNIT_ASSERT(Fixture.waitEnd("live").code() == wire::COMPLETED);
  }

  // Guards against slots that stay occupied for callers that are gone, and
  // against aborting a call that is not idempotent, such as a deposit.
  void cancelEndsQueuedAndIdempotentRuns() {
    executor_fixture Fixture(2);
    Fixture.submitPlain("running");
    Fixture.submitPlain("deposit", "key");
    Fixture.submitPlain("queued");
    Fixture.waitCalls(2);
    for (const char *Id : {"running", "deposit", "queued"})
      Fixture.Executor->cancel(Id, "test", steady_clock::now());
    CPPUNIT_ASSERT(Fixture.waitEnd("queued").code() == wire::CANCELLED);
    CPPUNIT_ASSERT(Fixture.waitEnd("running").code() == wire::CANCELLED);
    CPPUNIT_ASSERT(!Fixture.Table.findEnd("deposit").has_value());
    Fixture.ReleaseCalls = true;
    CPPUNIT_ASSERT(Fixture.waitEnd("deposit").code() == wire::COMPLETED);
  }

  // Guards against calls with an idempotency key that run without a claim, or
  // twice.
  void keyedCallNeedsStore() {
    executor_fixture Fixture(2);
    Fixture.ReleaseCalls = true;
    Fixture.StoreUp = false;
    Fixture.submitPlain("a", "key");
    CPPUNIT_ASSERT_EQUAL(std::string("store_unavailable"),
                         Fixture.waitEnd("a").reason());
    Fixture.StoreUp = true;
    Fixture.submitPlain("b", "key");
    CPPUNIT_ASSERT(Fixture.waitEnd("b").code() == wire::COMPLETED);
    Fixture.submitPlain("c", "key");
    CPPUNIT_ASSERT(Fixture.waitEnd("c").code() == wire::KEY_CLAIMED);
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         Fixture.waitEnd("c").holder_request_id());
    CPPUNIT_ASSERT_EQUAL(1, Fixture.Calls.load());
  }

  // Guards against a key that stays claimed by a request that never ran.
  void releasesClaimWhenUnreachable() {
    executor_fixture Fixture(1, false);
    Fixture.submitPlain("a", "key");
    CPPUNIT_ASSERT_EQUAL(std::string("upstream_unreachable"),
                         Fixture.waitEnd("a").reason());
    CPPUNIT_ASSERT_EQUAL(2, Fixture.Puts.load());
  }

  // Guards against model calls to an engine that is not ready or whose weights
  // are older than requested.
  void refusesWhileEngineIsNotReady() {
    executor_fixture Fixture(1);
    Fixture.EngineReady = false;
    Fixture.submit("a", [](wire::run_request &Request) {
      Request.mutable_model()->set_model("m");
    });
    CPPUNIT_ASSERT_EQUAL(std::string("upstream_not_ready"),
                         Fixture.waitEnd("a").reason());
    Fixture.EngineReady = true;
    Fixture.submit("b", [](wire::run_request &Request) {
      Request.mutable_model()->set_min_version(1);
    });
    CPPUNIT_ASSERT_EQUAL(std::string("version_too_old"),
                         Fixture.waitEnd("b").reason());
  }

  // Guards against spans that carry the version of the engine's status or of an
  // order instead of the version that produced the token.
  void versionsComeFromTheStream() {
    executor_fixture Fixture(1);
    Fixture.ObservedVersion = 9;
    Fixture.ResponseBody = "{\"token\":\"a\",\"version\":7}\n"
                           "{\"token\":\"b\",\"version\":8}\n{\"done\":true}\n";
    Fixture.ReleaseCalls = true;
    Fixture.submit("a", [](wire::run_request &Request) {
      Request.mutable_model()->set_model("m");
    });
    CPPUNIT_ASSERT_EQUAL(int(wire::COMPLETED),
                         int(Fixture.waitEnd("a").code()));
    const auto Reader = Fixture.Table.attach("a", steady_clock::now());
    run_cursor Cursor;
    std::vector<uint64_t> Versions;
    for (auto State = run_chunk::state::Open;
         State == run_chunk::state::Open;) {
      const run_chunk Chunk = Fixture.Table.read("a", *Reader, Cursor, 1024);
      for (const wire::version_span &Span : Chunk.Spans)
        Versions.insert(Versions.end(), Span.tokens(), Span.version());
      State = Chunk.State;
    }
    CPPUNIT_ASSERT((Versions == std::vector<uint64_t>{7, 8}));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(run_executor_thread_test,
                                      "run_executor_thread_test");

} // namespace cardamom
