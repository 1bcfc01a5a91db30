#include "policy/call_plan.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

class call_plan_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(call_plan_test);
  CPPUNIT_TEST(sendsOverdueIdempotentCallToSecondReplica);
  CPPUNIT_TEST(neverRepeatsNonIdempotentCallThatMayHaveRun);
  CPPUNIT_TEST(repeatsNonIdempotentCallThatHasNotRun);
  CPPUNIT_TEST(keepsToMaxAttempts);
  CPPUNIT_TEST(reportsMayHaveRunAtDeadline);
  CPPUNIT_TEST_SUITE_END();

  static time_point at(int Ms) { return time_point(milliseconds(Ms)); }
  static call_plan plan(bool Idempotent, unsigned MaxAttempts) {
    return call_plan({.Idempotent = Idempotent,
                      .MaxAttempts = MaxAttempts,
                      .TargetLatency = milliseconds(100),
                      .ReceivedAt = at(0),
                      .Deadline = at(1000)});
  }

public:
  // Guards against a caller that waits for a hanging replica.
  void sendsOverdueIdempotentCallToSecondReplica() {
    call_plan Plan = plan(true, 2);
    CPPUNIT_ASSERT(Plan.nextStep(at(0)) == call_step::Send);
    Plan.onSent(at(0));
    CPPUNIT_ASSERT(Plan.nextStep(at(49)) == call_step::Wait);
    CPPUNIT_ASSERT(Plan.nextCheckAt() == at(50));
    CPPUNIT_ASSERT(Plan.nextStep(at(50)) == call_step::Send);
    Plan.onSent(at(50));
    CPPUNIT_ASSERT(Plan.nextStep(at(500)) == call_step::Wait);
  }

  // Guards against executing a non-idempotent call twice.
  void neverRepeatsNonIdempotentCallThatMayHaveRun() {
    call_plan Plan = plan(false, 3);
    Plan.onSent(at(0));
    CPPUNIT_ASSERT(Plan.nextStep(at(500)) == call_step::Wait);
    Plan.onFailed(attempt_failure::MayHaveRun);
    CPPUNIT_ASSERT(Plan.nextStep(at(501)) == call_step::GiveUp);
    CPPUNIT_ASSERT(Plan.certainty() == run_certainty::MayHaveRun);
  }

  void repeatsNonIdempotentCallThatHasNotRun() {
    call_plan Plan = plan(false, 2);
    Plan.onSent(at(0));
    Plan.onFailed(attempt_failure::NotRun);
    CPPUNIT_ASSERT(Plan.nextStep(at(1)) == call_step::Send);
    Plan.onSent(at(1));
    Plan.onFailed(attempt_failure::NotRun);
    CPPUNIT_ASSERT(Plan.nextStep(at(2)) == call_step::GiveUp);
    CPPUNIT_ASSERT(Plan.certainty() == run_certainty::NotRun);
  }

  void keepsToMaxAttempts() {
    call_plan Plan = plan(true, 1);
    Plan.onSent(at(0));
    CPPUNIT_ASSERT(Plan.nextStep(at(60)) == call_step::Wait);
    Plan.onFailed(attempt_failure::MayHaveRun);
    CPPUNIT_ASSERT(Plan.nextStep(at(61)) == call_step::GiveUp);
  }

  // Guards against reporting "not run" while a replica may still execute the
  // call.
  void reportsMayHaveRunAtDeadline() {
    call_plan Plan = plan(true, 2);
    CPPUNIT_ASSERT(Plan.certainty() == run_certainty::NotRun);
    Plan.onSent(at(0));
    CPPUNIT_ASSERT(Plan.nextStep(at(1000)) == call_step::GiveUp);
    CPPUNIT_ASSERT(Plan.certainty() == run_certainty::MayHaveRun);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(call_plan_test, "call_plan_test");

} // namespace cardamom
