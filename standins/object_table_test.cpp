#include "standins/object_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace standins {

class object_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(object_table_test);
  CPPUNIT_TEST(writesOnlyAtTheExpectedVersion);
  CPPUNIT_TEST(neverReusesAVersion);
  CPPUNIT_TEST(boundsValueAndTotalSize);
  CPPUNIT_TEST(listsByPrefix);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against two conditional writes that both succeed at one version.
  void writesOnlyAtTheExpectedVersion() {
    object_table Table;
    write_result First = Table.put("k", "a", 0);
    CPPUNIT_ASSERT(First.Status == write_status::Ok);
    CPPUNIT_ASSERT(Table.put("k", "b", 0).Status == write_status::Conflict);
    CPPUNIT_ASSERT_EQUAL(First.Version, Table.put("k", "b", 99).Version);
    CPPUNIT_ASSERT(Table.put("k", "b", First.Version).Version > First.Version);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Table.get("k")->Value);
    CPPUNIT_ASSERT(Table.put("absent", "x", 1).Status ==
                   write_status::Conflict);
  }

  // Guards against a stale conditional write that succeeds after the object
  // was deleted and created again.
  void neverReusesAVersion() {
    object_table Table;
    uint64_t Old = Table.put("k", "a", 0).Version;
    CPPUNIT_ASSERT(Table.remove("k", Old + 1).Status == write_status::Conflict);
    CPPUNIT_ASSERT(Table.remove("k", Old).Status == write_status::Ok);
    CPPUNIT_ASSERT(Table.remove("k", Old).Status == write_status::NotFound);
    CPPUNIT_ASSERT(Table.put("k", "b", 0).Version > Old);
    CPPUNIT_ASSERT(Table.put("k", "c", Old).Status == write_status::Conflict);
  }

  // Guards against unbounded memory use.
  void boundsValueAndTotalSize() {
    object_table Table({.MaxValueBytes = 10, .MaxTotalBytes = 15 + 2 * 129});
    CPPUNIT_ASSERT(Table.put("a", std::string(11, 'x'), 0).Status ==
                   write_status::TooLarge);
    uint64_t A = Table.put("a", std::string(10, 'x'), 0).Version;
    CPPUNIT_ASSERT(Table.put("b", std::string(6, 'x'), 0).Status ==
                   write_status::TooLarge);
    CPPUNIT_ASSERT(Table.put("a", std::string(9, 'x'), A).Status ==
                   write_status::Ok);
    write_result B = Table.put("b", std::string(6, 'x'), 0);
    CPPUNIT_ASSERT(B.Status == write_status::Ok);
    CPPUNIT_ASSERT(Table.put("c", "", 0).Status == write_status::TooLarge);
    Table.remove("b", B.Version);
    CPPUNIT_ASSERT(Table.put("c", "", 0).Status == write_status::Ok);
  }

  // Guards against listing keys that do not start with the prefix.
  void listsByPrefix() {
    object_table Table;
    for (const char *Key : {"a", "ledger/1", "ledger/2", "ledgers"})
      Table.put(Key, "", 0);
    CPPUNIT_ASSERT_EQUAL(size_t(2), Table.list("ledger/").size());
    CPPUNIT_ASSERT_EQUAL(std::string("ledger/1"),
                         Table.list("ledger/").front().Key);
    CPPUNIT_ASSERT_EQUAL(size_t(4), Table.list("").size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(object_table_test, "object_table_test");

} // namespace standins
