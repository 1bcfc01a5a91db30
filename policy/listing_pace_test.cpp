#include "policy/listing_pace.h"

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
    listing_pace Pace({.Delay = Delay}, Groups, 2);
    CPPUNIT_ASSERT(Pace.onFinished("a") == Delay);
    CPPUNIT_ASSERT(Pace.onFinished("b") == Delay);
    CPPUNIT_ASSERT(Pace.onFinished("a") == Delay);
    CPPUNIT_ASSERT(Pace.onFinished("c") == Delay);
    CPPUNIT_ASSERT(Pace.onFinished("c") == AtOnce);
    CPPUNIT_ASSERT(Pace.onFinished("b") == AtOnce);
    CPPUNIT_ASSERT(Pace.onFinished("unknown") == Delay);
  }

  void allGroupsWithoutTarget() {
    const std::vector<std::string_view> Groups = {"a", "b"};
    listing_pace Pace({.Delay = Delay}, Groups, 0);
    CPPUNIT_ASSERT(Pace.onFinished("b") == Delay);
    CPPUNIT_ASSERT(Pace.onFinished("a") == AtOnce);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(listing_pace_test, "listing_pace_test");

} // namespace cardamom
