#include "agent/engine_client.h"
#include "http/test_endless_server.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

class endless_engine_response_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endless_engine_response_test);
  CPPUNIT_TEST(endlessHeadEndsCalls);
  CPPUNIT_TEST(endlessBodyEndsCalls);
  CPPUNIT_TEST_SUITE_END();

  static void checkCallsEnd(const std::string &Head,
                            const std::string &Repeated) {
    static constexpr size_t MaxReadBytes = size_t(32) << 20;
    endless_server Server(Head, Repeated);
    const engine_client Engine({.Address = Server.address()});
    CPPUNIT_ASSERT(!Engine.status());
    CPPUNIT_ASSERT(Engine.sendOrder({.Model = "m", .Version = 1}, 1) ==
                   order_result::Unknown);
    CPPUNIT_ASSERT(!Engine.cancel("r"));
    CPPUNIT_ASSERT(Server.SentBytes < MaxReadBytes);
  }

public:
  // Guards against memory that grows with a response that never ends.
  void endlessHeadEndsCalls() {
    checkCallsEnd("HTTP/1.1 200 OK\r\n", "A: b\r\n");
  }

  void endlessBodyEndsCalls() {
    checkCallsEnd("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "x");
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(endless_engine_response_test,
                                      "endless_engine_response_test");

} // namespace cardamom
