#include "gateway/test_environment.h"
#include "http/test_endless_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <vector>

namespace cardamom {

class endless_response_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(endless_response_test);
  CPPUNIT_TEST(unaryCallsEndWithinOneMemoryLimit);
  CPPUNIT_TEST(hedgeReplacesEndlessResponse);
  CPPUNIT_TEST(streamEndsAtEndlessEvent);
  CPPUNIT_TEST(streamEndsAtEndlessErrorBody);
  CPPUNIT_TEST(streamsEndWithinOneMemoryLimit);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char *Ok = "HTTP/1.1 200 OK\r\n\r\n";

  std::optional<stream_result> stream(test_environment &Env) {
    std::optional<stream_result> Result;
    const stream_call_ptr Call =
        Env.StreamClient.start(test_environment::streamRequest(),
                               {.OnHead = [](const upstream_head &) {},
                                .OnEvent = [](std::string_view) {},
                                .OnEnd =
                                    [&](const stream_result &End) {
                                      Result = End;
                                      Env.Loop.stop();
                                    }});
    Env.runFor(milliseconds(3000));
    return Result;
  }

public:
  // Guards against memory that grows with the number of endless bodies.
  void unaryCallsEndWithinOneMemoryLimit() {
    endless_server Replica(Ok, "x");
    test_environment Env;
    Env.addReplica("a", Replica.address());
    static constexpr size_t Calls = 16;
    std::vector<unary_result> Results;
    std::vector<unary_call_ptr> Running;
    for (size_t I = 0; I < Calls; ++I)
      Running.push_back(Env.UnaryClient.start(
          test_environment::unaryRequest(), [&](unary_result End) {
            Results.push_back(std::move(End));
            if (Results.size() == Calls)
              Env.Loop.stop();
          }));
    Env.runFor(milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(Calls, Results.size());
    for (const unary_result &Result : Results) {
      CPPUNIT_ASSERT(!Result.FromReplica);
      CPPUNIT_ASSERT(Result.Verdict.Certainty == run_certainty::MayHaveRun);
    }
    CPPUNIT_ASSERT(Env.Buffers->peakBytes() <= size_t(48) << 20);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Env.Buffers->totalBytes());
    Env.runFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0U, Replica.OpenConnections.load());
  }

  // Guards against a hedged call that keeps the endless response open or fails.
  void hedgeReplacesEndlessResponse() {
    endless_server Endless(Ok, "x");
    test_environment Env;
    Env.addReplica("a", Endless.address());
    unary_request Request = test_environment::unaryRequest();
    Request.Idempotent = true;
    Request.MaxAttempts = 2;
    std::optional<unary_result> Result;
    const unary_call_ptr Call =
        Env.UnaryClient.start(Request, [&](unary_result End) {
          Result = std::move(End);
          Env.Loop.stop();
        });
    endless_server Other("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "y");
    Env.addReplica("b", Other.address());
    Env.runFor(milliseconds(3000));
    CPPUNIT_ASSERT(Result);
    CPPUNIT_ASSERT(Result->FromReplica);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Result->Body);
    Env.runFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0U, Endless.OpenConnections.load() +
                                 Other.OpenConnections.load());
  }

  void streamEndsAtEndlessEvent() {
    for (const std::string Repeated : {"x", "data: x\n", ": comment\n"}) {
      endless_server Replica(Ok, Repeated);
      test_environment Env;
      Env.addReplica("a", Replica.address());
      const auto Result = stream(Env);
      CPPUNIT_ASSERT_MESSAGE(Repeated, Result);
      CPPUNIT_ASSERT(Result->Outcome == stream_outcome::NotStarted);
      CPPUNIT_ASSERT(Result->Verdict.Certainty == run_certainty::MayHaveRun);
      CPPUNIT_ASSERT_MESSAGE(Repeated, Replica.SentBytes < size_t(16) << 20);
    }
  }

  void streamEndsAtEndlessErrorBody() {
    endless_server Replica("HTTP/1.1 500 Error\r\n\r\n", "x");
    test_environment Env;
    Env.addReplica("a", Replica.address());
    const auto Result = stream(Env);
    CPPUNIT_ASSERT(Result);
    CPPUNIT_ASSERT(Result->Outcome == stream_outcome::NotStarted);
    CPPUNIT_ASSERT(Result->Verdict.Certainty == run_certainty::MayHaveRun);
    CPPUNIT_ASSERT(Replica.SentBytes < size_t(32) << 20);
  }

  // Guards against memory that grows with the number of streams whose events
  // never end.
  void streamsEndWithinOneMemoryLimit() {
    endless_server Replica(Ok, "x");
    test_environment Env;
    Env.addReplica("a", Replica.address());
    static constexpr size_t Streams = 100;
    std::vector<stream_call_ptr> Running;
    size_t Ended = 0;
    for (size_t I = 0; I < Streams; ++I)
      Running.push_back(
          Env.StreamClient.start(test_environment::streamRequest(),
                                 {.OnHead = [](const upstream_head &) {},
                                  .OnEvent = [](std::string_view) {},
                                  .OnEnd =
                                      [&](const stream_result & /*End*/) {
                                        if (++Ended == Streams)
                                          Env.Loop.stop();
                                      }}));
    Env.runFor(milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(Streams, Ended);
    CPPUNIT_ASSERT(Env.Buffers->peakBytes() <= size_t(32) << 20);
    Running.clear();
    CPPUNIT_ASSERT_EQUAL(size_t(0), Env.Buffers->totalBytes());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(endless_response_test,
                                      "endless_response_test");

} // namespace cardamom
