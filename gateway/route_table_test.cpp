#include "gateway/route_table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <random>

namespace cardamom {

class route_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(route_table_test);
  CPPUNIT_TEST(matchesLongestPrefixOfHost);
  CPPUNIT_TEST(agreesWithLinearSearch);
  CPPUNIT_TEST_SUITE_END();

  static route make(const std::string &Host, const std::string &Prefix) {
    route Route;
    Route.Name = Host + Prefix;
    Route.Host = Host;
    Route.PathPrefix = Prefix;
    return Route;
  }

public:
  void matchesLongestPrefixOfHost() {
    const std::vector<route> Routes = {make("a", "/x/"), make("a", "/x/y/"),
                                       make("b", "/")};
    const route_table Table(Routes);
    CPPUNIT_ASSERT_EQUAL(std::string("a/x/y/"),
                         Table.match("A:80", "/x/y/z")->Name);
    CPPUNIT_ASSERT_EQUAL(std::string("a/x/"), Table.match("a", "/x/y")->Name);
    CPPUNIT_ASSERT(!Table.match("a", "/x"));
    CPPUNIT_ASSERT(!Table.match("c", "/x/"));
    CPPUNIT_ASSERT_EQUAL(std::string("b/"), Table.match("b", "/q")->Name);
  }

  // Compares the lookup by path segments with a linear search over all routes,
  // for random routes and paths.
  void agreesWithLinearSearch() {
    std::mt19937 Random(7);
    const auto RandomPath = [&](bool EndsWithSlash) {
      std::string Path = "/";
      for (unsigned I = 0, Count = Random() % 4; I < Count; ++I)
        Path += std::string(1, char('a' + Random() % 2)) + "/";
      if (!EndsWithSlash && Random() % 2 == 0)
        Path += "end";
      return Path;
    };
    for (int Round = 0; Round < 200; ++Round) {
      std::vector<route> Routes;
      Routes.reserve(6);
      for (int I = 0; I < 6; ++I)
        Routes.push_back(make("h", RandomPath(true)));
      const route_table Table(Routes);
      const std::string Path = RandomPath(false);
      std::optional<std::string> Expected;
      for (const route &Route : Routes)
        if (Path.starts_with(Route.PathPrefix) &&
            (!Expected || Route.PathPrefix.size() > Expected->size()))
          Expected = Route.PathPrefix;
      const route *Found = Table.match("h", Path);
      CPPUNIT_ASSERT_EQUAL(Expected.has_value(), Found != nullptr);
      if (Found)
        CPPUNIT_ASSERT_EQUAL(*Expected, Found->PathPrefix);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(route_table_test, "route_table_test");

} // namespace cardamom
