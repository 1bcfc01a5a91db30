#include "config/config_holder.h"

#include "config/configuration.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>
#include <vector>

namespace cardamom {

static std::shared_ptr<const configuration>
makeConfiguration(uint64_t Version) {
  configuration Config;
  Config.Version = Version;
  return std::make_shared<const configuration>(std::move(Config));
}

class config_holder_thread_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(config_holder_thread_test);
  CPPUNIT_TEST(versionNeverDecreases);
  CPPUNIT_TEST(waitsForVersion);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a newer configuration that is replaced by an older one when
  // several threads install versions out of order.
  void versionNeverDecreases() {
    constexpr uint64_t Versions = 2000;
    config_holder Holder;
    std::vector<std::thread> Writers;
    for (uint64_t Start = 1; Start <= 3; ++Start)
      Writers.emplace_back([&Holder, Start] {
        for (uint64_t V = Start; V <= Versions; V += Start)
          Holder.install(makeConfiguration(V));
      });
    uint64_t LastVersion = 0;
    while (LastVersion < Versions) {
      const uint64_t Now = Holder.version();
      CPPUNIT_ASSERT(Now >= LastVersion);
      LastVersion = Now;
    }
    for (std::thread &Writer : Writers)
      Writer.join();
    CPPUNIT_ASSERT(!Holder.install(makeConfiguration(Versions)));
    CPPUNIT_ASSERT(!Holder.install(makeConfiguration(Versions - 1)));
    CPPUNIT_ASSERT(!Holder.install(nullptr));
    CPPUNIT_ASSERT_EQUAL(Versions, Holder.get()->Version);
  }

  // Guards against a lost wake-up: waitFor() must return when another thread
  // installs the version during the wait.
  void waitsForVersion() {
    config_holder Holder;
    CPPUNIT_ASSERT(Holder.get() == nullptr);
    CPPUNIT_ASSERT(Holder.waitFor(1, milliseconds(1)) == nullptr);
    std::thread Writer([&] {
      Holder.install(makeConfiguration(1));
      Holder.install(makeConfiguration(3));
    });
    const auto Config = Holder.waitFor(2, milliseconds(10000));
    Writer.join();
    CPPUNIT_ASSERT(Config != nullptr);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Config->Version);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(config_holder_thread_test,
                                      "config_holder_thread_test");

} // namespace cardamom
