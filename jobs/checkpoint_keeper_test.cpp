#include "jobs/checkpoint_server.h"

#include "http/event_loop.h"
#include "http/http_client.h"
#include "jobs/inner_paths.h"
#include "store/async_store_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <functional>
#include <stdlib.h>
#include <unistd.h>

namespace cardamom {

class checkpoint_keeper_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(checkpoint_keeper_test);
  CPPUNIT_TEST(keepsOverRestart);
  CPPUNIT_TEST(tornWriteLeavesFormer);
  CPPUNIT_TEST(keepsInMemoryWithoutDisk);
  CPPUNIT_TEST(announcesItself);
  CPPUNIT_TEST_SUITE_END();

  /// A loopback address of this process's own.
  const std::string Address = "127.77." +
                              std::to_string(::getpid() / 250 % 250) + '.' +
                              std::to_string(1 + ::getpid() % 250) + ":21917";

  event_loop Loop;
  http_client Client{Loop, {}};
  std::vector<object_request> Calls;
  async_store_client Link{
      Loop,
      {.Send = [this](const object_request &Request,
                      const object_callback &Done) {
        Calls.push_back(Request);
        Loop.post(
            [Done] { Done({.Outcome = object_outcome::Done, .Objects = {}}); });
      }}};
  std::filesystem::path Folder;

  std::unique_ptr<checkpoint_server> keeper(std::filesystem::path DataDir) {
    auto Keeper = std::make_unique<checkpoint_server>(
        Loop, Link,
        checkpoint_server_options{.Name = "vm",
                                  .FailureDomain = "z",
                                  .Listen = Address,
                                  .DataDir = std::move(DataDir)});
    Keeper->start();
    return Keeper;
  }

  http_response call(const char *Method, const std::string &Body = {}) {
    // A connection to a former keeper would give no answer.
    Client.forget(Address);
    http_response Answer;
    const call_handle Call = Client.fetch(
        Address,
        {.Method = Method,
         .Target = std::string(InnerCheckpointPath) + "?pool=a%2Fb",
         .Headers = {{"Host", Address}},
         .Body = Body},
        milliseconds(1000),
        [&](const call_end & /*End*/, const http_response &Response) {
          Answer = Response;
          Loop.stop();
        });
    Loop.run();
    Loop.restart();
    return Answer;
  }

public:
  void setUp() override {
    char Template[] = "/tmp/keeper-test-XXXXXX";
    Folder = ::mkdtemp(Template);
  }
  void tearDown() override { std::filesystem::remove_all(Folder); }

  // Guards against texts of a whole outage that are lost with the power of all
  // gateways (trouble-1 of Lisbon).
  void keepsOverRestart() {
    auto Keeper = keeper(Folder);
    CPPUNIT_ASSERT_EQUAL(404U, call("GET").Status);
    CPPUNIT_ASSERT_EQUAL(200U, call("POST", "{\"x\":1}").Status);
    CPPUNIT_ASSERT_EQUAL(200U, call("POST", "{\"x\":2}").Status);
    Keeper.reset();
    Keeper = keeper(Folder);
    CPPUNIT_ASSERT_EQUAL(std::string("{\"x\":2}"), call("GET").Body);
  }

  void tornWriteLeavesFormer() {
    auto Keeper = keeper(Folder);
    call("POST", "{\"x\":1}");
    Keeper.reset();
    std::ofstream(Folder / "checkpoint-a%2Fb.new") << "{\"x";
    Keeper = keeper(Folder);
    CPPUNIT_ASSERT_EQUAL(std::string("{\"x\":1}"), call("GET").Body);
  }

  // Guards against a full or missing disk that ends the process.
  void keepsInMemoryWithoutDisk() {
    auto Keeper = keeper(Folder / "missing");
    CPPUNIT_ASSERT_EQUAL(200U, call("POST", "{}").Status);
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), call("GET").Body);
  }

  void announcesItself() {
    const auto Keeper = keeper({});
    CPPUNIT_ASSERT_EQUAL(size_t(1), Calls.size());
    CPPUNIT_ASSERT_EQUAL(std::string(CheckpointServerKind), Calls.front().Kind);
    CPPUNIT_ASSERT_EQUAL(Address,
                         Calls.front().Value.at("address").get<std::string>());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(checkpoint_keeper_test,
                                      "checkpoint_keeper_test");

} // namespace cardamom
