#include "base/bounded_ring.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <thread>

namespace cardamom {

class bounded_ring_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(bounded_ring_test);
  CPPUNIT_TEST(refusesWhenFull);
  CPPUNIT_TEST(drainsAfterClose);
  CPPUNIT_TEST(keepsOrderAcrossThreads);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against unbounded growth under overload.
  void refusesWhenFull() {
    bounded_ring<std::unique_ptr<int>> Ring(2);
    CPPUNIT_ASSERT(Ring.tryPush(std::make_unique<int>(1)));
    CPPUNIT_ASSERT(Ring.tryPush(std::make_unique<int>(2)));
    auto Third = std::make_unique<int>(3);
    CPPUNIT_ASSERT(!Ring.tryPush(std::move(Third)));
    CPPUNIT_ASSERT(Third != nullptr);
  }

  // Guards against losing queued values when the ring is closed.
  void drainsAfterClose() {
    bounded_ring<int> Ring(4);
    CPPUNIT_ASSERT(Ring.push(7));
    Ring.close();
    CPPUNIT_ASSERT(!Ring.push(8));
    CPPUNIT_ASSERT_EQUAL(7, *Ring.pop(milliseconds(0)));
    CPPUNIT_ASSERT(!Ring.pop(milliseconds(0)).has_value());
  }

  // Guards against reordered or lost values when the indices wrap around.
  void keepsOrderAcrossThreads() {
    constexpr int Count = 10000;
    bounded_ring<int> Ring(3);
    std::thread Producer([&] {
      for (int I = 0; I < Count; ++I)
        Ring.push(int(I));
      Ring.close();
    });
    int Expected = 0;
    while (auto Value = Ring.pop(milliseconds(10000)))
      CPPUNIT_ASSERT_EQUAL(Expected++, *Value);
    Producer.join();
    CPPUNIT_ASSERT_EQUAL(Count, Expected);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(bounded_ring_test, "bounded_ring_test");

} // namespace cardamom
