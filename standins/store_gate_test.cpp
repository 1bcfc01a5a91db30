#include "standins/store_admission.h"
#include "standins/vm_list.h"

#include <cppunit/extensions/HelperMacros.h>

namespace standins {

class store_gate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(store_gate_test);
  CPPUNIT_TEST(limitsReadsAndWritesSeparately);
  CPPUNIT_TEST(rejectsCallsDuringOutage);
  CPPUNIT_TEST(losesConfiguredNumberOfResponses);
  CPPUNIT_TEST(sharesOneRateAmongReaders);
  CPPUNIT_TEST(delaysVmListChanges);
  CPPUNIT_TEST_SUITE_END();

  static constexpr time_point StartTime{std::chrono::hours(1)};

public:
  // Guards against a store that is faster than the platform's, which would
  // hide an excess of calls.
  void limitsReadsAndWritesSeparately() {
    store_admission Gate(2, 1);
    CPPUNIT_ASSERT(admits(Gate, store_call::Read, StartTime));
    CPPUNIT_ASSERT(admits(Gate, store_call::Watch, StartTime));
    CPPUNIT_ASSERT(!admits(Gate, store_call::Read, StartTime));
    CPPUNIT_ASSERT(admits(Gate, store_call::Write, StartTime));
    CPPUNIT_ASSERT(!admits(Gate, store_call::Write, StartTime));
    time_point Later = StartTime + milliseconds(500);
    CPPUNIT_ASSERT(admits(Gate, store_call::Read, Later));
    CPPUNIT_ASSERT(!admits(Gate, store_call::Write, Later));
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Gate.Counts.Reads);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Gate.Counts.Watches);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Gate.Counts.Refused);
  }

  // Guards against calls that take effect or use up the rate in an outage.
  void rejectsCallsDuringOutage() {
    store_admission Gate(1, 1);
    Gate.Outage = true;
    CPPUNIT_ASSERT(Gate.admit(store_call::Write, StartTime) ==
                   admission_decision::Outage);
    Gate.Outage = false;
    CPPUNIT_ASSERT(admits(Gate, store_call::Write, StartTime));
  }

  // Guards against lost answers that go on after the test ordered N.
  void losesConfiguredNumberOfResponses() {
    store_admission Gate(1, 1);
    Gate.ResponsesToLose = 2;
    CPPUNIT_ASSERT(Gate.consumeLostResponse());
    CPPUNIT_ASSERT(Gate.consumeLostResponse());
    CPPUNIT_ASSERT(!Gate.consumeLostResponse());
  }

  // Guards against a weight store that gives each reader the whole rate.
  void sharesOneRateAmongReaders() {
    token_bucket Rate(1000, 0.1);
    CPPUNIT_ASSERT_EQUAL(80.0, Rate.takeUpTo(80, StartTime));
    CPPUNIT_ASSERT_EQUAL(20.0, Rate.takeUpTo(80, StartTime));
    CPPUNIT_ASSERT_EQUAL(0.0, Rate.takeUpTo(80, StartTime));
    CPPUNIT_ASSERT_EQUAL(50.0, Rate.takeUpTo(80, StartTime + milliseconds(50)));
    CPPUNIT_ASSERT_EQUAL(100.0,
                         Rate.takeUpTo(500, StartTime + milliseconds(900)));
  }

  // Guards against a list that shows a change before its lag has passed.
  void delaysVmListChanges() {
    vm_list List;
    List.scheduleChange("a", "live", StartTime);
    List.setDelay(milliseconds(100));
    List.scheduleChange("a", "leaving", StartTime);
    List.publishDueChanges(StartTime + milliseconds(99));
    CPPUNIT_ASSERT_EQUAL(std::string("live"), List.vms().at("a"));
    uint64_t Version = List.version();
    List.publishDueChanges(StartTime + milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::string("leaving"), List.vms().at("a"));
    CPPUNIT_ASSERT(List.version() > Version);
    List.scheduleChange("a", "gone", StartTime + milliseconds(100));
    List.publishDueChanges(StartTime + milliseconds(200));
    CPPUNIT_ASSERT(List.vms().empty());
  }

private:
  static bool admits(store_admission &Gate, store_call Call, time_point Now) {
    return Gate.admit(Call, Now) == admission_decision::Admit;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(store_gate_test, "store_gate_test");

} // namespace standins
