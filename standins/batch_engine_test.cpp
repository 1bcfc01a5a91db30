#include "standins/batch_engine.h"
#include "standins/token_text.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace standins {

class batch_engine_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(batch_engine_test);
  CPPUNIT_TEST(givesEachSlotOneTokenAStep);
  CPPUNIT_TEST(admitsByPriorityThenArrival);
  CPPUNIT_TEST(resumedAnswerEqualsTheWhole);
  CPPUNIT_TEST(refusesForeignResume);
  CPPUNIT_TEST(cachedPrefixShortensTheStart);
  CPPUNIT_TEST(evictsLongestPrefixFirst);
  CPPUNIT_TEST(publishesCacheEventsLateWithGaps);
  CPPUNIT_TEST(swapChangesVersionInTheStream);
  CPPUNIT_TEST(failedSwapEndsStreams);
  CPPUNIT_TEST(checksFenceOnlyWhenAskedTo);
  CPPUNIT_TEST(slowReaderPausesItsRun);
  CPPUNIT_TEST(countsCutStreams);
  CPPUNIT_TEST(loadLags);
  CPPUNIT_TEST_SUITE_END();

  using json = nlohmann::json;
  using run_pointer = std::shared_ptr<token_run>;
  static constexpr time_point Start{std::chrono::hours(1)};

