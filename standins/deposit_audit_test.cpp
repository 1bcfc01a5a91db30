#include "standins/deposit_audit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace standins {

class deposit_audit_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(deposit_audit_test);
  CPPUNIT_TEST(acceptsWhatFits);
  CPPUNIT_TEST(findsEachFault);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against false alarms for outcomes that the caller cannot know.
  void acceptsWhatFits() {
    deposit_audit Audit;
    Audit.claim("a", deposit_claim::Ran);
    Audit.claim("b", deposit_claim::NotRun);
    Audit.claim("c", deposit_claim::Unknown);
    Audit.claim("d", deposit_claim::Unknown);
    Audit.addRuns("a", 1);
    Audit.addRuns("d", 1);
    std::vector<std::string> Complaints;
    deposit_counts Counts = Audit.compare(Complaints);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), Counts.faults());
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Counts.UnknownThatRan);
    CPPUNIT_ASSERT(Complaints.empty());
  }

  // Guards against a broken promise that the audit does not report; runs of
  // one id on two services add up.
  void findsEachFault() {
    deposit_audit Audit;
    Audit.claim("twice", deposit_claim::Ran);
    Audit.claim("lost", deposit_claim::Ran);
    Audit.claim("secret", deposit_claim::NotRun);
    Audit.addRuns("twice", 1);
    Audit.addRuns("twice", 1);
    Audit.addRuns("secret", 1);
    std::vector<std::string> Complaints;
    deposit_counts Counts = Audit.compare(Complaints);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Counts.RanTwice);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Counts.Lost);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Counts.RanAfterNotRun);
    CPPUNIT_ASSERT_EQUAL(size_t(3), Complaints.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(deposit_audit_test, "deposit_audit_test");

} // namespace standins
