#include "policy/result_batch_delay.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace cardamom {

class listing_pace_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(listing_pace_test);
  CPPUNIT_TEST(listsLastRequiredGroupImmediately);
  CPPUNIT_TEST(requiresAllGroupsWithoutTarget);
  CPPUNIT_TEST_SUITE_END();

  const milliseconds NoDelay{0};
  const milliseconds MaxDelay{100};

public:
  // Guards against a trainer that is idle while the last result of the last
  // group that it waits for is held back for a batch.
  void listsLastRequiredGroupImmediately() {
    const std::vector<std::string_view> Groups = {"a", "a", "b", "b", "c", "c"};
    result_batch_delay BatchDelay({.MaxDelay = MaxDelay}, Groups, 2);
    CPPUNIT_ASSERT(BatchDelay.onItemFinished("a") == MaxDelay);
    CPPUNIT_ASSERT(BatchDelay.onItemFinished("b") == MaxDelay);
    CPPUNIT_ASSERT(BatchDelay.onItemFinished("a") == MaxDelay);
    CPPUNIT_ASSERT(BatchDelay.onItemFinished("c") == MaxDelay);
    CPPUNIT_ASSERT(BatchDelay.onItemFinished("c") == NoDelay);
    CPPUNIT_ASSERT(BatchDelay.onItemFinished("b") == NoDelay);
    CPPUNIT_ASSERT(BatchDelay.onItemFinished("unknown") == MaxDelay);
  }

  void requiresAllGroupsWithoutTarget() {
    const std::vector<std::string_view> Groups = {"a", "b"};
    result_batch_delay BatchDelay({.MaxDelay = MaxDelay}, Groups, 0);
    CPPUNIT_ASSERT(BatchDelay.onItemFinished("b") == MaxDelay);
    CPPUNIT_ASSERT(BatchDelay.onItemFinished("a") == NoDelay);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(listing_pace_test, "listing_pace_test");

} // namespace cardamom
