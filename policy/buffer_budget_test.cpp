#include "policy/buffer_budget.h"
#include "policy/buffer_charge.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <vector>

namespace cardamom {

class buffer_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(buffer_budget_test);
  CPPUNIT_TEST(largeResponsesFailWhileTotalIsExceeded);
  CPPUNIT_TEST(totalIsBoundedForAnyResponses);
  CPPUNIT_TEST_SUITE_END();

  static std::shared_ptr<buffer_budget> makeBudget() {
    return std::make_shared<buffer_budget>(buffer_budget_options{
        .MaxTotalBytes = 1000, .MaxBytes = 800, .SmallBytes = 10});
  }

public:
  // Guards against large responses that take the memory of small ones.
  void largeResponsesFailWhileTotalIsExceeded() {
    const auto Budget = makeBudget();
    buffer_charge First(Budget);
    CPPUNIT_ASSERT(First.set(800));
    CPPUNIT_ASSERT(!First.set(801));
    CPPUNIT_ASSERT(First.set(800));
    {
      buffer_charge Second(Budget);
      CPPUNIT_ASSERT(Second.set(200));
      CPPUNIT_ASSERT(!Second.set(201));
      buffer_charge Small(Budget);
      CPPUNIT_ASSERT(Small.set(10));
      CPPUNIT_ASSERT(!Small.set(11));
    }
    CPPUNIT_ASSERT_EQUAL(size_t(800), Budget->totalBytes());
    CPPUNIT_ASSERT_EQUAL(size_t(1012), Budget->peakBytes());
  }

  // Guards against a total that grows with the number of responses beyond the
  // small part of each.
  void totalIsBoundedForAnyResponses() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto Budget = makeBudget();
      std::vector<std::unique_ptr<buffer_charge>> Charges(20);
      std::vector<size_t> Sizes(Charges.size(), 0);
      for (const auto &[Index, Part] :
           *rc::gen::container<std::vector<std::pair<size_t, size_t>>>(
               rc::gen::pair(rc::gen::inRange<size_t>(0, 20),
                             rc::gen::inRange<size_t>(1, 50)))) {
        if (!Charges[Index]) {
          Charges[Index] = std::make_unique<buffer_charge>(Budget);
          Sizes[Index] = 0;
        }
        Sizes[Index] += Part;
        // A response that must not go on is dropped with what it holds.
        if (!Charges[Index]->set(Sizes[Index]))
          Charges[Index].reset();
      }
      RC_ASSERT(Budget->totalBytes() <= 1000 + 20 * 10);
      RC_ASSERT(Budget->peakBytes() <= 1000 + 20 * 10 + 50);
    }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(buffer_budget_test, "buffer_budget_test");

} // namespace cardamom
