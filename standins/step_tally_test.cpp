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
  // Guards against false positives, and against treating an incomplete step as
  // complete.
  void completesWithoutErrors() {
    step_checker Checker(Plan);
    CPPUNIT_ASSERT_EQUAL(std::string(), Checker.add(sample(Checker, 0, 6)));
    CPPUNIT_ASSERT(!Checker.complete());
    CPPUNIT_ASSERT_EQUAL(std::string(), Checker.add(sample(Checker, 1, 7)));
    CPPUNIT_ASSERT(Checker.complete());
    CPPUNIT_ASSERT_EQUAL(uint64_t(6), Checker.result().OldestVersion);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Checker.result().TotalAge);
  }

  // Guards against undetected duplicate delivery.
  void countsDuplicates() {
    step_checker Checker(Plan);
    Checker.add(sample(Checker, 0, 7));
    CPPUNIT_ASSERT(!Checker.add(sample(Checker, 0, 7)).empty());
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Checker.result().Duplicates);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Checker.result().Samples);
  }

  // Guards against undetected samples that exceed the staleness bound.
  void countsStaleSamples() {
    step_checker Checker(Plan);
    Checker.add(sample(Checker, 0, 5));
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Checker.result().Stale);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), Checker.result().Mislabelled);
  }

  // Guards against undetected version labels that leave out tokens, texts of
  // another prompt, and samples that do not belong to the step.
  void countsMislabelledSamples() {
    step_checker Checker(Plan);
    drawn_sample MissingLabel = sample(Checker, 0, 7);
    --MissingLabel.Spans.back().Tokens;
    Checker.add(MissingLabel);
    drawn_sample OtherPrompt = sample(Checker, 1, 7);
    OtherPrompt.Text = sample(Checker, 0, 7).Text;
    Checker.add(OtherPrompt);
    drawn_sample Unknown = sample(Checker, 0, 7);
    Unknown.Group = 9;
    Checker.add(Unknown);
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), Checker.result().Mislabelled);
  }

private:
  drawn_sample sample(const step_checker &Checker, uint64_t Group,
                      uint64_t OldestVersion) const {
    return {.Group = Group,
            .Index = 0,
            .Text = expectedCompletion(Checker.prompt(Group), Plan.MaxTokens),
            .Spans = {{OldestVersion, 2}, {Plan.Version, 3}}};
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(step_tally_test, "step_tally_test");

} // namespace standins
