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

  static bool evidenceProvesNotRun(const attempt_outcome &O) {
    const bool SameAgent =
        O.SentIncarnation != 0 && O.SentIncarnation == O.AnswerIncarnation;
    return O.Kind == outcome_kind::NeverSent ||
           O.Kind == outcome_kind::RefusedByAgent ||
           (O.Kind == outcome_kind::RefusedAfterAttach && SameAgent) ||
           (O.Kind == outcome_kind::NeverSeen && SameAgent &&
            O.AnswerEpoch > O.SentEpoch);
  }

public:
  // Guards against a caller that repeats a deposit because of a "not run" that
  // nobody can know. Exhaustive over kinds and orders of epochs and
  // incarnations.
  void notRunOnlyWithEvidence() {
    for (int Kind = 0; Kind <= int(LastOutcomeKind); ++Kind)
      for (unsigned Bits = 0; Bits < 81; ++Bits) {
        const attempt_outcome O{.Kind = outcome_kind(Kind),
                                .SentIncarnation = Bits % 3,
                                .SentEpoch = Bits / 3 % 3,
                                .AnswerIncarnation = Bits / 9 % 3,
                                .AnswerEpoch = Bits / 27,
                                .Reason = {},
                                .Message = {}};
        const verdict V = classify(O);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "kind " + std::to_string(Kind) + " case " + std::to_string(Bits),
            evidenceProvesNotRun(O), V.Certainty == run_certainty::NotRun);
        CPPUNIT_ASSERT_EQUAL(O.Kind == outcome_kind::Completed ||
                                 O.Kind == outcome_kind::AnswerGone ||
                                 O.Kind == outcome_kind::AnswerTooLarge,
                             V.Certainty == run_certainty::Ran);
        CPPUNIT_ASSERT(!V.Reason.empty());
      }
  }

  // Guards against a refused retry that turns "may have run" into "not run".
  void retryKeepsEarlierMayHaveRun() {
    const run_certainty All[] = {run_certainty::NotRun,
                                 run_certainty::MayHaveRun, run_certainty::Ran};
    for (run_certainty Earlier : All)
      for (run_certainty Latest : All) {
        const verdict V =
            combineVerdicts({.Certainty = Earlier}, {.Certainty = Latest});
        CPPUNIT_ASSERT_EQUAL(Earlier == run_certainty::NotRun &&
                                 Latest == run_certainty::NotRun,
                             V.Certainty == run_certainty::NotRun);
      }
  }

  // Guards against a second run of a non-idempotent request and against an
  // answer that is spliced from two runs.
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
