#include "entry/entry.h"

#include "store/test_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <thread>

namespace cardamom {

class entry_thread_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(entry_thread_test);
  CPPUNIT_TEST(notReadyUntilConfigured);
  CPPUNIT_TEST(refusesBadInputAsNotRun);
  CPPUNIT_TEST(releasesLeaseWhenDrained);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char *Document = R"({
    "edit_id": "e1", "author": "a", "history": [],
    "inventory": "name,kind,pool,vm,region,failure_domain,inner_address,address,concurrency\nentry-1,entry,,vm-0,r1,fd-1,127.0.0.1:11,127.0.0.1:12,1\nm-1,model,notes,vm-1,r1,fd-1,127.0.0.1:9,127.0.0.1:10,4\n",
    "rules": {"routes": [], "upstreams": [], "weights": {"idle": 0.5, "staleness": 0.5},
      "trainers": [{"name": "t1", "priority": 1, "model": "notes", "staleness_bound": 1}]}})";

  test_store Store;
  std::unique_ptr<entry> Entry;
  std::unique_ptr<httplib::Client> Client;

  // cpp-httplib is not built with ThreadSanitizer, so the sanitizer does not
  // see the guards of its function-local statics. One complete request
  // initializes them, and the store's mutex orders this before any thread that
  // starts later.
  void initialiseHttpLibrary() {
    {
      httplib::Client First(Store.address());
      CPPUNIT_ASSERT(First.Get("/v1/objects/absent"));
    }
    std::this_thread::sleep_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::string(), Store.value("absent"));
  }

  void startEntry() {
    initialiseHttpLibrary();
    entry_options Options;
    Options.Name = "entry-1";
    Options.FailureDomain = "fd-1";
    Options.StoreAddress = Store.address();
    Options.DrainNotice = milliseconds(50);
    Options.HttpThreads = 8;
    Entry = std::make_unique<entry>(std::move(Options));
    Entry->start();
    Client = std::make_unique<httplib::Client>("127.0.0.1", Entry->httpPort());
  }

  static void waitUntil(const std::function<bool()> &Condition) {
    for (int I = 0; I < 1000 && !Condition(); ++I)
      std::this_thread::sleep_for(milliseconds(10));
    CPPUNIT_ASSERT(Condition());
  }

  void configure() {
    Store.overwrite("config/current", Document);
    waitUntil([&] { return Entry->ready(); });
  }

  void expectError(const httplib::Result &Answer, int Status,
                   const std::string &Reason) {
    CPPUNIT_ASSERT(Answer);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Answer->body, Status, Answer->status);
    const auto Body = nlohmann::json::parse(Answer->body);
    CPPUNIT_ASSERT_EQUAL(Reason, Body["error"]["reason"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                         Answer->get_header_value("Cardamom-Verdict"));
    CPPUNIT_ASSERT(Answer->has_header("X-Request-Id"));
  }

public:
  // Guards against routing requests before the rules are known.
  void notReadyUntilConfigured() {
    startEntry();
    expectError(Client->Get("/readyz"), 503, "configuration_unknown");
    expectError(Client->Post("/v1/completions", "{}", "application/json"), 503,
                "configuration_unknown");
    configure();
    CPPUNIT_ASSERT_EQUAL(200, Client->Get("/readyz")->status);
    CPPUNIT_ASSERT_EQUAL(200, Client->Get("/status")->status);
  }

  // Guards against unspecific errors and crashes on malformed requests.
  void refusesBadInputAsNotRun() {
    startEntry();
    configure();
    const char *Json = "application/json";
    expectError(Client->Post("/v1/completions", "{", Json), 400,
                "malformed_json");
    expectError(
        Client->Post("/v1/completions", R"({"model":"x","prompt":"p"})", Json),
        404, "unknown_model");
    expectError(
        Client->Post("/v1/completions", std::string(2U << 20, 'x'), Json), 413,
        "body_too_large");
    expectError(Client->Get("/absent"), 404, "unknown_route");
    expectError(Client->Put("/v1/trainers/t1/steps/x", "{}", Json), 400,
                "out_of_range");
    expectError(Client->Post("/v1/trainers/t1/weights",
                             R"({"version":0,"source":"s"})", Json),
                400, "out_of_range");
    const std::string Weights = R"({"version":2,"source":"127.0.0.1:9"})";
    for (int I = 0; I < 2; ++I)
      CPPUNIT_ASSERT_EQUAL(
          200, Client->Post("/v1/trainers/t1/weights", Weights, Json)->status);
    expectError(Client->Post("/v1/trainers/t1/weights",
                             R"({"version":1,"source":"s"})", Json),
                409, "version_not_higher");
    const httplib::Headers Timeout = {{"X-Request-Timeout-Ms", "99"}};
    expectError(Client->Post("/v1/completions", Timeout,
                             R"({"model":"notes","prompt":"p"})", Json),
                400, "out_of_range");
  }

  // Guards against a trainer that has to wait for a lease to expire although
  // its entry was shut down gracefully.
  void releasesLeaseWhenDrained() {
    startEntry();
    configure();
    const std::string Step =
        R"({"version":1,"groups":[{"group":0,"prompt":"p","n":2,"max_tokens":4}]})";
    CPPUNIT_ASSERT_EQUAL(
        200, Client->Put("/v1/trainers/t1/steps/1", Step, "application/json")
                 ->status);
    std::thread Draw([&] {
      httplib::Client DrawClient("127.0.0.1", Entry->httpPort());
      const auto Answer = DrawClient.Post(
          "/v1/trainers/t1/steps/1/draw",
          R"({"version":1,"epoch":0,"have":[],"max":4,"wait_ms":30000})",
          "application/json");
      CPPUNIT_ASSERT(Answer && Answer->status == 200);
    });
    std::this_thread::sleep_for(milliseconds(100));
    const time_point Begin = steady_clock::now();
    Entry->drain();
    Draw.join();
    CPPUNIT_ASSERT(steady_clock::now() - Begin < std::chrono::seconds(20));
    const auto Lease = nlohmann::json::parse(Store.value("trainers/t1"));
    CPPUNIT_ASSERT_EQUAL(std::string(), Lease["owner"].get<std::string>());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(entry_thread_test, "entry_thread_test");

} // namespace cardamom
