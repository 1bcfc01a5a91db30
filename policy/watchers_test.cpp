#include "policy/watchers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace cardamom {

class watchers_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watchers_test);
  CPPUNIT_TEST(twoOfManyWatch);
  CPPUNIT_TEST(unlistedEntryWatches);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against store calls that grow with the fleet, and against a failure
  // domain without a watcher.
  void twoOfManyWatch() {
    std::vector<std::string> Names;
    Names.reserve(64);
    for (int I = 0; I < 64; ++I)
      Names.push_back("entry-" + std::to_string(I));
    const std::vector<std::string_view> Entries(Names.begin(), Names.end());
    size_t Watchers = 0;
    for (std::string_view Name : Entries)
      Watchers += isStoreWatcher(Name, Entries) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(WatchersPerDomain, Watchers);
  }

  // Guards against a new entry that gets no configuration before it is listed.
  void unlistedEntryWatches() { CPPUNIT_ASSERT(isStoreWatcher("new", {})); }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(watchers_test, "watchers_test");

} // namespace cardamom
