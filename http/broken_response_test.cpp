#include "http/event_loop.h"
#include "http/http_client.h"
#include "http/test_blocking_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace cardamom {

namespace {
struct fetched_response {
  call_result Result = call_result::NoResponse;
  http_response Response;
};

/// Sends a request with the body to a server whose responses Serve writes.
fetched_response fetchFrom(std::function<void(int Connection)> Serve,
                           std::string Body = {}) {
  const blocking_server Server(std::move(Serve));
  event_loop Loop;
  http_client Client(Loop, {});
  std::optional<fetched_response> Fetched;
  const call_handle Call =
      Client.fetch(Server.address(),
                   {.Method = "POST",
                    .Target = "/",
                    .Headers = {{"Host", "h"}},
                    .Body = std::move(Body)},
                   milliseconds(5000),
                   [&](const call_completion &End, http_response Response) {
                     Fetched = {End.Result, std::move(Response)};
                     Loop.stop();
                   });
  Loop.run();
  return *Fetched;
}
} // namespace

class broken_response_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(broken_response_test);
  CPPUNIT_TEST(statusOutsideRangeIsInvalid);
  CPPUNIT_TEST_SUITE_END();

  static fetched_response fetchWithStatus(std::string_view Status) {
    return fetchFrom([&](int Connection) {
      readRequest(Connection);
      sendText(Connection, "HTTP/1.1 " + std::string(Status) +
                               " Text\r\nContent-Length: 2\r\n\r\nok");
    });
  }

public:
  // Guards against a status that HTTP does not define and that callers get as
  // that of a response.
  void statusOutsideRangeIsInvalid() {
    for (const std::string_view Status : {"000", "001", "099", "600", "999"})
      CPPUNIT_ASSERT_MESSAGE(std::string(Status),
                             fetchWithStatus(Status).Result ==
                                 call_result::InvalidResponse);
    for (const std::string_view Status : {"200", "299", "499", "599"})
      CPPUNIT_ASSERT_MESSAGE(std::string(Status),
                             fetchWithStatus(Status).Result ==
                                 call_result::Complete);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(broken_response_test,
                                      "broken_response_test");

} // namespace cardamom
