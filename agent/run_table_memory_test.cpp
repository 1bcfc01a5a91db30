#include "agent/run_table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <malloc.h>

namespace cardamom {

class run_table_memory_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(run_table_memory_test);
  CPPUNIT_TEST(acknowledgedResponsesAreFreed);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against responses whose memory stays allocated after they were
  // dropped, which would break the memory limit of an agent. Under the address
  // sanitizer mallinfo2() reports nothing and the test cannot fail.
  void acknowledgedResponsesAreFreed() {
    constexpr size_t Runs = 200;
    const std::string Response(size_t(64) * 1024, 'x');
    run_table Table({});
    const size_t Before = mallinfo2().uordblks;
    for (size_t I = 0; I < Runs; ++I) {
      const std::string Id = "r" + std::to_string(I);
      Table.insert({.RequestId = Id, .Idempotent = true}, {});
      Table.start(Id);
      Table.append(Id, Response);
      Table.finish(Id, {}, {});
      Table.acknowledge(Id, {});
    }
    const size_t HeapGrowth = mallinfo2().uordblks - Before;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(HeapGrowth) +
                               " bytes are still allocated",
                           HeapGrowth < Runs * 4096);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(run_table_memory_test,
                                      "run_table_memory_test");

} // namespace cardamom
