#include "policy/lease.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace cardamom {

namespace {

/// The lease object in the store, which accepts conditional writes only.
struct lease_object {
  pool_lease_record Record;
  bool write(pool_lease_record New) {
    if (New.Revision != Record.Revision)
      return false;
    New.Revision = Record.Revision + 1;
    Record = New;
    return true;
  }
};

/// A write that reaches the store with a delay.
struct delayed_write {
  time_point At;
  pool_lease_record Record;
};

} // namespace

class lease_promise_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(lease_promise_test);
  CPPUNIT_TEST(actsOnlyWithinLease);
  CPPUNIT_TEST(successorWaitsForFormerHolder);
  CPPUNIT_TEST(restartedHolderGetsNewToken);
  CPPUNIT_TEST(atMostOneActsInRandomHistories);
  CPPUNIT_TEST_SUITE_END();

  static time_point at(int Ms) { return time_point(milliseconds(Ms)); }
  static lease make(const std::string &Self, const std::string &Incarnation) {
    return lease({.Self = Self, .Incarnation = Incarnation, .Address = Self});
  }
  static bool write(lease_object &Object, lease &Lease, time_point SentAt,
                    time_point Now) {
    pool_lease_record Record = Lease.proposedRecord();
    if (!Object.write(Record))
      return false;
    Record.Revision = Object.Record.Revision;
    Lease.onWritten(Record, SentAt, Now);
    return true;
  }

public:
  // Guards against a holder that resumes after a pause and still sends orders.
  void actsOnlyWithinLease() {
    lease_object Object;
    lease Lease = make("a", "1");
    Lease.observeAbsent();
    CPPUNIT_ASSERT(Lease.mayAcquire(false));
    CPPUNIT_ASSERT(write(Object, Lease, at(0), at(10)));
    CPPUNIT_ASSERT(Lease.mayAct(at(2499)));
    CPPUNIT_ASSERT(!Lease.mayAct(at(2500)));
    CPPUNIT_ASSERT(Lease.shouldRenew(at(2000)));
    CPPUNIT_ASSERT(write(Object, Lease, at(2600), at(2610)));
    CPPUNIT_ASSERT(Lease.mayAct(at(2700)));
  }

  // Guards against orders from two holders within one lease duration.
  void successorWaitsForFormerHolder() {
    lease_object Object;
    lease First = make("a", "1");
    First.observeAbsent();
    write(Object, First, at(0), at(0));
    lease Second = make("b", "1");
    Second.observe(Object.Record, at(100));
    CPPUNIT_ASSERT(!Second.mayAcquire(false));
    CPPUNIT_ASSERT(Second.mayAcquire(/*HolderDown=*/true));
    CPPUNIT_ASSERT(write(Object, Second, at(200), at(200)));
    CPPUNIT_ASSERT(!Second.mayAct(at(2000)));
    CPPUNIT_ASSERT(write(Object, Second, at(3100), at(3200)));
    CPPUNIT_ASSERT(Second.mayAct(at(3200)));
    CPPUNIT_ASSERT(!write(Object, First, at(210), at(220)));
  }

  void restartedHolderGetsNewToken() {
    lease_object Object;
    lease First = make("a", "1");
    First.observeAbsent();
    write(Object, First, at(0), at(0));
    lease Restarted = make("a", "2");
    Restarted.observe(Object.Record, at(50));
    CPPUNIT_ASSERT(Restarted.mayAcquire(false));
    CPPUNIT_ASSERT(write(Object, Restarted, at(60), at(60)));
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Restarted.record().FencingToken);
    CPPUNIT_ASSERT(Restarted.mayAct(at(70)));
  }

  // Guards against two processes that act at the same time. Simulates random
  // histories of delayed writes with lost replies, rejected writes, pauses, and
  // holders wrongly considered down.
  void atMostOneActsInRandomHistories() {
    unsigned AcceptedWrites = 0;
    for (unsigned Seed = 1; Seed <= 300; ++Seed) {
      std::mt19937 Random(Seed);
      const auto Chance = [&](double P) {
        return std::uniform_real_distribution<>(0, 1)(Random) < P;
      };
      lease_object Object;
      std::vector<delayed_write> DelayedWrites;
      std::vector<lease> Processes = {make("a", "1"), make("b", "1"),
                                      make("c", "1")};
      std::vector<time_point> PausedUntil(Processes.size());
      std::map<uint64_t, size_t> HolderByToken;
      time_point Now = at(0);
      for (int Step = 0; Step < 400; ++Step) {
        Now += milliseconds(50);
        std::erase_if(DelayedWrites, [&](const delayed_write &Write) {
          if (Now < Write.At)
            return false;
          Object.write(Write.Record);
          return true;
        });
        size_t ActingCount = 0;
        for (size_t I = 0; I < Processes.size(); ++I) {
          lease &Process = Processes[I];
          if (Chance(0.01))
            PausedUntil[I] = Now + milliseconds(Random() % 5000);
          if (Now >= PausedUntil[I]) {
            if (Chance(0.3)) {
              if (Object.Record.Revision == 0)
                Process.observeAbsent();
              else
                Process.observe(Object.Record, Now);
            }
            const bool WantsWrite =
                Process.mayAcquire(/*HolderDown=*/Chance(0.05)) ||
                Process.shouldRenew(Now);
            if (WantsWrite && Chance(0.2))
              DelayedWrites.push_back(
                  {.At = Now + milliseconds(Random() % 6000),
                   .Record = Process.proposedRecord()});
            else if (WantsWrite)
              AcceptedWrites +=
                  write(Object, Process, Now - milliseconds(40), Now);
          }
          if (!Process.mayAct(Now))
            continue;
          ++ActingCount;
          const auto [It, New] =
              HolderByToken.try_emplace(Process.record().FencingToken, I);
          CPPUNIT_ASSERT_MESSAGE("two holders have the same fencing token",
                                 It->second == I);
        }
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed),
                               ActingCount <= 1);
      }
    }
    CPPUNIT_ASSERT(AcceptedWrites > 1000);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(lease_promise_test, "lease_promise_test");

} // namespace cardamom
