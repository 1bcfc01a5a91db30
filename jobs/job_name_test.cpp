#include "jobs/job.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace cardamom {

class job_name_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(job_name_test);
  CPPUNIT_TEST(namesOfOwnersAndIdsDiffer);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an id that names the job of another owner.
  void namesOfOwnersAndIdsDiffer() {
    const std::string Parts[] = {"",   "a",   "b",  "a:b", ":a",
                                 "a:", "a%b", "::", "%3A", "a%3Ab"};
    std::set<std::string> Names;
    size_t Pairs = 0;
    for (const std::string &Owner : Parts)
      for (const std::string &Id : Parts) {
        Names.insert(qualifiedJobId(Owner, Id));
        ++Pairs;
      }
    CPPUNIT_ASSERT_EQUAL(Pairs, Names.size());
    CPPUNIT_ASSERT_EQUAL(std::string("7c41e0"), qualifiedJobId("", "7c41e0"));
    CPPUNIT_ASSERT_EQUAL(std::string("north:7c41e0"),
                         qualifiedJobId("north", "7c41e0"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(job_name_test, "job_name_test");

} // namespace cardamom
