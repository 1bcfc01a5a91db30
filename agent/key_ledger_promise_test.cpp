#include "agent/key_ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <random>

namespace cardamom {

namespace {
constexpr unsigned SeedCount = 300;
constexpr int StepsPerSeed = 150;
constexpr unsigned Agents = 3;
constexpr unsigned Keys = 5;
constexpr unsigned MaxCallDepth = 3;

/// Simulates a store that loses responses, applies writes late, refuses calls
/// and lets other agents act during a call, and agents that restart at any
/// time. One seed determines all random choices.
struct ledger_simulation {
  struct late_write {
    std::string Key;
    std::string Value;
    uint64_t IfVersion;
  };
  struct object {
    uint64_t Version = 0;
    std::string Value;
  };

  std::mt19937 Random;
  std::map<std::string, object, std::less<>> Objects;
  std::vector<late_write> LateWrites;
  uint64_t LastVersion = 0;
  unsigned OutagePercent = 0;
  unsigned CallDepth = 0;
  uint64_t LastIncarnation = 0;
  uint64_t LastRequest = 0;
  std::vector<std::unique_ptr<key_ledger>> Ledgers;
  std::vector<size_t> CurrentLedgers = std::vector<size_t>(Agents);
  std::vector<bool> CallInProgress = std::vector<bool>(Agents);
  std::vector<std::string> RefusedRequests = std::vector<std::string>(Agents);
  std::map<std::string, int> RunCounts;

  explicit ledger_simulation(unsigned Seed) : Random(Seed) {
    for (unsigned I = 0; I < Agents; ++I)
      restart(I);
  }

  unsigned randomBelow(unsigned N) { return unsigned(Random() % N); }
  bool chance(unsigned Percent) { return randomBelow(100) < Percent; }

  void restart(unsigned Agent) {
    key_ledger_options Options;
    Options.Agent = "agent-" + std::to_string(Agent);
    Options.Incarnation = ++LastIncarnation;
    Options.Get = [this](std::string_view Key) { return get(Key); };
    Options.Put = [this](std::string_view Key, std::string_view Value,
                         uint64_t IfVersion) {
      return put(Key, Value, IfVersion);
    };
    Options.WallSeconds = [] { return int64_t(1700000000); };
    Options.GroupCommitDelay = milliseconds(0);
    Options.MaxAttempts = 3;
    CurrentLedgers[Agent] = Ledgers.size();
    RefusedRequests[Agent].clear();
    // The old ledger is kept, because a call on it may be in progress. This
    // simulates a process that exits late.
    Ledgers.push_back(std::make_unique<key_ledger>(std::move(Options)));
  }

  store_result write(std::string_view Key, std::string_view Value,
                     uint64_t IfVersion) {
    object &Object = Objects[std::string(Key)];
    if (Object.Version != IfVersion)
      return {.Status = store_status::Conflict, .Version = Object.Version};
    Object = {++LastVersion, std::string(Value)};
    return {.Status = store_status::Ok, .Version = LastVersion};
  }

  void injectFaults() {
    if (!LateWrites.empty() && chance(30)) {
      const late_write Write = LateWrites.back();
      LateWrites.pop_back();
      write(Write.Key, Write.Value, Write.IfVersion);
    }
    if (CallDepth < MaxCallDepth && chance(30))
      step();
  }

  store_result get(std::string_view Key) {
    injectFaults();
    if (chance(OutagePercent))
      return {.Status = store_status::Unavailable};
    if (chance(10))
      return {.Status = store_status::Unknown};
    const object Object = Objects[std::string(Key)];
    injectFaults();
    if (Object.Version == 0)
      return {.Status = store_status::NotFound};
    return {.Status = store_status::Ok,
            .Version = Object.Version,
            .Value = Object.Value};
  }

  store_result put(std::string_view Key, std::string_view Value,
                   uint64_t IfVersion) {
    injectFaults();
    if (chance(OutagePercent))
      return {.Status = store_status::Unavailable};
    if (chance(15)) {
      LateWrites.push_back({std::string(Key), std::string(Value), IfVersion});
      return {.Status = store_status::Unknown};
    }
    store_result Result = write(Key, Value, IfVersion);
    injectFaults();
    if (chance(20))
      return {.Status = store_status::Unknown};
    return Result;
  }

  void claim(unsigned Agent) {
    const std::string Key = std::to_string(randomBelow(Keys));
    // A refused request is retried with the same id.
    std::string Id = RefusedRequests[Agent].empty() || chance(50)
                         ? Key + "#" + std::to_string(++LastRequest)
                         : RefusedRequests[Agent];
    const claim_request Request = {"/book", Id.substr(0, Id.find('#')), Id};
    const size_t Ledger = CurrentLedgers[Agent];
    const claim_result Result = Ledgers[Ledger]->claim(Request);
    bool NotRun = Result.Status == claim_status::StoreUnavailable;
    if (Result.Status == claim_status::Granted) {
      NotRun = chance(30);
      if (!NotRun)
        ++RunCounts[Request.Key];
      else // The upstream refused the connection.
        Ledgers[Ledger]->release(Request);
    }
    RefusedRequests[Agent].clear();
    if (NotRun && CurrentLedgers[Agent] == Ledger)
      RefusedRequests[Agent] = Id;
  }

  void step() {
    const unsigned Agent = randomBelow(Agents);
    if (chance(5))
      OutagePercent = chance(50) ? 0 : randomBelow(100);
    if (chance(5))
      return restart(Agent);
    if (CallInProgress[Agent])
      return;
    CallInProgress[Agent] = true;
    ++CallDepth;
    claim(Agent);
    --CallDepth;
    CallInProgress[Agent] = false;
  }
};
} // namespace

class key_ledger_promise_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(key_ledger_promise_test);
  CPPUNIT_TEST(keyRunsAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a request, such as a deposit or a booking, that runs twice
  // when responses of the store are lost, writes are applied late, or agents
  // conflict or restart.
  void keyRunsAtMostOnce() {
    int Total = 0;
    for (unsigned Seed = 1; Seed <= SeedCount; ++Seed) {
      ledger_simulation Simulation(Seed);
      for (int Step = 0; Step < StepsPerSeed; ++Step)
        Simulation.step();
      for (const auto &[Key, Count] : Simulation.RunCounts) {
        Total += Count;
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed) + ": key " + Key +
                                   " ran " + std::to_string(Count) + " times",
                               Count <= 1);
      }
    }
    // Checks that the simulated faults still let requests run; otherwise the
    // test would prove nothing.
    CPPUNIT_ASSERT(Total > int(SeedCount * Keys / 2));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(key_ledger_promise_test,
                                      "key_ledger_promise_test");

} // namespace cardamom
