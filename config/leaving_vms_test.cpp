#include "config/leaving_vms.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>

namespace cardamom {

class leaving_vms_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(leaving_vms_test);
  CPPUNIT_TEST(namesLeavingVms);
  CPPUNIT_TEST(ignoresOddEntries);
  CPPUNIT_TEST(rejectsOtherDocuments);
  CPPUNIT_TEST_SUITE_END();

  static std::string entry(const std::string &Name, const std::string &State) {
    return R"({"vm":")" + Name + R"(","state":")" + State + "\"}";
  }
  static std::string list(const std::string &Entries) {
    return "{\"version\":4,\"vms\":[" + Entries + "]}";
  }

public:
  void namesLeavingVms() {
    const auto Leaving = parseLeavingVms(
        list(entry("vm1", "leaving") + "," + entry("vm2", "live")));
    CPPUNIT_ASSERT(Leaving == std::set<std::string>{"vm1"});
    CPPUNIT_ASSERT(parseLeavingVms(list("")).empty());
  }

  // Guards against one malformed entry that hides the VMs that leave.
  void ignoresOddEntries() {
    constexpr size_t Depth = 100000;
    std::string Deep(2 * Depth, '[');
    std::fill(Deep.begin() + Depth, Deep.end(), ']');
    std::string DeepMember = "{\"vm\":";
    DeepMember += Deep;
    DeepMember += '}';
    for (const std::string &Odd :
         {Deep, DeepMember, std::string(R"({"vm":"vm3","state":1e999})"),
          std::string(R"({"vm":7,"state":"leaving"})"),
          std::string(R"({"state":"leaving"})"), std::string("null"),
          std::string("\"\xff\"")}) {
      const auto Leaving = parseLeavingVms(list(
          entry("vm1", "leaving") + "," + Odd + "," + entry("vm2", "leaving")));
      CPPUNIT_ASSERT(Leaving == (std::set<std::string>{"vm1", "vm2"}));
    }
  }

  void rejectsOtherDocuments() {
    for (const char *Text : {"", "[]", "{}", "{\"vms\":{}}", "{\"vms\":[}"})
      CPPUNIT_ASSERT_THROW(parseLeavingVms(Text), std::invalid_argument);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(leaving_vms_test, "leaving_vms_test");

} // namespace cardamom