public:
  // Guards against a batch that serves more runs than the engine has slots.
  void givesEachSlotOneTokenAStep() {
    batch_engine Engine(fast(2));
    run_pointer A = begin(Engine, "a", 2), B = begin(Engine, "b", 2),
                C = begin(Engine, "c", 1);
    Engine.step(Start);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), A->Next);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), B->Next);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), C->Next);
    Engine.step(Start);
    Engine.step(Start);
    CPPUNIT_ASSERT(C->End == run_end::Done);
    CPPUNIT_ASSERT(Engine.idle());
    json Last = lines(*A).back();
    CPPUNIT_ASSERT_EQUAL(2, Last.at("tokens").get<int>());
    CPPUNIT_ASSERT(Last.at("done").get<bool>());
  }

  // Guards against a queue that ignores priorities or starves equal ones.
  void admitsByPriorityThenArrival() {
    batch_engine Engine(fast(1));
    run_pointer Low = begin(Engine, "low", 1, 2),
                High1 = begin(Engine, "high1", 1),
                High2 = begin(Engine, "high2", 1);
    Engine.step(Start);
    CPPUNIT_ASSERT(High1->End == run_end::Done);
    CPPUNIT_ASSERT(High2->End == run_end::Running);
    Engine.step(Start);
    CPPUNIT_ASSERT(High2->End == run_end::Done);
    CPPUNIT_ASSERT(Low->End == run_end::Running);
  }

  // Guards against checks of resumed answers that could never succeed.
  void resumedAnswerEqualsTheWhole() {
    batch_engine Engine(fast(1));
    generate_request Request{.Id = "a",
                             .Prompt = "p",
                             .MaxTokens = 10,
                             .ResumeText = answerText("p", 4),
                             .ResumeTokens = 4};
    run_pointer Run = Engine.start(Request, Start).Run;
    for (int I = 0; I < 6; ++I)
      Engine.step(Start);
    CPPUNIT_ASSERT(Run->End == run_end::Done);
    CPPUNIT_ASSERT_EQUAL(answerText("p", 10), Request.ResumeText + text(*Run));
  }

  // Guards against a caller that resumes with another request's text.
  void refusesForeignResume() {
    batch_engine Engine(fast(1));
    generate_request Request{.Id = "a",
                             .Prompt = "p",
                             .MaxTokens = 10,
                             .ResumeText = answerText("q", 4),
                             .ResumeTokens = 4};
    CPPUNIT_ASSERT(Engine.start(Request, Start).Refusal ==
                   start_refusal::BadResume);
    Request.ResumeText = answerText("p", 4);
    Request.ResumeTokens = uint64_t(1) << 60;
    CPPUNIT_ASSERT(Engine.start(Request, Start).Refusal ==
                   start_refusal::BadResume);
  }

  // Guards against an engine on which routing by prefix makes no difference.
  void cachedPrefixShortensTheStart() {
    batch_engine_options Options = fast(1);
    Options.PrefillMsPerToken = 1;
    batch_engine Engine(Options);
    std::string Prompt(640, 'x');
    run_pointer First = begin(Engine, "a", 1, 0, Prompt);
    Engine.step(Start);
    CPPUNIT_ASSERT(First->ReadyAt == Start + milliseconds(160));
    Engine.step(Start + milliseconds(160));
    CPPUNIT_ASSERT(First->End == run_end::Done);
    run_pointer Second = begin(Engine, "b", 1, 0, Prompt + std::string(8, 'y'));
    Engine.step(Start);
    CPPUNIT_ASSERT_EQUAL(uint64_t(160), Second->CachedTokens);
    CPPUNIT_ASSERT(Second->ReadyAt == Start + milliseconds(2));
  }

  // Guards against evicting a short prefix that a longer cached one needs.
  void evictsLongestPrefixFirst() {
    prefix_cache Cache({.MaxEntries = 3});
    auto Long = prefix_cache::prefixes(std::string(256, 'x'));
    Cache.store(Long, Start);
    CPPUNIT_ASSERT_EQUAL(size_t(3), Cache.size());
    CPPUNIT_ASSERT_EQUAL(size_t(3), Cache.countCached(Long));
    Cache.store(prefix_cache::prefixes(std::string(64, 'y')), Start);
    CPPUNIT_ASSERT_EQUAL(size_t(2), Cache.countCached(Long));
  }

  // Guards against a client that relies on complete or immediate events.
  void publishesCacheEventsLateWithGaps() {
    prefix_cache Cache(
        {.MaxEntries = 100, .EventLag = milliseconds(10), .EventGapEvery = 3});
    Cache.store(prefix_cache::prefixes(std::string(256, 'x')), Start);
    CPPUNIT_ASSERT(Cache.events(0, Start + milliseconds(9)).empty());
    auto Events = Cache.events(1, Start + milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(size_t(2), Events.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Events[0].Seq);
    CPPUNIT_ASSERT_EQUAL(uint64_t(4), Events[1].Seq);
  }

  // Guards against labels that could not show a swap during a sample.
  void swapChangesVersionInTheStream() {
    batch_engine Engine(fast(1));
    run_pointer Run = begin(Engine, "a", 2);
    load_order Order{.Model = "model", .Version = 2};
    CPPUNIT_ASSERT(Engine.orderLoad(Order));
    Engine.step(Start);
    CPPUNIT_ASSERT(Engine.state() == engine_state::Loading);
    Engine.finishLoad(Order, true, Start);
    Engine.step(Start);
    auto Lines = lines(*Run);
    CPPUNIT_ASSERT_EQUAL(1, Lines.at(0).at("version").get<int>());
    CPPUNIT_ASSERT_EQUAL(2, Lines.at(1).at("version").get<int>());
    CPPUNIT_ASSERT(Engine.state() == engine_state::Ready);
  }

  // Guards against a swap that fails without any sign.
  void failedSwapEndsStreams() {
    batch_engine Engine(fast(1));
    run_pointer Run = begin(Engine, "a", 5), Waits = begin(Engine, "b", 5);
    Engine.failNextSwap();
    load_order Order{.Model = "model", .Version = 2};
    Engine.orderLoad(Order);
    Engine.finishLoad(Order, true, Start);
    CPPUNIT_ASSERT(Engine.state() == engine_state::Failed);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Engine.version());
    CPPUNIT_ASSERT(Run->End == run_end::SwapFailed);
    CPPUNIT_ASSERT(Waits->End == run_end::SwapFailed);
    CPPUNIT_ASSERT(Engine.start({.Id = "c"}, Start).Refusal ==
                   start_refusal::Failed);
    Engine.orderLoad(Order);
    Engine.finishLoad(Order, true, Start);
    CPPUNIT_ASSERT(Engine.state() == engine_state::Ready);
  }

  // Guards against a former order giver that overrides the present one.
  void checksFenceOnlyWhenAskedTo() {
    batch_engine_options Options = fast(1);
    Options.ChecksFence = true;
    batch_engine Checks(Options), Ignores(fast(1));
    for (batch_engine *Engine : {&Checks, &Ignores})
      CPPUNIT_ASSERT(Engine->orderLoad({.Version = 2, .Fence = 5}));
    CPPUNIT_ASSERT(!Checks.orderLoad({.Version = 3, .Fence = 4}));
    CPPUNIT_ASSERT(Checks.orderLoad({.Version = 3, .Fence = 5}));
    CPPUNIT_ASSERT(Ignores.orderLoad({.Version = 3, .Fence = 4}));
    CPPUNIT_ASSERT_EQUAL(size_t(3), Checks.orders().size());
    CPPUNIT_ASSERT(!Checks.orders().at(1).Accepted);
  }

  // Guards against output that grows without bound when nobody reads.
  void slowReaderPausesItsRun() {
    batch_engine Engine(fast(1));
    run_pointer Run = begin(Engine, "a", 100'000);
    for (int I = 0; I < 10'000; ++I)
      Engine.step(Start);
    CPPUNIT_ASSERT(Run->Output.size() < size_t(70'000));
    uint64_t Paused = Run->Next;
    Run->Output.clear();
    Engine.step(Start);
    CPPUNIT_ASSERT_EQUAL(Paused + 1, Run->Next);
  }

  // Guards against an interrupted request that the test of a planned stop
  // does not see.
  void countsCutStreams() {
    batch_engine Engine(fast(4));
    run_pointer A = begin(Engine, "a", 9);
    begin(Engine, "b", 9);
    begin(Engine, "c", 9);
    CPPUNIT_ASSERT(Engine.start({.Id = "a"}, Start).Refusal ==
                   start_refusal::DuplicateId);
    Engine.step(Start);
    CPPUNIT_ASSERT(Engine.cancel("b"));
    CPPUNIT_ASSERT(!Engine.cancel("b"));
    Engine.disconnect(A);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Engine.cut());
    Engine.crash(Start);
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Engine.cut());
    CPPUNIT_ASSERT_EQUAL(size_t(3), Engine.runs().size());
  }

  // Guards against a router that is only tried with fresh load reports.
  void loadLags() {
    batch_engine_options Options = fast(1);
    Options.LoadLag = milliseconds(64);
    batch_engine Engine(Options);
    Engine.recordLoad(Start);
    begin(Engine, "a", 9);
    Engine.step(Start);
    Engine.recordLoad(Start + milliseconds(30));
    engine_load Load = Engine.load(Start + milliseconds(70));
    CPPUNIT_ASSERT_EQUAL(size_t(0), Load.Running);
    CPPUNIT_ASSERT_EQUAL(int64_t(70), int64_t(Load.Age.count()));
    CPPUNIT_ASSERT_EQUAL(size_t(1),
                         Engine.load(Start + milliseconds(100)).Running);
  }

private:
  static batch_engine_options fast(size_t Slots) {
    return {.Slots = Slots, .PrefillMsPerToken = 0};
  }

  static run_pointer begin(batch_engine &Engine, const std::string &Id,
                           uint64_t Tokens, int64_t Priority = 0,
                           const std::string &Prompt = "p") {
    return Engine
        .start({.Id = Id,
                .Prompt = Prompt,
                .MaxTokens = Tokens,
                .Priority = Priority},
               Start)
        .Run;
  }

  static std::vector<json> lines(const token_run &Run) {
    std::vector<json> Parsed;
    std::istringstream Stream(Run.Output);
    for (std::string Line; std::getline(Stream, Line);)
      Parsed.push_back(json::parse(Line));
    return Parsed;
  }

  static std::string text(const token_run &Run) {
    std::string Text;
    for (const json &Line : lines(Run))
      Text += Line.value("token", "");
    return Text;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(batch_engine_test, "batch_engine_test");

} // namespace standins
