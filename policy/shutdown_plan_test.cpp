#include "policy/shutdown_plan.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace cardamom {

class shutdown_plan_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(shutdown_plan_test);
  CPPUNIT_TEST(acceptsEverythingWhileStillInRotation);
  CPPUNIT_TEST(rejectsWhatMayOutlastTheProcess);
  CPPUNIT_TEST(acceptedRequestsEndBeforeTheProcess);
  CPPUNIT_TEST(phasesFollowInOrder);
  CPPUNIT_TEST(shortStopTimeoutEndsEverything);
  CPPUNIT_TEST_SUITE_END();

  static time_point at(int Ms) { return time_point(milliseconds(Ms)); }

public:
  // Guards against rejections while a balancer still has to send requests here.
  void acceptsEverythingWhileStillInRotation() {
    const shutdown_plan Plan({.StoppedAt = at(1000)});
    CPPUNIT_ASSERT(Plan.accepts(at(1000), std::nullopt));
    CPPUNIT_ASSERT(Plan.accepts(at(3499), milliseconds(60000)));
    CPPUNIT_ASSERT(!Plan.accepts(at(3500), milliseconds(60000)));
  }

  // Guards against requests that are accepted late in the stop, passed on, and
  // cut at its end (review/4).
  void rejectsWhatMayOutlastTheProcess() {
    const shutdown_plan Plan({.StoppedAt = at(0)});
    CPPUNIT_ASSERT(!Plan.accepts(at(3000), milliseconds(10000)));
    CPPUNIT_ASSERT(!Plan.accepts(at(3000), std::nullopt));
    CPPUNIT_ASSERT(Plan.accepts(at(3000), milliseconds(1500)));
    CPPUNIT_ASSERT(Plan.accepts(at(6000), milliseconds(1300)));
    CPPUNIT_ASSERT(!Plan.accepts(at(6000), milliseconds(1301)));
  }

  // Guards against a time limit that ends after the responses to unfinished
  // requests are written, for any settings.
  void acceptedRequestsEndBeforeTheProcess() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto Drain = milliseconds(*rc::gen::inRange(0, 10000));
      const auto Stop = milliseconds(*rc::gen::inRange(0, 20000));
      const auto Received = milliseconds(*rc::gen::inRange(0, 25000));
      const auto Limit = milliseconds(*rc::gen::inRange(0, 25000));
      const shutdown_plan Plan(
          {.StoppedAt = at(0), .DrainNotice = Drain, .StopTimeout = Stop});
      const time_point End = time_point(Received + Limit);
      if (Received >= Drain && Plan.accepts(time_point(Received), Limit))
        RC_ASSERT(!Plan.answersUnfinished(End - milliseconds(1)));
      if (Received >= Drain)
        RC_ASSERT(!Plan.accepts(time_point(Received), std::nullopt));
    }));
  }

  void phasesFollowInOrder() {
    const shutdown_plan Plan({.StoppedAt = at(0)});
    CPPUNIT_ASSERT(!Plan.isOver(at(2999), /*Idle=*/true));
    CPPUNIT_ASSERT(!Plan.drainsConnections(at(2999)));
    CPPUNIT_ASSERT(Plan.drainsConnections(at(3000)));
    CPPUNIT_ASSERT(Plan.isOver(at(3000), /*Idle=*/true));
    CPPUNIT_ASSERT(!Plan.refusesConnections(at(3749)));
    CPPUNIT_ASSERT(Plan.refusesConnections(at(3750)));
    CPPUNIT_ASSERT(!Plan.answersUnfinished(at(7299)));
    CPPUNIT_ASSERT(Plan.answersUnfinished(at(7300)));
    CPPUNIT_ASSERT(!Plan.isOver(at(7499), /*Idle=*/false));
    CPPUNIT_ASSERT(Plan.isOver(at(7500), /*Idle=*/false));
  }

  // Guards against settings that leave the process without an end.
  void shortStopTimeoutEndsEverything() {
    const shutdown_plan Plan({.StoppedAt = at(0),
                              .DrainNotice = milliseconds(3000),
                              .StopTimeout = milliseconds(0)});
    CPPUNIT_ASSERT(Plan.answersUnfinished(at(0)));
    CPPUNIT_ASSERT(Plan.isOver(at(0), /*Idle=*/false));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(shutdown_plan_test, "shutdown_plan_test");

} // namespace cardamom
