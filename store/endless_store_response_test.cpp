#include "http/test_endless_server.h"
#include "store/store_client.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

class endless_store_response_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endless_store_response_test);
  CPPUNIT_TEST(endlessHeadEndsCall);
  CPPUNIT_TEST(endlessBodyEndsCall);
  CPPUNIT_TEST_SUITE_END();

  static void checkCallEnds(const std::string &Head,
                            const std::string &Repeated) {
    static constexpr size_t MaxReadBytes = size_t(32) << 20;
    endless_server Server(Head, Repeated);
    store_client Store({.Address = Server.address()});
    CPPUNIT_ASSERT(Store.get("key").Status == store_status::Unavailable);
    CPPUNIT_ASSERT(Server.SentBytes < MaxReadBytes);
  }

public:
  // Guards against memory that grows with a response that never ends.
  void endlessHeadEndsCall() {
    checkCallEnds("HTTP/1.1 200 OK\r\n", "A: b\r\n");
  }

  void endlessBodyEndsCall() {
    checkCallEnds("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "x");
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(endless_store_response_test,
                                      "endless_store_response_test");

} // namespace cardamom
