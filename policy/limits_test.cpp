#include "policy/retry_budget.h"
#include "policy/staleness.h"
#include "policy/straggler.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace cardamom {

class limits_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(limits_test);
  CPPUNIT_TEST(retriesStayWithinBudget);
  CPPUNIT_TEST(backoffStaysWithinBounds);
  CPPUNIT_TEST(stalenessMatchesDefinition);
  CPPUNIT_TEST(movesOnlyTheStraggler);
  CPPUNIT_TEST(leavesStragglerWithoutFasterUpstream);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against retries that amplify an overload.
  void retriesStayWithinBudget() {
    CPPUNIT_ASSERT(rc::check("retries <= capacity + 10% of requests",
                             [](const std::vector<bool> &Operations) {
                               retry_budget Budget(
                                   {.TokensPerSecond = 0, .Capacity = 5});
                               double Requests = 0;
                               double Retries = 0;
                               for (bool Request : Operations) {
                                 if (Request) {
                                   Budget.onRequest({});
                                   ++Requests;
                                 } else if (Budget.tryRetry({})) {
                                   ++Retries;
                                 }
                               }
                               RC_ASSERT(Retries <= 5 + 0.1 * Requests + 1e-6);
                             }));
  }

  // Guards against overflow at high retry numbers and against delays out of
  // bounds.
  void backoffStaysWithinBounds() {
    CPPUNIT_ASSERT(rc::check("bounds", [](unsigned Retry) {
      const double Random = *rc::gen::inRange(0, 1000) / 1000.0;
      retry_budget Budget({.Random = [=] { return Random; }});
      const milliseconds Delay = Budget.backoff(Retry);
      RC_ASSERT(Delay >= milliseconds(10));
      RC_ASSERT(Delay <= milliseconds(2000));
    }));
  }

  // Guards against wrap-around of the unsigned version difference.
  void stalenessMatchesDefinition() {
    CPPUNIT_ASSERT(rc::check(
        "staleness", [](uint32_t Oldest, uint32_t Trainer, uint8_t Bound) {
          RC_ASSERT(isDeliverable(Oldest, Trainer, Bound) ==
                    (int64_t(Trainer) - int64_t(Oldest) <= int64_t(Bound)));
          RC_ASSERT(isDeliverable(minDeliverableVersion(Trainer, Bound),
                                  Trainer, Bound));
        }));
    CPPUNIT_ASSERT(!willBeDeliverable({.OldestVersion = 3,
                                       .TrainerVersion = 4,
                                       .StalenessBound = 1,
                                       .Remaining = milliseconds(10),
                                       .UntilNextVersion = milliseconds(10),
                                       .VersionInterval = milliseconds(100)}));
    CPPUNIT_ASSERT(willBeDeliverable({.OldestVersion = 3,
                                      .TrainerVersion = 4,
                                      .StalenessBound = 1,
                                      .Remaining = milliseconds(9),
                                      .UntilNextVersion = milliseconds(10),
                                      .VersionInterval = milliseconds(100)}));
  }

  // Guards against a step that is delayed by one slow engine.
  void movesOnlyTheStraggler() {
    sample_progress Fast{.Tokens = 80,
                         .MaxTokens = 100,
                         .RunElapsed = milliseconds(4000),
                         .RunTokens = 80,
                         .BestAlternativeMs = 500};
    sample_progress Slow = Fast;
    Slow.Tokens = Slow.RunTokens = 20;
    Slow.BestAlternativeMs = 4000;
    const std::vector<sample_progress> Group = {Fast, Slow, Fast};
    const auto Found = straggler_finder({}).findStragglers(Group);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Found.size());
    CPPUNIT_ASSERT_EQUAL(size_t(1), Found[0]);
  }

  // Guards against moves that repeat work without finishing earlier.
  void leavesStragglerWithoutFasterUpstream() {
    const sample_progress Slow{.Tokens = 20,
                               .MaxTokens = 100,
                               .RunElapsed = milliseconds(4000),
                               .RunTokens = 20,
                               .BestAlternativeMs = 15000};
    sample_progress Fast = Slow;
    Fast.Tokens = Fast.RunTokens = 90;
    CPPUNIT_ASSERT(
        straggler_finder({}).findStragglers(std::vector{Fast, Slow}).empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(limits_test, "limits_test");

} // namespace cardamom
