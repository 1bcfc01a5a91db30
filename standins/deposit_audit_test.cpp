#include "standins/deposit_audit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace standins {

class deposit_audit_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(deposit_audit_test);
  CPPUNIT_TEST(acceptsConsistentRuns);
  CPPUNIT_TEST(reportsEachViolation);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against false positives for outcomes that the client cannot know.
  void acceptsConsistentRuns() {
    deposit_audit Audit;
    Audit.recordOutcome("a", deposit_outcome::Ran);
    Audit.recordOutcome("b", deposit_outcome::NotRun);
    Audit.recordOutcome("c", deposit_outcome::Unknown);
    Audit.recordOutcome("d", deposit_outcome::Unknown);
    Audit.addRuns("a", 1);
    Audit.addRuns("d", 1);
    std::vector<std::string> Violations;
    deposit_counts Counts = Audit.compare(Violations);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), Counts.violations());
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Counts.UnknownThatRan);
    CPPUNIT_ASSERT(Violations.empty());
  }

  // Guards against violations that are not reported, including two runs of one
  // deposit on different services.
  void reportsEachViolation() {
    deposit_audit Audit;
    Audit.recordOutcome("twice", deposit_outcome::Ran);
    Audit.recordOutcome("lost", deposit_outcome::Ran);
    Audit.recordOutcome("secret", deposit_outcome::NotRun);
    Audit.addRuns("twice", 1);
    Audit.addRuns("twice", 1);
    Audit.addRuns("secret", 1);
    std::vector<std::string> Violations;
    deposit_counts Counts = Audit.compare(Violations);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Counts.RanTwice);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Counts.Lost);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Counts.RanAfterNotRun);
    CPPUNIT_ASSERT_EQUAL(size_t(3), Violations.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(deposit_audit_test, "deposit_audit_test");

} // namespace standins
