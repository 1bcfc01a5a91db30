#include "entry/classify.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace cardamom {

class classify_promise_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(classify_promise_test);
  CPPUNIT_TEST(notRunOnlyWithEvidence);
  CPPUNIT_TEST(retryKeepsEarlierMayHaveRun);
  CPPUNIT_TEST(retriesOnlyWhenSafe);
  CPPUNIT_TEST_SUITE_END();

  static bool evidenceProvesNotRun(const attempt_outcome &Outcome) {
    const bool SameAgent = Outcome.SentIncarnation != 0 &&
                           Outcome.SentIncarnation == Outcome.AnswerIncarnation;
    return Outcome.Kind == outcome_kind::NeverSent ||
           Outcome.Kind == outcome_kind::RefusedByAgent ||
           (Outcome.Kind == outcome_kind::RefusedAfterAttach && SameAgent) ||
           (Outcome.Kind == outcome_kind::NeverSeen && SameAgent &&
            Outcome.AnswerEpoch > Outcome.SentEpoch);
  }

public:
  // Guards against an unproven not_run verdict, after which a caller repeats a
  // non-idempotent request that may have run. Covers all kinds and all orders
  // of epochs and incarnations.
  void notRunOnlyWithEvidence() {
    for (int Kind = 0; Kind <= int(LastOutcomeKind); ++Kind)
      for (unsigned Case = 0; Case < 81; ++Case) {
        const attempt_outcome Outcome{.Kind = outcome_kind(Kind),
                                      .SentIncarnation = Case % 3,
                                      .SentEpoch = Case / 3 % 3,
                                      .AnswerIncarnation = Case / 9 % 3,
                                      .AnswerEpoch = Case / 27,
                                      .Reason = {},
                                      .Message = {}};
        const verdict Verdict = classify(Outcome);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "kind " + std::to_string(Kind) + " case " + std::to_string(Case),
            evidenceProvesNotRun(Outcome),
            Verdict.Certainty == run_certainty::NotRun);
        CPPUNIT_ASSERT_EQUAL(Outcome.Kind == outcome_kind::Completed ||
                                 Outcome.Kind == outcome_kind::AnswerGone ||
                                 Outcome.Kind == outcome_kind::AnswerTooLarge,
                             Verdict.Certainty == run_certainty::Ran);
        CPPUNIT_ASSERT(!Verdict.Reason.empty());
      }
  }

  // Guards against a refused retry that changes "may have run" to "not run".
  void retryKeepsEarlierMayHaveRun() {
    const run_certainty All[] = {run_certainty::NotRun,
                                 run_certainty::MayHaveRun, run_certainty::Ran};
    for (run_certainty Earlier : All)
      for (run_certainty Latest : All) {
        const verdict Verdict =
            combineVerdicts({.Certainty = Earlier}, {.Certainty = Latest});
        CPPUNIT_ASSERT_EQUAL(Earlier == run_certainty::NotRun &&
                                 Latest == run_certainty::NotRun,
                             Verdict.Certainty == run_certainty::NotRun);
      }
  }

  // Guards against running a non-idempotent request twice and against a
  // response assembled from two runs.
  void retriesOnlyWhenSafe() {
    for (bool Idempotent : {false, true}) {
      CPPUNIT_ASSERT(mayRetry({run_certainty::NotRun, Idempotent, false}));
      CPPUNIT_ASSERT_EQUAL(
          Idempotent, mayRetry({run_certainty::MayHaveRun, Idempotent, false}));
      CPPUNIT_ASSERT(!mayRetry({run_certainty::MayHaveRun, Idempotent, true}));
      CPPUNIT_ASSERT(!mayRetry({run_certainty::Ran, Idempotent, false}));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(classify_promise_test,
                                      "classify_promise_test");

} // namespace cardamom
