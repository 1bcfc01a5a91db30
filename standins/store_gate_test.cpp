#include "standins/store_gate.h"
#include "standins/vm_list.h"

#include <cppunit/extensions/HelperMacros.h>

namespace standins {

class store_gate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_gate_test);
  CPPUNIT_TEST(limitsReadsAndWritesSeparately);
  CPPUNIT_TEST(refusesInAnOutage);
  CPPUNIT_TEST(losesTheOrderedNumberOfAnswers);
  CPPUNIT_TEST(sharesTheRateExactly);
  CPPUNIT_TEST(vmListLags);
  CPPUNIT_TEST_SUITE_END();

  static constexpr time_point Start{std::chrono::hours(1)};

public:
  // Guards against a store that is faster than the platform's, which would
  // hide an excess of calls.
  void limitsReadsAndWritesSeparately() {
    store_gate Gate(2, 1);
    CPPUNIT_ASSERT(admits(Gate, store_call::Read, Start));
    CPPUNIT_ASSERT(admits(Gate, store_call::Watch, Start));
    CPPUNIT_ASSERT(!admits(Gate, store_call::Read, Start));
    CPPUNIT_ASSERT(admits(Gate, store_call::Write, Start));
    CPPUNIT_ASSERT(!admits(Gate, store_call::Write, Start));
    time_point Later = Start + milliseconds(500);
    CPPUNIT_ASSERT(admits(Gate, store_call::Read, Later));
    CPPUNIT_ASSERT(!admits(Gate, store_call::Write, Later));
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Gate.Counts.Reads);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Gate.Counts.Watches);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Gate.Counts.Refused);
  }

  // Guards against calls that take effect or use up the rate in an outage.
  void refusesInAnOutage() {
    store_gate Gate(1, 1);
    Gate.Outage = true;
    CPPUNIT_ASSERT(Gate.admit(store_call::Write, Start) ==
                   gate_decision::Outage);
    Gate.Outage = false;
    CPPUNIT_ASSERT(admits(Gate, store_call::Write, Start));
  }

  // Guards against lost answers that go on after the test ordered N.
  void losesTheOrderedNumberOfAnswers() {
    store_gate Gate(1, 1);
    Gate.LostAnswers = 2;
    CPPUNIT_ASSERT(Gate.takeLostAnswer());
    CPPUNIT_ASSERT(Gate.takeLostAnswer());
    CPPUNIT_ASSERT(!Gate.takeLostAnswer());
  }

  // Guards against a weight store that gives each reader the whole rate.
  void sharesTheRateExactly() {
    token_bucket Rate(1000, 0.1);
    CPPUNIT_ASSERT_EQUAL(80.0, Rate.takeUpTo(80, Start));
    CPPUNIT_ASSERT_EQUAL(20.0, Rate.takeUpTo(80, Start));
    CPPUNIT_ASSERT_EQUAL(0.0, Rate.takeUpTo(80, Start));
    CPPUNIT_ASSERT_EQUAL(50.0, Rate.takeUpTo(80, Start + milliseconds(50)));
    CPPUNIT_ASSERT_EQUAL(100.0, Rate.takeUpTo(500, Start + milliseconds(900)));
  }

  // Guards against a list that shows a change before its lag has passed.
  void vmListLags() {
    vm_list List;
    List.change("a", "live", Start);
    List.setLag(milliseconds(100));
    List.change("a", "leaving", Start);
    List.advance(Start + milliseconds(99));
    CPPUNIT_ASSERT_EQUAL(std::string("live"), List.vms().at("a"));
    uint64_t Version = List.version();
    List.advance(Start + milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"), List.vms().at("a"));
    CPPUNIT_ASSERT(List.version() > Version);
    List.change("a", "gone", Start + milliseconds(100));
    List.advance(Start + milliseconds(200));
    CPPUNIT_ASSERT(List.vms().empty());
  }

private:
  static bool admits(store_gate &Gate, store_call Call, time_point Now) {
    return Gate.admit(Call, Now) == gate_decision::Admit;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(store_gate_test, "store_gate_test");

} // namespace standins
