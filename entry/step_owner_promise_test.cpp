#include "entry/step_simulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <unistd.h>

namespace cardamom {

static volatile std::sig_atomic_t CurrentSeed = 0;

static void printSeed(int) {
  char Text[64];
  const int Length = std::snprintf(Text, sizeof(Text), "aborted at seed %d\n",
                                   int(CurrentSeed));
  (void)!write(STDERR_FILENO, Text, size_t(Length));
}

class step_owner_promise_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(step_owner_promise_test);
  CPPUNIT_TEST(deliversEverySampleOnceFreshAndWithVersions);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against lost, duplicate and stale samples and against wrong weight
  // versions, when owners crash, when they are paused for longer than their
  // lease and resume, and when responses of the store or the owner are lost. A
  // violated invariant aborts the process.
  void deliversEverySampleOnceFreshAndWithVersions() {
    static constexpr uint32_t Seeds = 100;
    std::signal(SIGABRT, printSeed);
    step_simulation::fault_counts Total;
    for (uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
      CurrentSeed = int(Seed);
      step_simulation Simulation(Seed);
      const std::string Failure = Simulation.run();
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed) + ": " + Failure,
                             Failure.empty());
      Total.Crashes += Simulation.Counts.Crashes;
      Total.Pauses += Simulation.Counts.Pauses;
      Total.Takeovers += Simulation.Counts.Takeovers;
      Total.LostReplies += Simulation.Counts.LostReplies;
      Total.Adopted += Simulation.Counts.Adopted;
      Total.Resumed += Simulation.Counts.Resumed;
    }
    std::signal(SIGABRT, SIG_DFL);
    std::cerr << "crashes " << Total.Crashes << ", pauses " << Total.Pauses
              << ", takeovers " << Total.Takeovers << ", lost replies "
              << Total.LostReplies << ", adopted runs " << Total.Adopted
              << ", resumed runs " << Total.Resumed << '\n';
    // The test proves nothing unless each fault occurs.
    CPPUNIT_ASSERT(Total.Crashes > 100 && Total.Pauses > 100 &&
                   Total.Takeovers > 100 && Total.LostReplies > 100 &&
                   Total.Adopted > 100 && Total.Resumed > 100);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(step_owner_promise_test,
                                      "step_owner_promise_test");

} // namespace cardamom
