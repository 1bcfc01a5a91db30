#include "policy/fleet_rank.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

class fleet_rank_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_rank_test);
  CPPUNIT_TEST(ranksLargeMembersFirst);
  CPPUNIT_TEST(distributesRoles);
  CPPUNIT_TEST(delayIncreasesWithRank);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<fleet_member> fleet(size_t Small, size_t Large) {
    std::vector<fleet_member> Members;
    for (size_t I = 0; I < Small + Large; ++I)
      Members.push_back({.Name = "gw-" + std::to_string(I),
                         .Address = {},
                         .Cores = I < Small ? 0.068 : 0.5});
    return Members;
  }

public:
  // Guards against running the scheduler of a whole fleet on a small VM: on one
  // with 0.068 cores it started jobs 2 s late.
  void ranksLargeMembersFirst() {
    const std::vector<fleet_member> Members = fleet(8, 3);
    const auto Ranked = rankMembers(Members, "pool");
    CPPUNIT_ASSERT_EQUAL(size_t(11), Ranked.size());
    for (size_t I = 0; I < Ranked.size(); ++I)
      CPPUNIT_ASSERT_EQUAL(I < 3 ? 0.5 : 0.068, Ranked[I]->Cores);
    CPPUNIT_ASSERT_EQUAL(0U, cpuClass(0.25, 0.5));
    CPPUNIT_ASSERT_EQUAL(1U, cpuClass(0.22, 0.5));
    CPPUNIT_ASSERT_EQUAL(2U, cpuClass(0.068, 0.5));
  }

  void distributesRoles() {
    const std::vector<fleet_member> Members = fleet(0, 8);
    std::vector<std::string> First;
    for (const char *Role : {"a", "b", "c", "d", "e", "f"})
      First.push_back(rankMembers(Members, Role).front()->Name);
    CPPUNIT_ASSERT(std::count(First.begin(), First.end(), First[0]) < 6);
  }

  void delayIncreasesWithRank() {
    CPPUNIT_ASSERT(takeoverDelay(0, 0.99) < takeoverDelay(1, 0));
    CPPUNIT_ASSERT(takeoverDelay(500, 0.5) < milliseconds(1000));
    CPPUNIT_ASSERT(rankMembers({}, "pool").empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(fleet_rank_test, "fleet_rank_test");

} // namespace cardamom
