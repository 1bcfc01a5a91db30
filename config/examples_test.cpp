#include "config/configuration.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <set>
#include <sstream>

namespace cardamom {

static std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  CPPUNIT_ASSERT_MESSAGE(Path, File.good());
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

static configuration readExample(const std::string &Folder) {
  const std::string Csv = readFile("examples/" + Folder + "/inventory.csv");
  const std::string Json = readFile("examples/" + Folder + "/rules.json");
  return parseConfiguration({.InventoryCsv = Csv, .RulesJson = Json});
}

static size_t failureDomains(const configuration &Config) {
  std::set<std::string> Domains;
  for (const asset &Asset : Config.Assets)
    Domains.insert(Asset.FailureDomain);
  return Domains.size();
}

static size_t entries(const configuration &Config) {
  return size_t(std::count_if(
      Config.Assets.begin(), Config.Assets.end(),
      [](const asset &A) { return A.Kind == asset_kind::Entry; }));
}

class examples_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(examples_test);
  CPPUNIT_TEST(agenciaIsValid);
  CPPUNIT_TEST(tidewaterIsValid);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an example that is not valid in the current format, or that
  // lets deposits be retried.
  void agenciaIsValid() {
    const configuration C = readExample("agencia");
    CPPUNIT_ASSERT_EQUAL(size_t(4), failureDomains(C));
    CPPUNIT_ASSERT_EQUAL(size_t(3), entries(C));
    CPPUNIT_ASSERT_EQUAL(size_t(8),
                         C.assetsInPool(C.Trainers.at(1).Model).size());
    CPPUNIT_ASSERT_EQUAL(size_t(4), C.assetsInPool("counter").size());
    CPPUNIT_ASSERT(C.StalenessWeight > C.IdleWeight);
    const route_rule &Route = *C.findRoute("/counter/deposits");
    CPPUNIT_ASSERT(!isIdempotent(Route, "POST", "/counter/deposits"));
  }

  // Guards against an example that is not valid in the current format, or that
  // lets bookings be retried.
  void tidewaterIsValid() {
    const configuration C = readExample("tidewater");
    CPPUNIT_ASSERT_EQUAL(size_t(3), failureDomains(C));
    CPPUNIT_ASSERT_EQUAL(size_t(3), entries(C));
    CPPUNIT_ASSERT_EQUAL(size_t(9),
                         C.assetsInPool(C.Trainers.at(1).Model).size());
    CPPUNIT_ASSERT_EQUAL(size_t(3), C.assetsInPool("dispatch").size());
    CPPUNIT_ASSERT(C.IdleWeight > C.StalenessWeight);
    const route_rule &Route = *C.findRoute("/dispatch/bookings");
    CPPUNIT_ASSERT(!isIdempotent(Route, "POST", "/dispatch/bookings"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(examples_test, "examples_test");

} // namespace cardamom
