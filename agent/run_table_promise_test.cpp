#include "agent/run_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

namespace cardamom {

namespace {
constexpr unsigned SeedCount = 200;
constexpr int StepsPerSeed = 400;

/// Applies random operations to the runs of 60 request ids, and queries all
/// accepted ids after each operation. Time advances in steps of up to 20 s, so
/// that responses and records expire while their ids are still queried.
struct run_table_simulation {
  std::mt19937 Random;
  run_table Table{{.MaxRecords = 40,
                   .MaxResponseBytes = 64,
                   .MaxTotalResponseBytes = 256,
                   .ResponseRetention = milliseconds(20000),
                   .RecordRetention = milliseconds(60000)}};
  time_point Now;
  std::map<std::string, int> Starts;
  std::map<std::string, wire::run_state> LastStates;
  uint32_t Attempt = 0;

  explicit run_table_simulation(unsigned Seed) : Random(Seed) {}
  unsigned randomBelow(unsigned N) { return unsigned(Random() % N); }

  void finishRun(const std::string &Id) {
    wire::run_end End;
    const bool CanRefuse = Table.query(Id) == wire::QUEUED;
    End.set_code(CanRefuse && randomBelow(2) == 0 ? wire::REFUSED
                                                  : wire::COMPLETED);
    if (Table.finish(Id, End, Now) && End.code() == wire::REFUSED)
      LastStates.erase(Id);
  }

  void step() {
    const std::string Id = std::to_string(randomBelow(60));
    switch (randomBelow(7)) {
    case 0:
    case 1:
      if (Table.insert({.RequestId = Id, .Attempt = ++Attempt}, Now) ==
          insert_result::Inserted)
        LastStates[Id] = wire::QUEUED;
      break;
    case 2:
      if (Table.start(Id))
        ++Starts[Id];
      break;
    case 3:
      Table.append(Id, std::string(randomBelow(40), 'x'));
      break;
    case 4:
      finishRun(Id);
      break;
    case 5:
      Table.acknowledge(Id, Now);
      break;
    default:
      Now += milliseconds(randomBelow(20000));
      Table.tick(Now);
    }
  }

  void check(unsigned Seed) {
    const std::string Context = "seed " + std::to_string(Seed) + " id ";
    for (const auto &[Id, Count] : Starts)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Context + Id, 1, Count);
    for (auto &[Id, State] : LastStates) {
      const wire::run_state Current = Table.query(Id);
      CPPUNIT_ASSERT_MESSAGE(Context + Id, Current >= State);
      State = Current;
    }
    CPPUNIT_ASSERT_MESSAGE(Context, Table.recordCount() <= 40);
    CPPUNIT_ASSERT_MESSAGE(Context, Table.responseBytes() <= 256);
  }
};
} // namespace

class run_table_promise_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(run_table_promise_test);
  CPPUNIT_TEST(startsOnceAndStatesMoveForward);
  CPPUNIT_TEST(neverSeenUntilInserted);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a second start of a request id, a state that moves backward,
  // and never_seen as the state of a request that was accepted.
  void startsOnceAndStatesMoveForward() {
    for (unsigned Seed = 1; Seed <= SeedCount; ++Seed) {
      run_table_simulation Simulation(Seed);
      for (int Step = 0; Step < StepsPerSeed; ++Step) {
        Simulation.step();
        Simulation.check(Seed);
      }
    }
  }

  // Guards against records that are created without an insert. The reply
  // never_seen permits another attempt on another agent.
  void neverSeenUntilInserted() {
    run_table Table({});
    CPPUNIT_ASSERT(!Table.start("a"));
    CPPUNIT_ASSERT(!Table.attach("a", {}).has_value());
    CPPUNIT_ASSERT(Table.append("a", "x") == append_result::Ended);
    CPPUNIT_ASSERT(!Table.finish("a", {}, {}));
    Table.acknowledge("a", {});
    Table.tick({});
    CPPUNIT_ASSERT(Table.query("a") == wire::NEVER_SEEN);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(run_table_promise_test,
                                      "run_table_promise_test");

} // namespace cardamom
