#include "standins/step_checker.h"
#include "standins/token_text.h"

#include <cppunit/extensions/HelperMacros.h>

namespace standins {

class step_tally_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(step_tally_test);
  CPPUNIT_TEST(completesWithoutErrors);
  CPPUNIT_TEST(countsDuplicates);
  CPPUNIT_TEST(countsStaleSamples);
  CPPUNIT_TEST(countsMislabelledSamples);
  CPPUNIT_TEST_SUITE_END();

  step_plan Plan{.Step = 3,
                 .Version = 7,
                 .Groups = 2,
                 .SamplesPerGroup = 1,
                 .MaxTokens = 5};

public:
  // Guards against false alarms, and against an incomplete step that counts
  // as complete.
  void completesWithoutErrors() {
    step_checker Tally(Plan);
    CPPUNIT_ASSERT_EQUAL(std::string(), Tally.add(sample(Tally, 0, 6)));
    CPPUNIT_ASSERT(!Tally.complete());
    CPPUNIT_ASSERT_EQUAL(std::string(), Tally.add(sample(Tally, 1, 7)));
    CPPUNIT_ASSERT(Tally.complete());
    CPPUNIT_ASSERT_EQUAL(uint64_t(6), Tally.result().OldestVersion);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Tally.result().TotalAge);
  }

  // Guards against a second delivery that goes unseen.
  void countsDuplicates() {
    step_checker Tally(Plan);
    Tally.add(sample(Tally, 0, 7));
    CPPUNIT_ASSERT(!Tally.add(sample(Tally, 0, 7)).empty());
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Tally.result().Duplicates);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Tally.result().Samples);
  }

  // Guards against a sample below the staleness bound that goes unseen.
  void countsStaleSamples() {
    step_checker Tally(Plan);
    Tally.add(sample(Tally, 0, 5));
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Tally.result().Stale);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), Tally.result().Mislabelled);
  }

  // Guards against labels that leave out tokens, and against answers that
  // belong to another request.
  void countsMislabelledSamples() {
    step_checker Tally(Plan);
    drawn_sample Short = sample(Tally, 0, 7);
    --Short.Spans.back().Tokens;
    Tally.add(Short);
    drawn_sample Foreign = sample(Tally, 1, 7);
    Foreign.Text = sample(Tally, 0, 7).Text;
    Tally.add(Foreign);
    drawn_sample Unknown = sample(Tally, 0, 7);
    Unknown.Group = 9;
    Tally.add(Unknown);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Tally.result().Mislabelled);
  }

private:
  drawn_sample sample(const step_checker &Tally, uint64_t Group,
                      uint64_t Oldest) const {
    return {.Group = Group,
            .Index = 0,
            .Text = expectedCompletion(Tally.prompt(Group), Plan.MaxTokens),
            .Spans = {{Oldest, 2}, {Plan.Version, 3}}};
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(step_tally_test, "step_tally_test");

} // namespace standins
