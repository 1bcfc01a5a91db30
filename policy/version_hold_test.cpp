#include "policy/version_hold.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

class version_hold_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(version_hold_test);
  CPPUNIT_TEST(followsConfiguredCosts);
  CPPUNIT_TEST(startsAtOnceWhileTimesAreUnknown);
  CPPUNIT_TEST_SUITE_END();

  static version_hold_input input(double Idle, double Staleness) {
    return {.IdleWeight = Idle,
            .StalenessWeight = Staleness,
            .PublishInterval = milliseconds(10000),
            .LoadTime = milliseconds(10000),
            .SampleTime = milliseconds(10000),
            .Slots = 36,
            .Samples = 64};
  }

public:
  // Guards against one rule for all deployments. With a new version every 10 s,
  // version_hold_bench measured a cost of 2.42 for waiting and 2.75 for
  // starting at once with idle/staleness weights of 0.3/0.7, and 4.32 and 3.85
  // with 0.7/0.3.
  void followsConfiguredCosts() {
    CPPUNIT_ASSERT(shouldWaitForNewestWeights(input(0.3, 0.7)));
    CPPUNIT_ASSERT(!shouldWaitForNewestWeights(input(0.7, 0.3)));
  }

  // Guards against delaying the first step before any roll-out has been
  // observed.
  void startsAtOnceWhileTimesAreUnknown() {
    version_hold_input Input = input(0.3, 0.7);
    Input.PublishInterval = milliseconds(0);
    CPPUNIT_ASSERT(!shouldWaitForNewestWeights(Input));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(version_hold_test, "version_hold_test");

} // namespace cardamom
