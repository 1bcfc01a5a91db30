#include "agent/weight_reconciler.h"

#include "agent/port_lock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

namespace {
/// An engine that checks fencing tokens, and the store's fence object.
struct engine_world {
  std::optional<engine_status> Status =
      engine_status{"m", 1, engine_state::Ready};
  std::vector<uint64_t> Fences;
  uint64_t LastFence = 0;
  bool StoreUp = true;
  uint64_t StoreVersion = 4;
  time_point Now;
  weight_reconciler Giver{options()};

  weight_reconciler_options options() {
    weight_reconciler_options O;
    O.Upstream = "u";
    O.GetStatus = [this] { return Status; };
    O.SendOrder = [this](const weight_order &, uint64_t Fence) {
      Fences.push_back(Fence);
      if (Fence < LastFence)
        return order_result::StaleFencingToken;
      LastFence = Fence;
      return order_result::Accepted;
    };
    O.Get = [this](std::string_view) -> store_result {
      return {StoreUp ? store_status::Ok : store_status::Unavailable,
              StoreVersion, "", "", milliseconds(0)};
    };
    O.Put = [this](std::string_view, std::string_view,
                   uint64_t If) -> store_result {
      if (If != StoreVersion)
        return {store_status::Conflict, StoreVersion, "", "", milliseconds(0)};
      return {store_status::Ok, ++StoreVersion, "", "", milliseconds(0)};
    };
    return O;
  }
  void pass(int Ms) {
    for (int I = 0; I < Ms; I += 100) {
      Now += milliseconds(100);
      Giver.tick(Now);
    }
  }
};
} // namespace

class order_giver_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(order_giver_test);
  CPPUNIT_TEST(retriesFailedLoadWithBackoff);
  CPPUNIT_TEST(waitsForFencingToken);
  CPPUNIT_TEST(renewsStaleFencingToken);
  CPPUNIT_TEST(neverOrdersOlderVersion);
  CPPUNIT_TEST(portIsHeldUntilReleased);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an engine that stays without weights after a failed swap,
  // against work for it meanwhile, and against a flood of orders.
  void retriesFailedLoadWithBackoff() {
    engine_world World;
    World.Giver.setChecksFence(false);
    World.Giver.setTarget({"m", 2, "127.0.0.1:1"});
    World.pass(100);
    CPPUNIT_ASSERT_EQUAL(size_t(1), World.Fences.size());
    World.Status->State = engine_state::Loading;
    World.pass(10000);
    CPPUNIT_ASSERT_EQUAL(size_t(1), World.Fences.size());
    CPPUNIT_ASSERT(World.Giver.observed().Ready);
    World.Status->State = engine_state::Failed;
    World.pass(4000);
    CPPUNIT_ASSERT(!World.Giver.observed().Ready);
    CPPUNIT_ASSERT_EQUAL(size_t(4), World.Fences.size());
    World.Status = engine_status{"m", 2, engine_state::Ready};
    World.pass(10000);
    CPPUNIT_ASSERT(World.Giver.observed().Ready);
    CPPUNIT_ASSERT_EQUAL(size_t(4), World.Fences.size());
    World.Status.reset();
    World.pass(100);
    CPPUNIT_ASSERT(!World.Giver.observed().Ready);
  }

  // Guards against orders without a fencing token to an engine that checks.
  void waitsForFencingToken() {
    engine_world World;
    World.StoreUp = false;
    World.Giver.setTarget({"m", 2, "127.0.0.1:1"});
    World.pass(1000);
    World.Giver.setChecksFence(true);
    World.pass(5000);
    CPPUNIT_ASSERT(World.Fences.empty());
    World.StoreUp = true;
    World.pass(1000);
    CPPUNIT_ASSERT_EQUAL(uint64_t(5), World.Fences.at(0));
  }

  // Guards against an agent that can never order again after another process
  // took a higher token.
  void renewsStaleFencingToken() {
    engine_world World;
    World.Giver.setChecksFence(true);
    World.Giver.setTarget({"m", 2, "127.0.0.1:1"});
    World.pass(100);
    World.StoreVersion = 8;
    World.LastFence = 8;
    World.pass(3000);
    CPPUNIT_ASSERT_EQUAL(uint64_t(9), World.Fences.back());
  }

  // Guards against weights that go back when the known target lags behind.
  void neverOrdersOlderVersion() {
    engine_world World;
    World.Giver.setChecksFence(false);
    World.Status->Version = 3;
    World.Giver.setTarget({"m", 2, "127.0.0.1:1"});
    World.pass(5000);
    CPPUNIT_ASSERT(World.Fences.empty());
  }

  // Guards against two agents that give orders to one upstream.
  void portIsHeldUntilReleased() {
    std::atomic<bool> Stop{false};
    port_lock First;
    CPPUNIT_ASSERT(First.acquire(0, Stop));
    const uint16_t Port = First.port();
    std::atomic<bool> Acquired{false};
    std::thread Waiter([&] {
      port_lock Second;
      Acquired = Second.acquire(Port, Stop);
    });
    std::this_thread::sleep_for(milliseconds(250));
    CPPUNIT_ASSERT(!Acquired);
    First.release();
    Waiter.join();
    CPPUNIT_ASSERT(Acquired);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(order_giver_test, "order_giver_test");

} // namespace cardamom
