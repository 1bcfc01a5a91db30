#include "policy/stream_plan.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

class stream_plan_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_plan_test);
  CPPUNIT_TEST(resumesAfterLastEvent);
  CPPUNIT_TEST(abortsNonResumableStream);
  CPPUNIT_TEST(repeatsRequestThatHasNotRun);
  CPPUNIT_TEST(rejectsEventsOutOfOrder);
  CPPUNIT_TEST(detectsOverdueStream);
  CPPUNIT_TEST(continuesAfterTheEventThatTheCallerHas);
  CPPUNIT_TEST(slowStreamMayPauseAsLongAsItsCallerWaits);
  CPPUNIT_TEST_SUITE_END();

  static time_point at(int Ms) { return time_point(milliseconds(Ms)); }
  static stream_plan plan(bool Resumable) {
    return stream_plan({.Resumable = Resumable,
                        .MaxAttempts = 2,
                        .FirstEventDeadline = at(1000)});
  }

public:
  void resumesAfterLastEvent() {
    stream_plan Plan = plan(true);
    Plan.onSent();
    CPPUNIT_ASSERT(Plan.onEvent(1, at(10)));
    CPPUNIT_ASSERT(Plan.onEvent(2, at(20)));
    CPPUNIT_ASSERT(Plan.onEnded(stream_attempt_end::Broken, at(1500)) ==
                   stream_step::Send);
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), *Plan.lastEvent());
    Plan.onSent();
    CPPUNIT_ASSERT(Plan.onEvent(3, at(1600)));
    CPPUNIT_ASSERT(Plan.onEnded(stream_attempt_end::Complete, at(1700)) ==
                   stream_step::Finish);
  }

  void continuesAfterTheEventThatTheCallerHas() {
    stream_plan Plan({.Resumable = true, .ResumeAfterEvent = 5});
    CPPUNIT_ASSERT(!Plan.onEvent(1, at(10)));
    CPPUNIT_ASSERT(Plan.onEvent(6, at(10)));
  }

  // Guards against a slow but sound stream that is cut.
  void slowStreamMayPauseAsLongAsItsCallerWaits() {
    CPPUNIT_ASSERT(maxEventGap(false, milliseconds(400)) == milliseconds(2000));
    CPPUNIT_ASSERT(maxEventGap(false, milliseconds(900)) == milliseconds(3600));
    CPPUNIT_ASSERT(maxEventGap(true, milliseconds(900)) == milliseconds(2000));
  }

  // Guards against a response that consists of parts of two runs.
  void abortsNonResumableStream() {
    stream_plan Plan = plan(false);
    Plan.onSent();
    Plan.onEvent(1, at(10));
    CPPUNIT_ASSERT(Plan.onEnded(stream_attempt_end::Broken, at(20)) ==
                   stream_step::Abort);
    stream_plan Early = plan(false);
    Early.onSent();
    CPPUNIT_ASSERT(Early.onEnded(stream_attempt_end::Broken, at(20)) ==
                   stream_step::GiveUp);
    CPPUNIT_ASSERT(Early.certainty() == run_certainty::MayHaveRun);
  }

  void repeatsRequestThatHasNotRun() {
    stream_plan Plan = plan(false);
    Plan.onSent();
    CPPUNIT_ASSERT(Plan.onEnded(stream_attempt_end::NotRun, at(20)) ==
                   stream_step::Send);
    Plan.onSent();
    CPPUNIT_ASSERT(Plan.onEnded(stream_attempt_end::NotRun, at(30)) ==
                   stream_step::GiveUp);
    CPPUNIT_ASSERT(Plan.certainty() == run_certainty::NotRun);
  }

  void rejectsEventsOutOfOrder() {
    stream_plan Plan = plan(true);
    CPPUNIT_ASSERT(Plan.onEvent(4, at(1)));
    CPPUNIT_ASSERT(!Plan.onEvent(6, at(2)));
    CPPUNIT_ASSERT(!Plan.onEvent(4, at(2)));
    CPPUNIT_ASSERT(!Plan.onEvent(std::nullopt, at(2)));
  }

  void detectsOverdueStream() {
    stream_plan Plan = plan(true);
    CPPUNIT_ASSERT(!Plan.isOverdue(at(999)));
    CPPUNIT_ASSERT(Plan.isOverdue(at(1000)));
    Plan.onEvent(1, at(500));
    CPPUNIT_ASSERT(!Plan.isOverdue(at(2499)));
    CPPUNIT_ASSERT(Plan.isOverdue(at(2500)));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(stream_plan_test, "stream_plan_test");

} // namespace cardamom
