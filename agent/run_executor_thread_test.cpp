#include "agent/run_executor.h"

#include "agent/test_http_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>

namespace cardamom {

namespace {
/// An upstream whose calls last until they are released or cancelled, and a
/// store of one object.
struct executor_world {
  std::optional<test_http_server> Server;
  std::atomic<int> Calls{0};
  std::atomic<bool> Release{false};
  std::atomic<bool> StoreUp{true};
  std::atomic<int> Puts{0};
  std::atomic<bool> EngineReady{true};
  uint64_t ObservedVersion = 0;
  std::string Answer = "{\"done\":true}\n";
  run_table Table{{}};
  std::optional<upstream_client> Driver;
  std::optional<key_ledger> Ledger;
  std::optional<run_executor> Executor;

  explicit executor_world(unsigned Slots, bool Listening = true) {
    const auto Wait = [this](const httplib::Request &Request,
                             httplib::Response &Response) {
      ++Calls;
      while (!Release)
        std::this_thread::sleep_for(milliseconds(2));
      Response.set_content(Answer, "text/plain");
    };
    Server.emplace();
    Server->Server.Post(".*", Wait);
    Server->start();
    const std::string Address = Server->address();
    if (!Listening)
      Server.reset();
    Driver.emplace(upstream_client_options{.Address = Address});
    Ledger.emplace(ledgerOptions());
    Executor.emplace(run_executor_options{
        .Table = &Table,
        .Client = &*Driver,
        .Ledger = &*Ledger,
        .Admission = {.Slots = Slots, .QueueCapacities = {2, 2, 2}},
        .GetEngine = [this] {
          observed_engine Engine{.Ready = EngineReady, .StatusKnown = true};
          Engine.Status.Version = ObservedVersion;
          return Engine;
        }});
    Executor->start();
  }
  ~executor_world() {
    Release = true;
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
  static bool eventually(const std::function<bool()> &Condition) {
    const time_point Limit = steady_clock::now() + milliseconds(20000);
    while (!Condition() && steady_clock::now() < Limit)
      std::this_thread::sleep_for(milliseconds(5));
    return Condition();
  }
  wire::run_end waitEnd(const std::string &Id) {
    CPPUNIT_ASSERT_MESSAGE(
        Id, eventually([&] { return Table.findEnd(Id).has_value(); }));
    return *Table.findEnd(Id);
  }
  void waitCalls(int Count) {
    CPPUNIT_ASSERT(eventually([&] { return Calls == Count; }));
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
  // Guards against an upstream that gets more work than it can run.
  void limitsConcurrencyAndQueue() {
    executor_world World(1);
    for (const char *Id : {"a", "b", "c", "d"})
      World.submitPlain(Id);
    CPPUNIT_ASSERT_EQUAL(std::string("queue_full"),
                         World.waitEnd("d").reason());
    World.waitCalls(1);
    World.Release = true;
    CPPUNIT_ASSERT(World.waitEnd("c").code() == wire::COMPLETED);
    CPPUNIT_ASSERT_EQUAL(3, World.Calls.load());
  }

  // Guards against callers who wait for a trainer's samples.
  void liveRequestPreemptsTrainer() {
    executor_world World(1);
    World.submit("t", [](wire::run_request &Request) {
      Request.set_class_(wire::TRAINER_SECOND);
      Request.mutable_model()->set_model("m");
    });
    World.waitCalls(1);
    World.submitPlain("live");
    CPPUNIT_ASSERT(World.waitEnd("t").code() == wire::PREEMPTED);
    World.Release = true;
    CPPUNIT_ASSERT(World.waitEnd("live").code() == wire::COMPLETED);
  }

  // Guards against slots held for callers that are gone, and against a
  // deposit that is broken off in the middle.
  void cancelEndsQueuedAndIdempotentRuns() {
    executor_world World(2);
    World.submitPlain("running");
    World.submitPlain("deposit", "key");
    World.submitPlain("queued");
    World.waitCalls(2);
    for (const char *Id : {"running", "deposit", "queued"})
      World.Executor->cancel(Id, "test", steady_clock::now());
    CPPUNIT_ASSERT(World.waitEnd("queued").code() == wire::CANCELLED);
    CPPUNIT_ASSERT(World.waitEnd("running").code() == wire::CANCELLED);
    CPPUNIT_ASSERT(!World.Table.findEnd("deposit").has_value());
    World.Release = true;
    CPPUNIT_ASSERT(World.waitEnd("deposit").code() == wire::COMPLETED);
  }

  // Guards against keyed calls that run without a claim, or twice.
  void keyedCallNeedsStore() {
    executor_world World(2);
    World.Release = true;
    World.StoreUp = false;
    World.submitPlain("a", "key");
    CPPUNIT_ASSERT_EQUAL(std::string("store_unavailable"),
                         World.waitEnd("a").reason());
    World.StoreUp = true;
    World.submitPlain("b", "key");
    CPPUNIT_ASSERT(World.waitEnd("b").code() == wire::COMPLETED);
    World.submitPlain("c", "key");
    CPPUNIT_ASSERT(World.waitEnd("c").code() == wire::KEY_CLAIMED);
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         World.waitEnd("c").holder_request_id());
    CPPUNIT_ASSERT_EQUAL(1, World.Calls.load());
  }

  // Guards against a key that is lost to a request that never ran.
  void releasesClaimWhenUnreachable() {
    executor_world World(1, false);
    World.submitPlain("a", "key");
    CPPUNIT_ASSERT_EQUAL(std::string("upstream_unreachable"),
                         World.waitEnd("a").reason());
    CPPUNIT_ASSERT_EQUAL(2, World.Puts.load());
  }

  // Guards against model work for an engine whose weights are not known.
  void refusesWhileEngineIsNotReady() {
    executor_world World(1);
    World.EngineReady = false;
    World.submit("a", [](wire::run_request &Request) {
      Request.mutable_model()->set_model("m");
    });
    CPPUNIT_ASSERT_EQUAL(std::string("upstream_not_ready"),
                         World.waitEnd("a").reason());
    World.EngineReady = true;
    World.submit("b", [](wire::run_request &Request) {
      Request.mutable_model()->set_min_version(1);
    });
    CPPUNIT_ASSERT_EQUAL(std::string("version_too_old"),
                         World.waitEnd("b").reason());
  }

  // Guards against spans that name the version of the engine's status or of an
  // order instead of the one that produced the token.
  void versionsComeFromTheStream() {
    executor_world World(1);
    World.ObservedVersion = 9;
    World.Answer = "{\"token\":\"a\",\"version\":7}\n"
                   "{\"token\":\"b\",\"version\":8}\n{\"done\":true}\n";
    World.Release = true;
    World.submit("a", [](wire::run_request &Request) {
      Request.mutable_model()->set_model("m");
    });
    CPPUNIT_ASSERT_EQUAL(int(wire::COMPLETED), int(World.waitEnd("a").code()));
    const auto Reader = World.Table.attach("a", steady_clock::now());
    run_cursor Cursor;
    std::vector<uint64_t> Versions;
    for (auto State = run_chunk::state::Open;
         State == run_chunk::state::Open;) {
      const run_chunk Chunk = World.Table.read("a", *Reader, Cursor, 1024);
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
