#include "agent/key_ledger.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <random>

namespace cardamom {

namespace {
constexpr unsigned Seeds = 300;
constexpr int StepsPerSeed = 150;
constexpr unsigned Agents = 3;
constexpr unsigned Keys = 5;
constexpr unsigned MaxDepth = 3;

/// A store that loses answers, applies writes late, refuses calls, and lets
/// other agents act in the middle of a call; agents that restart at any time.
/// Everything is drawn from one seed.
struct ledger_world {
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
  std::vector<late_write> Late;
  uint64_t LastVersion = 0;
  unsigned OutagePercent = 0;
  unsigned Depth = 0;
  uint64_t LastIncarnation = 0;
  uint64_t LastRequest = 0;
  std::vector<std::unique_ptr<key_ledger>> Ledgers;
  std::vector<size_t> Live = std::vector<size_t>(Agents);
  std::vector<bool> Busy = std::vector<bool>(Agents);
  std::vector<std::string> Refused = std::vector<std::string>(Agents);
  std::map<std::string, int> Runs;

  explicit ledger_world(unsigned Seed) : Random(Seed) {
    for (unsigned I = 0; I < Agents; ++I)
      restart(I);
  }

  unsigned below(unsigned N) { return unsigned(Random() % N); }
  bool chance(unsigned Percent) { return below(100) < Percent; }

  void restart(unsigned Agent) {
    key_ledger_options Options;
    Options.Agent = "agent-" + std::to_string(Agent);
    Options.Incarnation = ++LastIncarnation;
    Options.Get = [this](std::string_view Key) { return get(Key); };
    Options.Put = [this](std::string_view Key, std::string_view Value,
                         uint64_t If) { return put(Key, Value, If); };
    Options.WallSeconds = [] { return int64_t(1700000000); };
    Options.GroupCommitDelay = milliseconds(0);
    Options.MaxAttempts = 3;
    Live[Agent] = Ledgers.size();
    Refused[Agent].clear();
    // A ledger whose call is under way stays, as a process that dies late.
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

  void disturb() {
    if (!Late.empty() && chance(30)) {
      const late_write Write = Late.back();
      Late.pop_back();
      write(Write.Key, Write.Value, Write.IfVersion);
    }
    if (Depth < MaxDepth && chance(30))
      step();
  }

  store_result get(std::string_view Key) {
    disturb();
    if (chance(OutagePercent))
      return {.Status = store_status::Unavailable};
    if (chance(10))
      return {.Status = store_status::Unknown};
    const object Object = Objects[std::string(Key)];
    disturb();
    if (Object.Version == 0)
      return {.Status = store_status::NotFound};
    return {.Status = store_status::Ok,
            .Version = Object.Version,
            .Value = Object.Value};
  }

  store_result put(std::string_view Key, std::string_view Value,
                   uint64_t IfVersion) {
    disturb();
    if (chance(OutagePercent))
      return {.Status = store_status::Unavailable};
    if (chance(15)) {
      Late.push_back({std::string(Key), std::string(Value), IfVersion});
      return {.Status = store_status::Unknown};
    }
    store_result Result = write(Key, Value, IfVersion);
    disturb();
    if (chance(20))
      return {.Status = store_status::Unknown};
    return Result;
  }

  void claim(unsigned Agent) {
    const std::string Key = std::to_string(below(Keys));
    // A refused request comes again under its id.
    std::string Id = Refused[Agent].empty() || chance(50)
                         ? Key + "#" + std::to_string(++LastRequest)
                         : Refused[Agent];
    const claim_request Request = {"/book", Id.substr(0, Id.find('#')), Id};
    const size_t Ledger = Live[Agent];
    const claim_result Result = Ledgers[Ledger]->claim(Request);
    bool NotRun = Result.Status == claim_status::StoreUnavailable;
    if (Result.Status == claim_status::Granted) {
      NotRun = chance(30);
      if (!NotRun)
        ++Runs[Request.Key];
      else // The upstream refused the connection.
        Ledgers[Ledger]->release(Request);
    }
    Refused[Agent].clear();
    if (NotRun && Live[Agent] == Ledger)
      Refused[Agent] = Id;
  }

  void step() {
    const unsigned Agent = below(Agents);
    if (chance(5))
      OutagePercent = chance(50) ? 0 : below(100);
    if (chance(5))
      return restart(Agent);
    if (Busy[Agent])
      return;
    Busy[Agent] = true;
    ++Depth;
    claim(Agent);
    --Depth;
    Busy[Agent] = false;
  }
};
} // namespace

class key_ledger_promise_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(key_ledger_promise_test);
  CPPUNIT_TEST(keyRunsAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a deposit or booking that runs twice when answers of the
  // store are lost, writes arrive late, agents conflict or restart.
  void keyRunsAtMostOnce() {
    int Total = 0;
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
      ledger_world World(Seed);
      for (int Step = 0; Step < StepsPerSeed; ++Step)
        World.step();
      for (const auto &[Key, Count] : World.Runs) {
        Total += Count;
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed) + ": key " + Key +
                                   " ran " + std::to_string(Count) + " times",
                               Count <= 1);
      }
    }
    // The test is void if the simulated faults let nothing run.
    CPPUNIT_ASSERT(Total > int(Seeds * Keys / 2));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(key_ledger_promise_test,
                                      "key_ledger_promise_test");

} // namespace cardamom
