#include "agent/upstream_client.h"
#include "http/test_blocking_server.h"
#include "inner/gen/messages.pb.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace cardamom {

namespace {
struct recorded_run {
  wire::run_end End;
  bool HasHead = false;
  wire::response_head Head;
  std::string Bytes;

  response_sink sink() {
    return {.OnHead =
                [this](wire::response_head New) {
                  HasHead = true;
                  Head = std::move(New);
                },
            .OnBytes =
                [this](std::string_view New) {
                  Bytes += New;
                  return true;
                },
            .OnToken =
                [this](std::string_view Text, uint64_t) {
                  Bytes += Text;
                  return true;
                }};
  }
};

recorded_run runPlain(const std::function<void(int Connection)> &Serve,
                      const std::string &Method = "POST",
                      std::string Body = {}) {
  const blocking_server Server([&](int Connection) {
    readRequest(Connection);
    Serve(Connection);
  });
  upstream_client Client({.Address = Server.address()});
  wire::plain_call Call;
  Call.set_method(Method);
  Call.set_target("/");
  Call.set_body(std::move(Body));
  recorded_run Run;
  Run.End = Client.runPlain("id", Call, Run.sink());
  return Run;
}

recorded_run runModel(const std::string &Response) {
  const blocking_server Server([&](int Connection) {
    readRequest(Connection);
    sendText(Connection, Response);
  });
  upstream_client Client({.Address = Server.address()});
  recorded_run Run;
  Run.End = Client.runModel("id", {}, 0, Run.sink());
  return Run;
}

/// Checks that neither kind of call passes on a response with this head.
void checkHeadIsInvalid(const std::string &Head) {
  const recorded_run Plain = runPlain([&](int Connection) {
    sendText(Connection, Head + "Connection: close\r\n\r\nbody");
  });
  CPPUNIT_ASSERT_MESSAGE(Head, Plain.End.code() == wire::UPSTREAM_FAILED);
  CPPUNIT_ASSERT_MESSAGE(Head, !Plain.HasHead);
  const recorded_run Model =
      runModel(Head + "\r\n{\"token\":\"a\",\"version\":7}\n{\"done\":true}\n");
  CPPUNIT_ASSERT_MESSAGE(Head, Model.End.code() == wire::UPSTREAM_FAILED);
  CPPUNIT_ASSERT_MESSAGE(Head, !Model.HasHead);
}
} // namespace

class broken_upstream_response_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(broken_upstream_response_test);
  CPPUNIT_TEST(statusOutsideRangeFails);
  CPPUNIT_TEST(fieldNameWithInvalidByteFails);
  CPPUNIT_TEST(resetDuringUploadFails);
  CPPUNIT_TEST(earlyResponseToUploadIsComplete);
  CPPUNIT_TEST(pauseBeforeReadingLosesNoUpload);
  CPPUNIT_TEST(valuesAreForwardedUnchanged);
  CPPUNIT_TEST(responseWithoutBodyIsComplete);
  CPPUNIT_TEST_SUITE_END();

  // Too large for the buffers of the sockets, so that the write is pending.
  static constexpr size_t UploadBytes = size_t(16) << 20;

