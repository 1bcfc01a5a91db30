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
  // Guards against an emulated store that allows higher rates than the
  // platform's store, which would hide excessive calls.
  void limitsReadsAndWritesSeparately() {
    store_admission Admission(2, 1);
    CPPUNIT_ASSERT(admits(Admission, store_call::Read, StartTime));
    CPPUNIT_ASSERT(admits(Admission, store_call::Watch, StartTime));
    CPPUNIT_ASSERT(!admits(Admission, store_call::Read, StartTime));
    CPPUNIT_ASSERT(admits(Admission, store_call::Write, StartTime));
    CPPUNIT_ASSERT(!admits(Admission, store_call::Write, StartTime));
    time_point Later = StartTime + milliseconds(500);
    CPPUNIT_ASSERT(admits(Admission, store_call::Read, Later));
    CPPUNIT_ASSERT(!admits(Admission, store_call::Write, Later));
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Admission.Counts.Reads);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Admission.Counts.Watches);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Admission.Counts.Refused);
  }

  // Guards against calls that are executed, or take rate limit tokens, during
  // an outage.
  void rejectsCallsDuringOutage() {
    store_admission Admission(1, 1);
    Admission.Outage = true;
    CPPUNIT_ASSERT(Admission.admit(store_call::Write, StartTime) ==
                   admission_decision::Outage);
    Admission.Outage = false;
    CPPUNIT_ASSERT(admits(Admission, store_call::Write, StartTime));
  }

  // Guards against dropping more responses than the test requested.
  void losesConfiguredNumberOfResponses() {
    store_admission Admission(1, 1);
    Admission.ResponsesToLose = 2;
    CPPUNIT_ASSERT(Admission.consumeLostResponse());
    CPPUNIT_ASSERT(Admission.consumeLostResponse());
    CPPUNIT_ASSERT(!Admission.consumeLostResponse());
  }

  // Guards against a weight store that grants each reader the full rate.
  void sharesOneRateAmongReaders() {
    token_bucket Rate(1000, 0.1);
    CPPUNIT_ASSERT_EQUAL(80.0, Rate.takeUpTo(80, StartTime));
    CPPUNIT_ASSERT_EQUAL(20.0, Rate.takeUpTo(80, StartTime));
    CPPUNIT_ASSERT_EQUAL(0.0, Rate.takeUpTo(80, StartTime));
    CPPUNIT_ASSERT_EQUAL(50.0, Rate.takeUpTo(80, StartTime + milliseconds(50)));
    CPPUNIT_ASSERT_EQUAL(100.0,
                         Rate.takeUpTo(500, StartTime + milliseconds(900)));
  }

  // Guards against a VM list that shows a change before its delay has passed.
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
  static bool admits(store_admission &Admission, store_call Call,
                     time_point Now) {
    return Admission.admit(Call, Now) == admission_decision::Admit;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(store_gate_test, "store_gate_test");

} // namespace standins
