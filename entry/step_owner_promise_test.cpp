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
  CPPUNIT_TEST(everySampleExactlyOnceFreshAndLabelled);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against lost, doubled, stale and mislabelled samples when owners
  // crash, are paused beyond their lease and resume, and when answers of the
  // store and of the owner are lost. A broken invariant aborts.
  void everySampleExactlyOnceFreshAndLabelled() {
    static constexpr uint32_t Seeds = 100;
    std::signal(SIGABRT, printSeed);
    step_simulation::fault_counts Sum;
    for (uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
      CurrentSeed = int(Seed);
      step_simulation Simulation(Seed);
      const std::string Fault = Simulation.run();
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed) + ": " + Fault,
                             Fault.empty());
      Sum.Crashes += Simulation.Counts.Crashes;
      Sum.Pauses += Simulation.Counts.Pauses;
      Sum.Takeovers += Simulation.Counts.Takeovers;
      Sum.LostAnswers += Simulation.Counts.LostAnswers;
      Sum.Adopted += Simulation.Counts.Adopted;
      Sum.Resumed += Simulation.Counts.Resumed;
    }
    std::signal(SIGABRT, SIG_DFL);
    std::cerr << "crashes " << Sum.Crashes << ", pauses " << Sum.Pauses
              << ", takeovers " << Sum.Takeovers << ", lost answers "
              << Sum.LostAnswers << ", adopted runs " << Sum.Adopted
              << ", resumed runs " << Sum.Resumed << '\n';
    // The faults have to occur, or the test shows nothing.
    CPPUNIT_ASSERT(Sum.Crashes > 100 && Sum.Pauses > 100 &&
                   Sum.Takeovers > 100 && Sum.LostAnswers > 100 &&
                   Sum.Adopted > 100 && Sum.Resumed > 100);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(step_owner_promise_test,
                                      "step_owner_promise_test");

} // namespace cardamom
