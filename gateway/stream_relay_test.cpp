#include "gateway/test_environment.h"
#include "http/http_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <optional>
#include <vector>

namespace cardamom {

/// Plays replicas that break off, stall, or answer with something else, and
/// checks what reaches the caller.
class stream_relay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_relay_test);
  CPPUNIT_TEST(errorOfSecondReplicaIsNotRelayed);
  CPPUNIT_TEST(answerOfOtherTypeDoesNotContinueStream);
  CPPUNIT_TEST(slowStreamIsNotCut);
  CPPUNIT_TEST(stalledStreamEndsDespiteSingleBytes);
  CPPUNIT_TEST(eventsBeforeTheRequestedOneAreNotRelayed);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char *EventStream = "text/event-stream";

  test_environment Env;
  std::vector<std::unique_ptr<http_server>> Servers;
  std::vector<timer_handle> Timers;
  std::string Relayed;
  std::optional<stream_result> Result;
  time_point EndedAt{};

  using handler = std::function<void(const exchange_ptr &)>;

  void startReplica(const std::string &Id, handler OnRequest) {
    const std::string Address = test_environment::unusedAddress();
    Servers.push_back(std::make_unique<http_server>(
        Env.Loop, http_server_options{.Listen = Address,
                                      .OnRequest = std::move(OnRequest)}));
    Env.addReplica(Id, Address);
  }

  static std::string event(int Number) {
    return "id: " + std::to_string(Number) + "\ndata: x\n\n";
  }

  static void startStream(const exchange_ptr &Exchange) {
    Exchange->startStream(
        {.Status = 200, .Headers = {{"Content-Type", EventStream}}});
  }

  void later(milliseconds Delay, std::function<void()> Task) {
    Timers.push_back(Env.Loop.after(Delay, std::move(Task)));
  }

  /// The first replica sends one event and breaks off, whichever it is; the
  /// second answers with Second.
  void playBreak(const handler &Second) {
    const auto Requests = std::make_shared<int>(0);
    for (const char *Id : {"a", "b"})
      startReplica(Id, [this, Requests, Second](const exchange_ptr &Exchange) {
        if ((*Requests)++ > 0)
          return Second(Exchange);
        startStream(Exchange);
        Exchange->writeStream(event(1));
        later(milliseconds(30), [Exchange] { Exchange->abort(); });
      });
    stream_request Request = test_environment::streamRequest();
    Request.Resumable = true;
    Request.MaxAttempts = 2;
    relay(std::move(Request));
  }

  void relay(stream_request Request) {
    const stream_call_ptr Call = Env.StreamClient.start(
        std::move(Request),
        {.OnHead = [](const upstream_head & /*Head*/) {},
         .OnEvent = [this](std::string_view Event) { Relayed += Event; },
         .OnEnd =
             [this](const stream_result &End) {
               Result = End;
               EndedAt = event_loop::now();
               Env.Loop.stop();
             }});
    Env.runFor(milliseconds(4000));
    CPPUNIT_ASSERT(Result);
  }

public:
  // Guards against an error, or its text, in the middle of a stream.
  void errorOfSecondReplicaIsNotRelayed() {
    playBreak([](const exchange_ptr &Exchange) {
      Exchange->respond({.Status = 500,
                         .Headers = {{"Content-Type", EventStream}},
                         .Body = event(2)});
    });
    CPPUNIT_ASSERT_EQUAL(event(1), Relayed);
    CPPUNIT_ASSERT(Result->Outcome == stream_outcome::Truncated);
  }

  // Guards against a stream that ends as complete, or goes on, with a response
  // that is no event stream.
  void answerOfOtherTypeDoesNotContinueStream() {
    for (const std::string &Body : {std::string(), event(2)}) {
      Servers.clear();
      Relayed.clear();
      Result.reset();
      playBreak([Body](const exchange_ptr &Exchange) {
        Exchange->respond({.Status = 200,
                           .Headers = {{"Content-Type", "text/plain"}},
                           .Body = Body});
      });
      CPPUNIT_ASSERT_EQUAL(event(1), Relayed);
      CPPUNIT_ASSERT(Result->Outcome == stream_outcome::Truncated);
    }
  }

  void slowStreamIsNotCut() {
    startReplica("a", [this](const exchange_ptr &Exchange) {
      startStream(Exchange);
      for (int Number = 1; Number <= 4; ++Number)
        later(milliseconds(250 * Number), [Exchange, Number] {
          Exchange->writeStream(event(Number));
          if (Number == 4)
            Exchange->finishStream();
        });
    });
    stream_request Request = test_environment::streamRequest();
    Request.MaxEventGap = milliseconds(400);
    relay(std::move(Request));
    CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3) + event(4), Relayed);
    CPPUNIT_ASSERT(Result->Outcome == stream_outcome::Complete);
  }

  // Guards against bytes that are no event but keep a stalled stream open.
  void stalledStreamEndsDespiteSingleBytes() {
    for (const std::string Part : {"d", ": comment\n\n", "\n"}) {
      Servers.clear();
      Relayed.clear();
      Result.reset();
      startReplica("a", [this, Part](const exchange_ptr &Exchange) {
        startStream(Exchange);
        Exchange->writeStream(event(1));
        for (int I = 1; I < 60; ++I)
          later(milliseconds(50 * I),
                [Exchange, Part] { Exchange->writeStream(Part); });
      });
      stream_request Request = test_environment::streamRequest();
      Request.MaxEventGap = milliseconds(400);
      const time_point StartedAt = event_loop::now();
      relay(std::move(Request));
      Timers.clear();
      CPPUNIT_ASSERT(Result->Outcome == stream_outcome::Truncated);
      CPPUNIT_ASSERT(EndedAt - StartedAt < milliseconds(1500));
    }
  }

  // Guards against events that the caller has already, when a replica ignores
  // the position from which the caller resumes.
  void eventsBeforeTheRequestedOneAreNotRelayed() {
    startReplica("a", [](const exchange_ptr &Exchange) {
      Exchange->respond({.Status = 200,
                         .Headers = {{"Content-Type", EventStream}},
                         .Body = event(1) + event(2)});
    });
    stream_request Request = test_environment::streamRequest();
    Request.Resumable = true;
    Request.UpstreamRequest.ResumeAfterEvent = 5;
    relay(std::move(Request));
    CPPUNIT_ASSERT_EQUAL(std::string(), Relayed);
    CPPUNIT_ASSERT(Result->Outcome == stream_outcome::NotStarted);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(stream_relay_test, "stream_relay_test");

} // namespace cardamom
