#include "policy/result_batch_delay.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace cardamom {

class listing_pace_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(listing_pace_test);
  CPPUNIT_TEST(lastGroupWaitedForIsListedAtOnce);
  CPPUNIT_TEST(allGroupsWithoutTarget);
  CPPUNIT_TEST_SUITE_END();

  const milliseconds AtOnce{0};
  const milliseconds Delay{100};

public:
  // Guards against a trainer that is idle while its last group waits for
  // others to be written with.
  void lastGroupWaitedForIsListedAtOnce() {
    const std::vector<std::string_view> Groups = {"a", "a", "b", "b", "c", "c"};
    result_batch_delay Pace({.MaxDelay = Delay}, Groups, 2);
    CPPUNIT_ASSERT(Pace.onItemFinished("a") == Delay);
    CPPUNIT_ASSERT(Pace.onItemFinished("b") == Delay);
    CPPUNIT_ASSERT(Pace.onItemFinished("a") == Delay);
    CPPUNIT_ASSERT(Pace.onItemFinished("c") == Delay);
    CPPUNIT_ASSERT(Pace.onItemFinished("c") == AtOnce);
    CPPUNIT_ASSERT(Pace.onItemFinished("b") == AtOnce);
    CPPUNIT_ASSERT(Pace.onItemFinished("unknown") == Delay);
  }

  void allGroupsWithoutTarget() {
    const std::vector<std::string_view> Groups = {"a", "b"};
    result_batch_delay Pace({.MaxDelay = Delay}, Groups, 0);
    CPPUNIT_ASSERT(Pace.onItemFinished("b") == Delay);
    CPPUNIT_ASSERT(Pace.onItemFinished("a") == AtOnce);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(listing_pace_test, "listing_pace_test");

} // namespace cardamom
