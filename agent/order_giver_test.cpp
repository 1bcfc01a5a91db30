#include "agent/weight_reconciler.h"

#include "agent/port_lock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

namespace {
/// Simulates an engine that checks fencing tokens, and the store's object
/// "fence/<upstream>".
struct engine_fixture {
  std::optional<engine_status> Status =
      engine_status{"m", 1, engine_state::Ready};
  std::vector<uint64_t> SentTokens;
  uint64_t HighestToken = 0;
  bool StoreUp = true;
  uint64_t StoreVersion = 4;
  time_point Now;
  weight_reconciler Reconciler{options()};

  weight_reconciler_options options() {
    weight_reconciler_options O;
    O.Upstream = "u";
    O.GetStatus = [this] { return Status; };
    O.SendOrder = [this](const weight_order &, uint64_t Token) {
      SentTokens.push_back(Token);
      if (Token < HighestToken)
        return order_result::StaleFencingToken;
      HighestToken = Token;
      return order_result::Accepted;
    };
    O.Get = [this](std::string_view) -> store_result {
      return {StoreUp ? store_status::Ok : store_status::Unavailable,
              StoreVersion, "", "", milliseconds(0)};
    };
    O.Put = [this](std::string_view, std::string_view,
                   uint64_t IfVersion) -> store_result {
      if (IfVersion != StoreVersion)
        return {store_status::Conflict, StoreVersion, "", "", milliseconds(0)};
      return {store_status::Ok, ++StoreVersion, "", "", milliseconds(0)};
    };
    return O;
  }
  void advance(int Ms) {
    for (int I = 0; I < Ms; I += 100) {
      Now += milliseconds(100);
      Reconciler.tick(Now);
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
  // Guards against an engine that stays without weights after a failed load,
  // against model calls to it meanwhile, and against orders that are repeated
  // without a delay.
  void retriesFailedLoadWithBackoff() {
    engine_fixture Fixture;
    Fixture.Reconciler.setChecksFence(false);
    Fixture.Reconciler.setTarget({"m", 2, "127.0.0.1:1"});
    Fixture.advance(100);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Fixture.SentTokens.size());
    Fixture.Status->State = engine_state::Loading;
    Fixture.advance(10000);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Fixture.SentTokens.size());
    CPPUNIT_ASSERT(Fixture.Reconciler.observed().Ready);
    Fixture.Status->State = engine_state::Failed;
    Fixture.advance(4000);
    CPPUNIT_ASSERT(!Fixture.Reconciler.observed().Ready);
    CPPUNIT_ASSERT_EQUAL(size_t(4), Fixture.SentTokens.size());
    Fixture.Status = engine_status{"m", 2, engine_state::Ready};
    Fixture.advance(10000);
    CPPUNIT_ASSERT(Fixture.Reconciler.observed().Ready);
    CPPUNIT_ASSERT_EQUAL(size_t(4), Fixture.SentTokens.size());
    Fixture.Status.reset();
    Fixture.advance(100);
    CPPUNIT_ASSERT(!Fixture.Reconciler.observed().Ready);
  }

  // Guards against orders without a fencing token to an engine that checks
  // tokens.
  void waitsForFencingToken() {
    engine_fixture Fixture;
    Fixture.StoreUp = false;
    Fixture.Reconciler.setTarget({"m", 2, "127.0.0.1:1"});
    Fixture.advance(1000);
    Fixture.Reconciler.setChecksFence(true);
    Fixture.advance(5000);
    CPPUNIT_ASSERT(Fixture.SentTokens.empty());
    Fixture.StoreUp = true;
    Fixture.advance(1000);
    CPPUNIT_ASSERT_EQUAL(uint64_t(5), Fixture.SentTokens.at(0));
  }

  // Guards against an agent whose orders are rejected forever after another
  // process has obtained a higher token.
  void renewsStaleFencingToken() {
    engine_fixture Fixture;
    Fixture.Reconciler.setChecksFence(true);
    Fixture.Reconciler.setTarget({"m", 2, "127.0.0.1:1"});
    Fixture.advance(100);
    Fixture.StoreVersion = 8;
    Fixture.HighestToken = 8;
    Fixture.advance(3000);
    CPPUNIT_ASSERT_EQUAL(uint64_t(9), Fixture.SentTokens.back());
  }

  // Guards against loading an older version when the known target is out of
  // date.
  void neverOrdersOlderVersion() {
    engine_fixture Fixture;
    Fixture.Reconciler.setChecksFence(false);
    Fixture.Status->Version = 3;
    Fixture.Reconciler.setTarget({"m", 2, "127.0.0.1:1"});
    Fixture.advance(5000);
    CPPUNIT_ASSERT(Fixture.SentTokens.empty());
  }

  // Guards against two agents that send orders to the same upstream.
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
