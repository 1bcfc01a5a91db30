#include "http/event_loop.h"
#include "http/http_client.h"
#include "http/test_blocking_server.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
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
  CPPUNIT_TEST(fieldNameWithInvalidByteIsInvalid);
  CPPUNIT_TEST(foldedLineIsInvalid);
  CPPUNIT_TEST(bodyMayContainAnyBytes);
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

  /// The whole response is "ok" if the client ignores Line.
  static std::string responseWithLine(bool LineIsFirst, std::string_view Line) {
    const std::string Valid = "A: b\r\nContent-Length: 2\r\n";
    const std::string Added = std::string(Line) + "\r\n";
    return "HTTP/1.1 200 OK\r\n" +
           (LineIsFirst ? Added + Valid : Valid + Added) + "\r\nok";
  }

  static fetched_response fetchText(const std::string &Response,
                                    bool BytesApart = false) {
    return fetchFrom([&](int Connection) {
      readRequest(Connection);
      if (!BytesApart)
        return sendText(Connection, Response);
      const int NoDelay = 1;
      ::setsockopt(Connection, IPPROTO_TCP, TCP_NODELAY, &NoDelay,
                   sizeof NoDelay);
      for (const char Byte : Response) {
        sendText(Connection, std::string(1, Byte));
        std::this_thread::sleep_for(std::chrono::microseconds(100));
      }
    });
  }

  static void checkLineIsInvalid(std::string_view Line) {
    for (const bool LineIsFirst : {false, true})
      for (const bool BytesApart : {false, true})
        CPPUNIT_ASSERT_MESSAGE(
            std::string(Line),
            fetchText(responseWithLine(LineIsFirst, Line), BytesApart).Result ==
                call_result::InvalidResponse);
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

  // Guards against a name that callers read differently, so that the line is
  // passed on or frames another body.
  void fieldNameWithInvalidByteIsInvalid() {
    for (const char Byte : std::string("\0\1\t\n\v\r\x1b \x7f\x80\xff", 11)) {
      checkLineIsInvalid(std::string("X") + Byte + "Y: z");
      checkLineIsInvalid(std::string("X") + Byte + ": z");
      checkLineIsInvalid(std::string("Content") + Byte + "Length: 1");
      checkLineIsInvalid(std::string("Content-Length") + Byte + ": 1");
    }
    checkLineIsInvalid(": z");
    checkLineIsInvalid("X");
  }

  // Guards against a name after a blank that counts as a part of the value
  // before, so that the line is passed on or frames no body.
  void foldedLineIsInvalid() {
    for (const std::string_view Blank : {" ", "\t", "  ", " \t"}) {
      checkLineIsInvalid(std::string(Blank) + "X: y");
      checkLineIsInvalid(std::string(Blank) + "Content-Length: 1");
      checkLineIsInvalid(std::string(Blank));
      checkLineIsInvalid("X:\r\n" + std::string(Blank) + "y");
      checkLineIsInvalid("X: y\r\n" + std::string(Blank) + "Y: z");
    }
  }

  // Guards against a body that is read as header lines.
  void bodyMayContainAnyBytes() {
    const std::string Body = "\r\n X: y\r\n\r\n\tY: z\r\n ";
    for (const bool BytesApart : {false, true})
      for (const std::string &Lines :
           {std::string("\r\n"), std::string("A: b\r\n\r\n"),
            "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n"}) {
        std::string Response =
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n";
        Response.append(Lines).append(Body);
        const fetched_response Fetched = fetchText(Response, BytesApart);
        CPPUNIT_ASSERT(Fetched.Result == call_result::Complete);
        CPPUNIT_ASSERT_EQUAL(Body, Fetched.Response.Body);
      }
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
