#include "entry/rollout_tracker.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace cardamom {

class rollout_tracker_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(rollout_tracker_test);
  CPPUNIT_TEST(holdsUntilAllReplicasHaveLoaded);
  CPPUNIT_TEST(ignoresReplicasThatAreGone);
  CPPUNIT_TEST_SUITE_END();

  rollout_tracker Tracker;
  std::vector<upstream_view> Views;
  static constexpr hold_parameters Parameters{
      .IdleWeight = 0.3, .StalenessWeight = 0.7, .Slots = 8, .Samples = 16};

  static time_point at(int Seconds) {
    return time_point() + std::chrono::seconds(Seconds);
  }

  void observe(uint64_t Version, int Seconds) {
    Tracker.observe(Version, Views, at(Seconds));
  }

public:
  // Two versions published 60 s apart; the second one loads in 10 s.
  void setUp() override {
    Tracker = {};
    Views = {{.Name = "a", .Connected = true, .ObservedVersion = 1},
             {.Name = "b", .Connected = true, .ObservedVersion = 1}};
    Tracker.addSampleTime(milliseconds(5000));
    observe(1, 0);
    observe(2, 60);
    Views[0].ObservedVersion = Views[1].ObservedVersion = 2;
    observe(2, 70);
    CPPUNIT_ASSERT(Tracker.publishInterval() == milliseconds(60000));
    CPPUNIT_ASSERT(Tracker.loadTime() == milliseconds(10000));
  }

  // Guards against holding back new samples forever, which would block a
  // trainer when one of its replicas never loads the new version.
  void holdsUntilAllReplicasHaveLoaded() {
    CPPUNIT_ASSERT_EQUAL(uint64_t(0),
                         Tracker.requiredVersion(Parameters, at(80)));
    observe(3, 120);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3),
                         Tracker.requiredVersion(Parameters, at(121)));
    CPPUNIT_ASSERT_EQUAL(uint64_t(0),
                         Tracker.requiredVersion(Parameters, at(156)));
    Views[0].ObservedVersion = Views[1].ObservedVersion = 3;
    observe(3, 125);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0),
                         Tracker.requiredVersion(Parameters, at(125)));
  }

  // Guards against waiting for a replica whose VM has failed.
  void ignoresReplicasThatAreGone() {
    observe(3, 120);
    Views[0].ObservedVersion = 3;
    Views[1].Connected = false;
    observe(3, 122);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0),
                         Tracker.requiredVersion(Parameters, at(122)));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(rollout_tracker_test,
                                      "rollout_tracker_test");

} // namespace cardamom
