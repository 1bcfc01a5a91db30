#include "http/event_loop.h"
#include "http/http_client.h"
#include "http/test_blocking_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>

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
  CPPUNIT_TEST(resetDuringUploadEndsNoBody);
  CPPUNIT_TEST(resetAfterWholeBodyKeepsIt);
  CPPUNIT_TEST(earlyResponseToUploadIsComplete);
  CPPUNIT_TEST_SUITE_END();

  static fetched_response fetchWithStatus(std::string_view Status) {
    return fetchFrom([&](int Connection) {
      readRequest(Connection);
      sendText(Connection, "HTTP/1.1 " + std::string(Status) +
                               " Text\r\nContent-Length: 2\r\n\r\nok");
    });
  }

  static fetched_response
  upload(const std::function<void(int Connection)> &Serve) {
    // Too large for the buffers of the sockets, so that the write is pending.
    static constexpr size_t BodyBytes = size_t(16) << 20;
    return fetchFrom(
        [&](int Connection) {
          readRequest(Connection);
          Serve(Connection);
        },
        std::string(BodyBytes, 'x'));
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

  // Guards against a part of a body that counts as the whole one because the
  // write of the request, not the read, reported the reset.
  void resetDuringUploadEndsNoBody() {
    for (int Round = 0; Round < 40; ++Round) {
      const fetched_response Fetched = upload([&](int Connection) {
        sendText(Connection, "HTTP/1.1 200 OK\r\n\r\npart");
        std::this_thread::sleep_for(milliseconds(Round % 4));
        resetOnClose(Connection);
      });
      CPPUNIT_ASSERT(Fetched.Result == call_result::InvalidResponse ||
                     Fetched.Result == call_result::NoResponse);
    }
  }

  // Guards against a rejected upload whose response is lost because the server
  // ends the connection without having read the body.
  void resetAfterWholeBodyKeepsIt() {
    for (int Round = 0; Round < 40; ++Round) {
      const bool WithLength = Round % 2 == 0;
      const fetched_response Fetched = upload([&](int Connection) {
        sendText(Connection, std::string("HTTP/1.1 413 Too Large\r\n") +
                                 (WithLength ? "Content-Length: 5\r\n" : "") +
                                 "\r\nwhole");
        ::shutdown(Connection, SHUT_WR);
        std::this_thread::sleep_for(milliseconds(Round / 2 % 4));
        resetOnClose(Connection);
      });
      CPPUNIT_ASSERT(Fetched.Result == call_result::Complete);
      CPPUNIT_ASSERT_EQUAL(413U, Fetched.Response.Status);
      CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetched.Response.Body);
    }
  }

  // Guards against a response that is withheld until its request has been
  // written.
  void earlyResponseToUploadIsComplete() {
    const fetched_response Fetched = upload([](int Connection) {
      sendText(Connection, "HTTP/1.1 200 OK\r\n\r\nwhole");
      ::shutdown(Connection, SHUT_WR);
      char Buffer[4096];
      while (::recv(Connection, Buffer, sizeof Buffer, 0) > 0)
        std::this_thread::sleep_for(milliseconds(1));
    });
    CPPUNIT_ASSERT(Fetched.Result == call_result::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Fetched.Response.Body);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(broken_response_test,
                                      "broken_response_test");

} // namespace cardamom
