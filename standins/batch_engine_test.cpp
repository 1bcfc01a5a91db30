#include "standins/batch_engine.h"
#include "standins/token_text.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace standins {

class batch_engine_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(batch_engine_test);
  CPPUNIT_TEST(emitsOneTokenPerSlotAndStep);
  CPPUNIT_TEST(admitsByPriorityThenArrival);
  CPPUNIT_TEST(resumedOutputEqualsUninterrupted);
  CPPUNIT_TEST(rejectsResumeTextOfOtherPrompt);
  CPPUNIT_TEST(cachedPrefixShortensPrefill);
  CPPUNIT_TEST(evictsLongestPrefixFirst);
  CPPUNIT_TEST(delaysAndDropsCacheEvents);
  CPPUNIT_TEST(swapChangesVersionInTheStream);
  CPPUNIT_TEST(failedSwapEndsStreams);
  CPPUNIT_TEST(checksFencingTokenOnlyIfConfigured);
  CPPUNIT_TEST(slowReaderPausesItsRun);
  CPPUNIT_TEST(countsInterruptedStreams);
  CPPUNIT_TEST(delaysLoadReports);
  CPPUNIT_TEST_SUITE_END();

  using json = nlohmann::json;
  using run_pointer = std::shared_ptr<token_run>;
  static constexpr time_point StartTime{std::chrono::hours(1)};

