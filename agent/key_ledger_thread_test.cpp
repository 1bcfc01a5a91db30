#include "agent/key_ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace cardamom {

class key_ledger_thread_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(key_ledger_thread_test);
  CPPUNIT_TEST(concurrentClaimsShareWrites);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a key that is granted to two threads, and against one store
  // write per claim.
  void concurrentClaimsShareWrites() {
    constexpr int Threads = 16;
    std::mutex Mutex;
    std::string Value;
    uint64_t Version = 0;
    std::atomic<int> Puts{0};
    key_ledger_options Options;
    Options.Agent = "a";
    Options.Get = [&](std::string_view) -> store_result {
      std::lock_guard Lock(Mutex);
      return {Version == 0 ? store_status::NotFound : store_status::Ok, Version,
              Value, "", milliseconds(0)};
    };
    Options.Put = [&](std::string_view, std::string_view New,
                      uint64_t) -> store_result {
      ++Puts;
      std::this_thread::sleep_for(milliseconds(20));
      std::lock_guard Lock(Mutex);
      Value = New;
      return {store_status::Ok, ++Version, "", "", milliseconds(0)};
    };
    Options.WallSeconds = [] { return int64_t(0); };
    key_ledger Ledger(Options);
    std::vector<std::string> Keys;
    for (int I = 0; Keys.size() < Threads / 2; ++I)
      if (key_ledger::shardOf({"/r", std::to_string(I), ""}) == 0)
        Keys.push_back(std::to_string(I));
    std::atomic<int> Granted{0};
    std::vector<std::thread> Workers(Threads);
    for (size_t I = 0; I < Threads; ++I)
      Workers[I] = std::thread([&, I] {
        const claim_result Result =
            Ledger.claim({"/r", Keys[I / 2], std::to_string(I)});
        Granted += Result.Status == claim_status::Granted ? 1 : 0;
      });
    for (std::thread &Worker : Workers)
      Worker.join();
    CPPUNIT_ASSERT_EQUAL(Threads / 2, Granted.load());
    CPPUNIT_ASSERT(Puts < Threads / 2);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(key_ledger_thread_test,
                                      "key_ledger_thread_test");

} // namespace cardamom
