#include "policy/subset.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace cardamom {

class subset_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(subset_test);
  CPPUNIT_TEST(choosesAllOfSmallFleet);
  CPPUNIT_TEST(takesEvenlyFromDomains);
  CPPUNIT_TEST(changesLittleWhenAnAgentLeaves);
  CPPUNIT_TEST(leavesNoAgentWithoutEntries);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t Agents = 600;
  static constexpr size_t Domains = 6;
  std::vector<std::string> Names;
  std::vector<std::string> DomainNames;
  std::vector<subset_candidate> Candidates;

public:
  void setUp() override {
    Names.reserve(Agents);
    DomainNames.reserve(Domains);
    for (size_t I = 0; I < Domains; ++I)
      DomainNames.push_back("fd-" + std::to_string(I));
    for (size_t I = 0; I < Agents; ++I) {
      Names.push_back("agent-" + std::to_string(I));
      Candidates.push_back({Names[I], DomainNames[I % Domains]});
    }
  }

  void tearDown() override { Candidates.clear(); }

  // Guards against an agent of a small fleet to which no entry connects.
  void choosesAllOfSmallFleet() {
    const auto SmallFleet = std::span(Candidates).first(9);
    CPPUNIT_ASSERT_EQUAL(size_t(9), chooseSubset("e", SmallFleet, {}).size());
  }

  // Guards against an entry that loses all its agents with one failure domain.
  void takesEvenlyFromDomains() {
    const auto Chosen = chooseSubset("entry-1", Candidates, {.Size = 42});
    CPPUNIT_ASSERT_EQUAL(size_t(42), Chosen.size());
    std::vector<size_t> PerDomain(Domains);
    for (size_t Index : Chosen)
      ++PerDomain[Index % Domains];
    for (size_t Count : PerDomain)
      CPPUNIT_ASSERT_EQUAL(size_t(7), Count);
  }

  // Guards against reconnections across the fleet for each replaced VM.
  void changesLittleWhenAnAgentLeaves() {
    const auto Before = chooseSubset("entry-1", Candidates, {.Size = 42});
    const size_t Removed = Before[10];
    std::vector<subset_candidate> Rest = Candidates;
    Rest.erase(Rest.begin() + long(Removed));
    const auto After = chooseSubset("entry-1", Rest, {.Size = 42});
    size_t Kept = 0;
    for (size_t Index : After) {
      const size_t Old = Index < Removed ? Index : Index + 1;
      Kept += std::count(Before.begin(), Before.end(), Old);
    }
    CPPUNIT_ASSERT_EQUAL(size_t(41), Kept);
  }

  // Guards against agents that get neither requests nor configuration because
  // no entry has chosen them.
  void leavesNoAgentWithoutEntries() {
    std::vector<size_t> EntryCounts(Agents);
    for (size_t I = 0; I < 380; ++I)
      for (size_t Index :
           chooseSubset("entry-" + std::to_string(I), Candidates, {.Size = 40}))
        ++EntryCounts[Index];
    const auto [Least, Most] =
        std::minmax_element(EntryCounts.begin(), EntryCounts.end());
    // On average, 25.3 entries choose each agent. Fewer than 8 or more than 50
    // would mean that the choice is not random.
    CPPUNIT_ASSERT(*Least >= 8);
    CPPUNIT_ASSERT(*Most <= 50);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(subset_test, "subset_test");

} // namespace cardamom
