#include "gateway/fleet_view.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace cardamom {

class fleet_view_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_view_test);
  CPPUNIT_TEST(ranksItselfAmongOthers);
  CPPUNIT_TEST(dropsMalformedEntries);
  CPPUNIT_TEST_SUITE_END();

  static nlohmann::json spec(const char *Address, double Cores) {
    return {{"address", Address}, {"cores", Cores}};
  }

public:
  void ranksItselfAmongOthers() {
    fleet_view Fleet({.Name = "a", .Address = "10.0.0.1:1", .Cores = 0.2});
    CPPUNIT_ASSERT_EQUAL(size_t(0), Fleet.rank("pool"));
    Fleet.update("a", spec("10.0.0.9:1", 8));
    Fleet.update("b", spec("10.0.0.2:1", 1));
    Fleet.update("c", spec("10.0.0.3:1", 0.05));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Fleet.rank("pool"));
    CPPUNIT_ASSERT_EQUAL(size_t(2), Fleet.others("pool").size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Fleet.others("pool").front().Name);
    CPPUNIT_ASSERT(Fleet.hasHigherCpuClass("b"));
    CPPUNIT_ASSERT(!Fleet.hasHigherCpuClass("c"));
    CPPUNIT_ASSERT(!Fleet.hasHigherCpuClass("unknown"));
    Fleet.remove("b");
    CPPUNIT_ASSERT_EQUAL(size_t(0), Fleet.rank("pool"));
  }

  void dropsMalformedEntries() {
    fleet_view Fleet({.Name = "a", .Address = "10.0.0.1:1"});
    Fleet.update("b", spec("10.0.0.2:1", 1));
    Fleet.update("b", "text");
    Fleet.update("c", {{"address", 7}});
    CPPUNIT_ASSERT_EQUAL(size_t(1), Fleet.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(fleet_view_test, "fleet_view_test");

} // namespace cardamom