public:
  // Guards against a status that HTTP does not define and that callers get as
  // that of a response.
  void statusOutsideRangeFails() {
    checkHeadIsInvalid("HTTP/1.1 000 OK\r\n");
    checkHeadIsInvalid("HTTP/1.1 099 OK\r\n");
    checkHeadIsInvalid("HTTP/1.1 700 OK\r\n");
  }

  // Guards against a name that callers read differently, so that the line is
  // passed on or frames another body.
  void fieldNameWithInvalidByteFails() {
    const std::string Ok = "HTTP/1.1 200 OK\r\nA: b\r\n";
    for (const char Byte : std::string("\0\1\t\n\r \x7f", 7)) {
      checkHeadIsInvalid(Ok + "X" + Byte + "Y: z\r\n");
      checkHeadIsInvalid(Ok + Byte + "X: z\r\n");
      checkHeadIsInvalid(Ok + "Content-Length" + Byte + ": 1\r\n");
    }
  }

  // Guards against a part of a body that counts as the whole one because the
  // write of the request, not the read, reported the reset.
  void resetDuringUploadFails() {
    for (int Round = 0; Round < 20; ++Round) {
      const recorded_run Run = runPlain(
          [&](int Connection) {
            sendText(Connection, "HTTP/1.1 200 OK\r\n\r\npart");
            std::this_thread::sleep_for(milliseconds(Round % 4));
            resetOnClose(Connection);
          },
          "POST", std::string(UploadBytes, 'x'));
      CPPUNIT_ASSERT(Run.End.code() == wire::UPSTREAM_FAILED);
    }
  }

  // Guards against a rejected upload whose response is lost because the
  // upstream ends the connection without having read the body.
  void earlyResponseToUploadIsComplete() {
    for (int Round = 0; Round < 20; ++Round) {
      const recorded_run Run = runPlain(
          [&](int Connection) {
            sendText(Connection, "HTTP/1.1 413 Too Large\r\n"
                                 "Content-Length: 5\r\n\r\nwhole");
            std::this_thread::sleep_for(milliseconds(Round % 4));
          },
          "POST", std::string(UploadBytes, 'x'));
      CPPUNIT_ASSERT(Run.End.code() == wire::COMPLETED);
      CPPUNIT_ASSERT_EQUAL(413U, Run.Head.status());
      CPPUNIT_ASSERT_EQUAL(std::string("whole"), Run.Bytes);
    }
  }

  // Guards against uploads that end because the upstream does not read for a
  // while.
  void pauseBeforeReadingLosesNoUpload() {
    size_t ReadBytes = 0;
    const recorded_run Run = runPlain(
        [&](int Connection) {
          std::this_thread::sleep_for(milliseconds(4000));
          std::string Buffer(65536, ' ');
          while (ReadBytes < UploadBytes) {
            const ssize_t Count =
                ::recv(Connection, Buffer.data(), Buffer.size(), 0);
            if (Count <= 0)
              return;
            ReadBytes += size_t(Count);
          }
          sendText(Connection,
                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        },
        "POST", std::string(UploadBytes + 4096, 'x'));
    CPPUNIT_ASSERT(Run.End.code() == wire::COMPLETED);
  }

  // Guards against values that change on the way.
  void valuesAreForwardedUnchanged() {
    const recorded_run Run = runPlain([](int Connection) {
      sendText(Connection, "HTTP/1.1 200 OK\r\nX: a%41+b\r\nX: c\r\n"
                           "Content-Length: 2\r\n\r\nok");
    });
    CPPUNIT_ASSERT(Run.End.code() == wire::COMPLETED);
    CPPUNIT_ASSERT_EQUAL(2, Run.Head.headers_size());
    CPPUNIT_ASSERT_EQUAL(std::string("a%41+b"), Run.Head.headers(0).value());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), Run.Head.headers(1).value());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Run.Bytes);
  }

  // Guards against calls that wait for a body which does not come.
  void responseWithoutBodyIsComplete() {
    for (const std::string_view Method : {"HEAD", "GET"})
      for (const std::string_view Status : {"200", "204", "304"}) {
        if (Method == "GET" && Status == "200")
          continue;
        const recorded_run Run = runPlain(
            [&](int Connection) {
              sendText(Connection, "HTTP/1.1 " + std::string(Status) +
                                       " Text\r\nX: y\r\n"
                                       "Content-Length: 9\r\n\r\n");
              std::this_thread::sleep_for(milliseconds(200));
            },
            std::string(Method));
        CPPUNIT_ASSERT(Run.End.code() == wire::COMPLETED);
        CPPUNIT_ASSERT(Run.HasHead);
        CPPUNIT_ASSERT_EQUAL(std::string(), Run.Bytes);
      }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(broken_upstream_response_test,
                                      "broken_upstream_response_test");

} // namespace cardamom