public:
  // Guards against batching more runs than the engine has slots.
  void emitsOneTokenPerSlotAndStep() {
    batch_engine Engine(optionsWithoutPrefill(2));
    run_pointer A = startRun(Engine, "a", 2), B = startRun(Engine, "b", 2),
                C = startRun(Engine, "c", 1);
    Engine.step(StartTime);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), A->NextPosition);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), B->NextPosition);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), C->NextPosition);
    Engine.step(StartTime);
    Engine.step(StartTime);
    CPPUNIT_ASSERT(C->State == run_state::Done);
    CPPUNIT_ASSERT(Engine.idle());
    json Last = parseOutput(*A).back();
    CPPUNIT_ASSERT_EQUAL(2, Last.at("tokens").get<int>());
    CPPUNIT_ASSERT(Last.at("done").get<bool>());
  }

  // Guards against a queue that ignores priorities, or reorders runs of equal
  // priority.
  void admitsByPriorityThenArrival() {
    batch_engine Engine(optionsWithoutPrefill(1));
    run_pointer Low = startRun(Engine, "low", 1, 2),
                High1 = startRun(Engine, "high1", 1),
                High2 = startRun(Engine, "high2", 1);
    Engine.step(StartTime);
    CPPUNIT_ASSERT(High1->State == run_state::Done);
    CPPUNIT_ASSERT(High2->State == run_state::Running);
    Engine.step(StartTime);
    CPPUNIT_ASSERT(High2->State == run_state::Done);
    CPPUNIT_ASSERT(Low->State == run_state::Running);
  }

  // Guards against a resumed stream whose text differs from an uninterrupted
  // one, which would fail every test of resumption.
  void resumedOutputEqualsUninterrupted() {
    batch_engine Engine(optionsWithoutPrefill(1));
    generate_request Request{.Id = "a",
                             .Prompt = "p",
                             .MaxTokens = 10,
                             .ResumeText = expectedCompletion("p", 4),
                             .ResumeTokens = 4};
    run_pointer Run = Engine.start(Request, StartTime).Run;
    for (int I = 0; I < 6; ++I)
      Engine.step(StartTime);
    CPPUNIT_ASSERT(Run->State == run_state::Done);
    CPPUNIT_ASSERT_EQUAL(expectedCompletion("p", 10),
                         Request.ResumeText + outputText(*Run));
  }

  // Guards against accepting the partial response of another request, or a
  // resume_tokens that does not match its text.
  void rejectsResumeTextOfOtherPrompt() {
    batch_engine Engine(optionsWithoutPrefill(1));
    generate_request Request{.Id = "a",
                             .Prompt = "p",
                             .MaxTokens = 10,
                             .ResumeText = expectedCompletion("q", 4),
                             .ResumeTokens = 4};
    CPPUNIT_ASSERT(Engine.start(Request, StartTime).Error ==
                   start_error::BadResume);
    Request.ResumeText = expectedCompletion("p", 4);
    Request.ResumeTokens = uint64_t(1) << 60;
    CPPUNIT_ASSERT(Engine.start(Request, StartTime).Error ==
                   start_error::BadResume);
  }

  // Guards against an engine on which prefix-aware routing has no effect.
  void cachedPrefixShortensPrefill() {
    batch_engine_options Options = optionsWithoutPrefill(1);
    Options.PrefillMsPerToken = 1;
    batch_engine Engine(Options);
    std::string Prompt(640, 'x');
    run_pointer First = startRun(Engine, "a", 1, 0, Prompt);
    Engine.step(StartTime);
    CPPUNIT_ASSERT(First->PrefillDoneAt == StartTime + milliseconds(160));
    Engine.step(StartTime + milliseconds(160));
    CPPUNIT_ASSERT(First->State == run_state::Done);
    run_pointer Second =
        startRun(Engine, "b", 1, 0, Prompt + std::string(8, 'y'));
    Engine.step(StartTime);
    CPPUNIT_ASSERT_EQUAL(uint64_t(160), Second->CachedTokens);
    CPPUNIT_ASSERT(Second->PrefillDoneAt == StartTime + milliseconds(2));
  }

  // Guards against evicting a short prefix while a longer prefix that extends
  // it stays cached.
  void evictsLongestPrefixFirst() {
    prefix_cache Cache({.MaxEntries = 3});
    auto Long = prefix_cache::prefixHashes(std::string(256, 'x'));
    Cache.insert(Long, StartTime);
    CPPUNIT_ASSERT_EQUAL(size_t(3), Cache.size());
    CPPUNIT_ASSERT_EQUAL(size_t(3), Cache.countCached(Long));
    Cache.insert(prefix_cache::prefixHashes(std::string(64, 'y')), StartTime);
    CPPUNIT_ASSERT_EQUAL(size_t(2), Cache.countCached(Long));
  }

  // Guards against an emulator whose events are complete and immediate, which
  // would hide clients that depend on that.
  void delaysAndDropsCacheEvents() {
    prefix_cache Cache({.MaxEntries = 100,
                        .EventDelay = milliseconds(10),
                        .EventDropInterval = 3});
    Cache.insert(prefix_cache::prefixHashes(std::string(256, 'x')), StartTime);
    CPPUNIT_ASSERT(Cache.events(0, StartTime + milliseconds(9)).empty());
    auto Events = Cache.events(1, StartTime + milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(size_t(2), Events.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Events[0].Seq);
    CPPUNIT_ASSERT_EQUAL(uint64_t(4), Events[1].Seq);
  }

  // Guards against version labels that do not show a weight swap in the middle
  // of a sample.
  void swapChangesVersionInTheStream() {
    batch_engine Engine(optionsWithoutPrefill(1));
    run_pointer Run = startRun(Engine, "a", 2);
    weight_load_order Order{.Model = "model", .Version = 2};
    CPPUNIT_ASSERT(Engine.orderWeightLoad(Order));
    Engine.step(StartTime);
    CPPUNIT_ASSERT(Engine.state() == engine_state::Loading);
    Engine.finishWeightLoad(Order, true, StartTime);
    Engine.step(StartTime);
    auto Lines = parseOutput(*Run);
    CPPUNIT_ASSERT_EQUAL(1, Lines.at(0).at("version").get<int>());
    CPPUNIT_ASSERT_EQUAL(2, Lines.at(1).at("version").get<int>());
    CPPUNIT_ASSERT(Engine.state() == engine_state::Ready);
  }

  // Guards against a failed swap that clients cannot observe.
  void failedSwapEndsStreams() {
    batch_engine Engine(optionsWithoutPrefill(1));
    run_pointer Run = startRun(Engine, "a", 5),
                WaitingRun = startRun(Engine, "b", 5);
    Engine.failNextSwap();
    weight_load_order Order{.Model = "model", .Version = 2};
    Engine.orderWeightLoad(Order);
    Engine.finishWeightLoad(Order, true, StartTime);
    CPPUNIT_ASSERT(Engine.state() == engine_state::Failed);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Engine.version());
    CPPUNIT_ASSERT(Run->State == run_state::SwapFailed);
    CPPUNIT_ASSERT(WaitingRun->State == run_state::SwapFailed);
    CPPUNIT_ASSERT(Engine.start({.Id = "c"}, StartTime).Error ==
                   start_error::Failed);
    Engine.orderWeightLoad(Order);
    Engine.finishWeightLoad(Order, true, StartTime);
    CPPUNIT_ASSERT(Engine.state() == engine_state::Ready);
  }

  // Guards against orders with a stale fencing token, from an agent that was
  // replaced.
  void checksFencingTokenOnlyIfConfigured() {
    batch_engine_options Options = optionsWithoutPrefill(1);
    Options.ChecksFence = true;
    batch_engine CheckingEngine(Options),
        IgnoringEngine(optionsWithoutPrefill(1));
    for (batch_engine *Engine : {&CheckingEngine, &IgnoringEngine})
      CPPUNIT_ASSERT(
          Engine->orderWeightLoad({.Version = 2, .FencingToken = 5}));
    CPPUNIT_ASSERT(
        !CheckingEngine.orderWeightLoad({.Version = 3, .FencingToken = 4}));
    CPPUNIT_ASSERT(
        CheckingEngine.orderWeightLoad({.Version = 3, .FencingToken = 5}));
    CPPUNIT_ASSERT(
        IgnoringEngine.orderWeightLoad({.Version = 3, .FencingToken = 4}));
    CPPUNIT_ASSERT_EQUAL(size_t(3), CheckingEngine.orders().size());
    CPPUNIT_ASSERT(!CheckingEngine.orders().at(1).Accepted);
  }

  // Guards against unbounded output buffers for clients that do not read.
  void slowReaderPausesItsRun() {
    batch_engine Engine(optionsWithoutPrefill(1));
    run_pointer Run = startRun(Engine, "a", 100'000);
    for (int I = 0; I < 10'000; ++I)
      Engine.step(StartTime);
    CPPUNIT_ASSERT(Run->Output.size() < size_t(70'000));
    uint64_t PausedPosition = Run->NextPosition;
    Run->Output.clear();
    Engine.step(StartTime);
    CPPUNIT_ASSERT_EQUAL(PausedPosition + 1, Run->NextPosition);
  }

  // Guards against an interrupted stream that the tests of graceful shutdown
  // fail to detect.
  void countsInterruptedStreams() {
    batch_engine Engine(optionsWithoutPrefill(4));
    run_pointer A = startRun(Engine, "a", 9);
    startRun(Engine, "b", 9);
    startRun(Engine, "c", 9);
    CPPUNIT_ASSERT(Engine.start({.Id = "a"}, StartTime).Error ==
                   start_error::DuplicateId);
    Engine.step(StartTime);
    CPPUNIT_ASSERT(Engine.cancel("b"));
    CPPUNIT_ASSERT(!Engine.cancel("b"));
    Engine.disconnect(A);
    CPPUNIT_ASSERT_EQUAL(uint64_t(1), Engine.interruptedStreams());
    Engine.crash(StartTime);
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Engine.interruptedStreams());
    CPPUNIT_ASSERT_EQUAL(size_t(3), Engine.runs().size());
  }

  // Guards against an emulator whose load reports are always current, which
  // would hide routers that depend on that.
  void delaysLoadReports() {
    batch_engine_options Options = optionsWithoutPrefill(1);
    Options.LoadReportDelay = milliseconds(64);
    batch_engine Engine(Options);
    Engine.recordLoadSample(StartTime);
    startRun(Engine, "a", 9);
    Engine.step(StartTime);
    Engine.recordLoadSample(StartTime + milliseconds(30));
    engine_load Load = Engine.loadReport(StartTime + milliseconds(70));
    CPPUNIT_ASSERT_EQUAL(size_t(0), Load.Running);
    CPPUNIT_ASSERT_EQUAL(int64_t(70), int64_t(Load.Age.count()));
    CPPUNIT_ASSERT_EQUAL(
        size_t(1), Engine.loadReport(StartTime + milliseconds(100)).Running);
  }

private:
  static batch_engine_options optionsWithoutPrefill(size_t Slots) {
    return {.Slots = Slots, .PrefillMsPerToken = 0};
  }

  static run_pointer startRun(batch_engine &Engine, const std::string &Id,
                              uint64_t Tokens, int64_t Priority = 0,
                              const std::string &Prompt = "p") {
    return Engine
        .start({.Id = Id,
                .Prompt = Prompt,
                .MaxTokens = Tokens,
                .Priority = Priority},
               StartTime)
        .Run;
  }

  static std::vector<json> parseOutput(const token_run &Run) {
    std::vector<json> Parsed;
    std::istringstream Stream(Run.Output);
    for (std::string Line; std::getline(Stream, Line);)
      Parsed.push_back(json::parse(Line));
    return Parsed;
  }

  static std::string outputText(const token_run &Run) {
    std::string Text;
    for (const json &Line : parseOutput(Run))
      Text += Line.value("token", "");
    return Text;
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(batch_engine_test, "batch_engine_test");

} // namespace standins
