#include "jobs/item_run.h"

#include "gateway/test_environment.h"
#include "http/http_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace cardamom {

/// Plays replicas that answer the runs of one item.
class item_run_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(item_run_test);
  CPPUNIT_TEST(resumesBrokenText);
  CPPUNIT_TEST(acceptsEndWithoutFurtherEvents);
  CPPUNIT_TEST(answerOfOtherTypeDoesNotEndText);
  CPPUNIT_TEST(errorDoesNotEndText);
  CPPUNIT_TEST(brokenOffResponseIsNotComplete);
  CPPUNIT_TEST(tooLongTextIsDiscarded);
  CPPUNIT_TEST(tooLargeEventEndsRun);
  CPPUNIT_TEST_SUITE_END();

  test_environment Env;
  item_text Text;
  uint64_t MaxTextBytes = 900000;

  static std::string event(uint64_t Number, const std::string &Data = "x") {
    return "id: " + std::to_string(Number) + "\ndata: " + Data + "\n\n";
  }

  static http_response events(const std::string &Body) {
    return {.Status = 200,
            .Headers = {{"Content-Type", "text/event-stream; charset=utf-8"}},
            .Body = Body};
  }

  /// Plays one run on a replica that answers by OnRequest.
  item_run_outcome
  play(const std::function<void(const exchange_ptr &)> &OnRequest) {
    const std::string Address = test_environment::unusedAddress();
    http_server Server(Env.Loop, {.Listen = Address, .OnRequest = OnRequest});
    const upstream_protocol Protocol{
        .Encode = Env.Protocol.Encode,
        .Decode = [](const http_response &Response) {
          return upstream_head{.Status = Response.Status,
                               .Headers = Response.Headers,
                               .RequestId = "r",
                               .Signature = "s",
                               .WeightVersion = 1};
        }};
    std::optional<item_run_outcome> Outcome;
    const item_run Run({.Client = Env.Client,
                        .Protocol = Protocol,
                        .MayWrite = [] { return true; },
                        .EventVersionField = "version",
                        .MaxTextBytes = MaxTextBytes},
                       {.RequestId = "r"},
                       {.Id = "a", .Service = "s", .Address = Address}, Text,
                       event_loop::now(), [&](const item_run_end &End) {
                         Outcome = End.Outcome;
                         Env.Loop.stop();
                       });
    Env.runFor(milliseconds(4000));
    CPPUNIT_ASSERT(Outcome);
    return *Outcome;
  }

  item_run_outcome playResponse(const http_response &Response) {
    return play([&](const exchange_ptr &Exchange) {
      Exchange->respond(http_response(Response));
    });
  }

  /// Leaves one event in Text.
  void playBreak() {
    timer_handle Timer;
    const auto Outcome = play([&](const exchange_ptr &Exchange) {
      http_response Head = events({});
      Exchange->startStream({.Status = Head.Status, .Headers = Head.Headers});
      Exchange->writeStream(event(1));
      Timer =
          Env.Loop.after(milliseconds(30), [Exchange] { Exchange->abort(); });
    });
    CPPUNIT_ASSERT(Outcome == item_run_outcome::Broken);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), Text.Text);
  }

public:
  void resumesBrokenText() {
    playBreak();
    CPPUNIT_ASSERT(playResponse(events(event(2) + event(3))) ==
                   item_run_outcome::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("x\nx\nx"), Text.Text);
  }

  // All events may have arrived before the connection broke.
  void acceptsEndWithoutFurtherEvents() {
    playBreak();
    CPPUNIT_ASSERT(playResponse(events({})) == item_run_outcome::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), Text.Text);
  }

  // Guards against a text that is cut but stored as complete.
  void answerOfOtherTypeDoesNotEndText() {
    playBreak();
    for (const char *Body : {"", "{\"error\": \"busy\"}\n\n", "{}"})
      for (const char *Type : {"application/json", "text/plain"})
        CPPUNIT_ASSERT(playResponse({.Status = 200,
                                     .Headers = {{"Content-Type", Type}},
                                     .Body = Body}) ==
                       item_run_outcome::Broken);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), Text.Text);
  }

  void errorDoesNotEndText() {
    playBreak();
    for (const unsigned Status : {204U, 400U, 404U, 500U, 503U}) {
      http_response Response = events(event(2));
      Response.Status = Status;
      if (Status == 204)
        Response.Body.clear();
      CPPUNIT_ASSERT(playResponse(Response) != item_run_outcome::Complete);
      CPPUNIT_ASSERT_EQUAL(std::string("x"), Text.Text);
    }
  }

  void brokenOffResponseIsNotComplete() {
    for (const char *Rest : {"id: 2\ndata: x\n", "id: 2\n", "id: 2\ndata: x"}) {
      Text = {};
      CPPUNIT_ASSERT(playResponse(events(event(1) + Rest)) ==
                     item_run_outcome::Broken);
      CPPUNIT_ASSERT_EQUAL(std::string("x"), Text.Text);
    }
  }

  // Guards against memory that grows with a text that has no end.
  void tooLongTextIsDiscarded() {
    MaxTextBytes = 1000;
    std::string Body;
    for (uint64_t Number = 1; Number <= 500; ++Number)
      Body += event(Number, "");
    CPPUNIT_ASSERT(playResponse(events(Body)) == item_run_outcome::Complete);
    Text = {};
    for (uint64_t Number = 501; Number <= 1500; ++Number)
      Body += event(Number, "");
    CPPUNIT_ASSERT(playResponse(events(Body)) == item_run_outcome::Broken);
    CPPUNIT_ASSERT(Text.Text.empty());
    CPPUNIT_ASSERT(!Text.LastEvent);
  }

  void tooLargeEventEndsRun() {
    const std::string Line(event_parser::MaxEventBytes + 1, 'x');
    for (const std::string &Body : {event(1, Line), ": " + Line + "\n\n"}) {
      Text = {};
      CPPUNIT_ASSERT(playResponse(events(Body)) == item_run_outcome::Broken);
      CPPUNIT_ASSERT(Text.Text.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(item_run_test, "item_run_test");

} // namespace cardamom
