#include "agent/run_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

namespace cardamom {

namespace {
constexpr unsigned Seeds = 200;
constexpr int StepsPerSeed = 400;

/// Random calls from callers that repeat ids, race with cancellation, and
/// query long after the end. Time passes in jumps of up to 20 s.
struct run_table_run {
  std::mt19937 Random;
  run_table Table{{.MaxRecords = 40,
                   .MaxResponseBytes = 64,
                   .MaxTotalResponseBytes = 256,
                   .ResponseRetention = milliseconds(20000),
                   .RecordRetention = milliseconds(60000)}};
  time_point Now;
  std::map<std::string, int> Starts;
  std::map<std::string, wire::run_state> Seen;
  uint32_t Attempt = 0;

  explicit run_table_run(unsigned Seed) : Random(Seed) {}
  unsigned below(unsigned N) { return unsigned(Random() % N); }

  void end(const std::string &Id) {
    wire::run_end End;
    const bool CanRefuse = Table.query(Id) == wire::QUEUED;
    End.set_code(CanRefuse && below(2) == 0 ? wire::REFUSED : wire::COMPLETED);
    if (Table.finish(Id, End, Now) && End.code() == wire::REFUSED)
      Seen.erase(Id);
  }

  void step() {
    const std::string Id = std::to_string(below(60));
    switch (below(7)) {
    case 0:
    case 1:
      if (Table.insert({.RequestId = Id, .Attempt = ++Attempt}, Now) ==
          insert_result::Inserted)
        Seen[Id] = wire::QUEUED;
      break;
    case 2:
      if (Table.start(Id))
        ++Starts[Id];
      break;
    case 3:
      Table.append(Id, std::string(below(40), 'x'));
      break;
    case 4:
      end(Id);
      break;
    case 5:
      Table.acknowledge(Id, Now);
      break;
    default:
      Now += milliseconds(below(20000));
      Table.tick(Now);
    }
  }

  void check(unsigned Seed) {
    const std::string Where = "seed " + std::to_string(Seed) + " id ";
    for (const auto &[Id, Count] : Starts)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Where + Id, 1, Count);
    for (auto &[Id, State] : Seen) {
      const wire::run_state Present = Table.query(Id);
      CPPUNIT_ASSERT_MESSAGE(Where + Id, Present >= State);
      State = Present;
    }
    CPPUNIT_ASSERT_MESSAGE(Where, Table.recordCount() <= 40);
    CPPUNIT_ASSERT_MESSAGE(Where, Table.responseBytes() <= 256);
  }
};
} // namespace

class run_table_promise_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(run_table_promise_test);
  CPPUNIT_TEST(startsOnceAndStatesMoveForward);
  CPPUNIT_TEST(neverSeenUntilInserted);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a second start of a request id, a state that moves back,
  // and never_seen as the answer for a request that was accepted.
  void startsOnceAndStatesMoveForward() {
    for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
      run_table_run Run(Seed);
      for (int Step = 0; Step < StepsPerSeed; ++Step) {
        Run.step();
        Run.check(Seed);
      }
    }
  }

  // Guards against records that appear without an insert: never_seen permits
  // another attempt elsewhere.
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
