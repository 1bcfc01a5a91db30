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
  CPPUNIT_TEST(survivesRestart);
  CPPUNIT_TEST(interruptedWriteKeepsPreviousCheckpoint);
  CPPUNIT_TEST(keepsInMemoryWhenDiskFails);
  CPPUNIT_TEST(registersInStore);
  CPPUNIT_TEST_SUITE_END();

  /// A loopback address that other test processes do not use.
  const std::string Address = "127.77." +
                              std::to_string(::getpid() / 250 % 250) + '.' +
                              std::to_string(1 + ::getpid() % 250) + ":21917";

  event_loop Loop;
  http_client Client{Loop, {}};
  std::vector<object_request> StoreRequests;
  async_store_client Store{
      Loop,
      {.Send = [this](const object_request &Request,
                      const object_callback &Done) {
        StoreRequests.push_back(Request);
        Loop.post(
            [Done] { Done({.Outcome = object_outcome::Done, .Objects = {}}); });
      }}};
  std::filesystem::path Directory;

  std::unique_ptr<checkpoint_server>
  startServer(std::filesystem::path DataDir) {
    auto Server = std::make_unique<checkpoint_server>(
        Loop, Store,
        checkpoint_server_options{.Name = "vm",
                                  .FailureDomain = "z",
                                  .Listen = Address,
                                  .DataDir = std::move(DataDir)});
    Server->start();
    return Server;
  }

  http_response call(const char *Method, const std::string &Body = {}) {
    // Closes kept-alive connections; the server at the other end may have been
    // destroyed.
    Client.closeIdleConnections(Address);
    http_response Result;
    const call_handle Call = Client.fetch(
        Address,
        {.Method = Method,
         .Target = std::string(InnerCheckpointPath) + "?pool=a%2Fb",
         .Headers = {{"Host", Address}},
         .Body = Body},
        milliseconds(1000),
        [&](const call_completion & /*End*/, const http_response &Response) {
          Result = Response;
          Loop.stop();
        });
    Loop.run();
    Loop.restart();
    return Result;
  }

public:
  void setUp() override {
    char Template[] = "/tmp/checkpoint-server-test-XXXXXX";
    Directory = ::mkdtemp(Template);
  }
  void tearDown() override { std::filesystem::remove_all(Directory); }

  // Guards against the loss of all generated texts when every gateway loses
  // power, as in the bench run trouble-1 of Lisbon (docs/decisions.md).
  void survivesRestart() {
    auto Server = startServer(Directory);
    CPPUNIT_ASSERT_EQUAL(404U, call("GET").Status);
    CPPUNIT_ASSERT_EQUAL(200U, call("POST", "{\"x\":1}").Status);
    CPPUNIT_ASSERT_EQUAL(200U, call("POST", "{\"x\":2}").Status);
    Server.reset();
    Server = startServer(Directory);
    CPPUNIT_ASSERT_EQUAL(std::string("{\"x\":2}"), call("GET").Body);
  }

  void interruptedWriteKeepsPreviousCheckpoint() {
    auto Server = startServer(Directory);
    call("POST", "{\"x\":1}");
    Server.reset();
    std::ofstream(Directory / "checkpoint-a%2Fb.new") << "{\"x";
    Server = startServer(Directory);
    CPPUNIT_ASSERT_EQUAL(std::string("{\"x\":1}"), call("GET").Body);
  }

  // Guards against a process that exits because its disk is full or missing.
  void keepsInMemoryWhenDiskFails() {
    auto Server = startServer(Directory / "missing");
    CPPUNIT_ASSERT_EQUAL(200U, call("POST", "{}").Status);
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), call("GET").Body);
  }

  void registersInStore() {
    const auto Server = startServer({});
    CPPUNIT_ASSERT_EQUAL(size_t(1), StoreRequests.size());
    CPPUNIT_ASSERT_EQUAL(std::string(CheckpointServerKind),
                         StoreRequests.front().Kind);
    CPPUNIT_ASSERT_EQUAL(
        Address, StoreRequests.front().Value.at("address").get<std::string>());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(checkpoint_keeper_test,
                                      "checkpoint_keeper_test");

} // namespace cardamom
