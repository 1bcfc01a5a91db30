#include "agent/pause_guard.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

class pause_guard_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(pause_guard_test);
  CPPUNIT_TEST(refusesRunsAfterPause);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against runs that are admitted under a configuration that changed
  // while the process was paused, and against refusing runs forever.
  void refusesRunsAfterPause() {
    time_point Now;
    pause_guard Guard(Now);
    Now += milliseconds(2000);
    CPPUNIT_ASSERT(Guard.admits(Now));
    Guard.onTick(Now);
    Now += milliseconds(5000);
    CPPUNIT_ASSERT(!Guard.admits(Now));
    // A heartbeat that was buffered in the socket during the pause confirms
    // nothing.
    Guard.onPeerVersion(3, 3, Now + milliseconds(10));
    CPPUNIT_ASSERT(!Guard.admits(Now + milliseconds(10)));
    Guard.onPeerVersion(4, 3, Now + milliseconds(400));
    CPPUNIT_ASSERT(!Guard.admits(Now + milliseconds(400)));
    Guard.onPeerVersion(4, 4, Now + milliseconds(500));
    CPPUNIT_ASSERT(Guard.admits(Now + milliseconds(500)));
    Guard.onTick(Now + milliseconds(500));
    Now += milliseconds(9000);
    Guard.onTick(Now);
    Guard.onTick(Now + milliseconds(1000));
    CPPUNIT_ASSERT(!Guard.admits(Now + milliseconds(1000)));
    Guard.onTick(Now + milliseconds(2000));
    CPPUNIT_ASSERT(Guard.admits(Now + milliseconds(2000)));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(pause_guard_test, "pause_guard_test");

} // namespace cardamom
