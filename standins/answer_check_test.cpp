#include "standins/answer_check.h"

#include <cppunit/extensions/HelperMacros.h>

namespace standins {

class answer_check_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answer_check_test);
  CPPUNIT_TEST(parsesAllCompletionFormats);
  CPPUNIT_TEST(parsesErrors);
  CPPUNIT_TEST(rejectsMismatchedAndTruncatedResponses);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a load run that reports a complete response as truncated.
  void parsesAllCompletionFormats() {
    std::string Expected = " ab cd";
    for (const char *Body :
         {"{\"token\":\" ab\",\"version\":1}\n{\"token\":\" cd\"}\n"
          "{\"done\":true,\"tokens\":2}\n",
          "data: {\"text\":\" ab\"}\n\ndata: {\"text\":\" cd\"}\n\n"
          "data: [DONE]\n\n",
          "data: {\"choices\":[{\"text\":\" ab cd\"}]}\n\n",
          "{\"choices\":[{\"text\":\" ab cd\"}]}", "{\"text\":\" ab cd\"}"})
      CPPUNIT_ASSERT_EQUAL(Expected, completionText(Body));
    CPPUNIT_ASSERT(completionText("{\"token\":\" ab\"}\n{\"tok") != Expected);
    CPPUNIT_ASSERT_EQUAL(std::string(), completionText(""));
  }

  // Guards against rejected requests that are reported without a reason.
  void parsesErrors() {
    const char *Body =
        "{\"error\":{\"reason\":\"queue_full\",\"retry_after_ms\":40}}";
    CPPUNIT_ASSERT_EQUAL(std::string("queue_full"), errorReason(Body));
    CPPUNIT_ASSERT_EQUAL(uint64_t(40), retryAfterMs(Body));
    CPPUNIT_ASSERT_EQUAL(
        std::string("engine_failed"),
        errorReason("data: {\"text\":\"x\"}\n\n"
                    "data: {\"error\":{\"reason\":\"engine_failed\"}}\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::string(), errorReason("bad gateway"));
  }

  // Guards against accepting the response to another request.
  void rejectsMismatchedAndTruncatedResponses() {
    const char *Body = "{\"path\":\"/a?token=t1\",\"key\":\"k1\"}";
    CPPUNIT_ASSERT(isPlainServiceResponse(Body, "t1", 10));
    CPPUNIT_ASSERT(!isPlainServiceResponse(Body, "t2", 10));
    CPPUNIT_ASSERT(!isPlainServiceResponse(Body, "t1", 1000));
    CPPUNIT_ASSERT(!isPlainServiceResponse("t1", "t1", 0));
    CPPUNIT_ASSERT(hasIdempotencyKey(Body, "k1"));
    CPPUNIT_ASSERT(!hasIdempotencyKey(Body, "k"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(answer_check_test, "answer_check_test");

} // namespace standins
