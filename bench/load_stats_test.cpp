#include "bench/arrival_schedule.h"
#include "bench/load_stats.h"
#include "bench/process_usage.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bench {

class load_stats_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_stats_test);
  CPPUNIT_TEST(ranksPercentiles);
  CPPUNIT_TEST(boundsClosedLoopByCountAndTime);
  CPPUNIT_TEST(keepsRateWhenClientsAreLate);
  CPPUNIT_TEST(readsOwnUsage);
  CPPUNIT_TEST_SUITE_END();

  static constexpr standins::time_point Start{std::chrono::hours(1)};
  static constexpr standins::time_point End = Start + std::chrono::seconds(10);

public:
  // Guards against a percentile off by one rank or from unsorted values.
  void ranksPercentiles() {
    std::vector<float> Values;
    for (int I = 100; I > 0; --I)
      Values.push_back(static_cast<float>(I));
    percentiles Ranks = computePercentiles(Values);
    CPPUNIT_ASSERT_EQUAL(50.0, Ranks.Median);
    CPPUNIT_ASSERT_EQUAL(90.0, Ranks.P90);
    CPPUNIT_ASSERT_EQUAL(99.0, Ranks.P99);
    CPPUNIT_ASSERT_EQUAL(7.0, computePercentiles({7}).P99);
    CPPUNIT_ASSERT_EQUAL(0.0, computePercentiles({}).Median);
  }

  // Guards against a run that exceeds its call count or its time limit.
  void boundsClosedLoopByCountAndTime() {
    arrival_schedule Arrivals({.Requests = 2, .Begin = Start, .End = End});
    CPPUNIT_ASSERT(Arrivals.next(Start) == Start);
    CPPUNIT_ASSERT(Arrivals.next(Start).has_value());
    CPPUNIT_ASSERT(!Arrivals.next(Start).has_value());
    arrival_schedule Late({.Requests = 2, .Begin = Start, .End = End});
    CPPUNIT_ASSERT(!Late.next(End).has_value());
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), Late.countUnsent());
  }

  // Guards against coordinated omission: an open loop that slows down with the
  // system under test hides the latency of an overload.
  void keepsRateWhenClientsAreLate() {
    arrival_schedule Arrivals(
        {.Requests = 100'000, .Begin = Start, .End = End, .Rate = 100});
    uint64_t Sent = 0;
    auto Late = Start + std::chrono::seconds(5);
    while (auto Due = Arrivals.next(Late)) {
      CPPUNIT_ASSERT(*Due < End);
      if (++Sent == 300)
        break;
    }
    CPPUNIT_ASSERT(!Arrivals.next(End).has_value());
    uint64_t All = Sent + Arrivals.countUnsent();
    // Ten standard deviations around the mean of 1000.
    CPPUNIT_ASSERT(All > 680 && All < 1320);
  }

  // Guards against reading the wrong field of /proc/PID/stat.
  void readsOwnUsage() {
    process_usage Usage = readProcessUsage(getpid());
    CPPUNIT_ASSERT(Usage.ResidentMiB > 1 && Usage.ResidentMiB < 4096);
    CPPUNIT_ASSERT(Usage.CpuSeconds < 600);
    CPPUNIT_ASSERT_EQUAL(0.0, readProcessUsage(-1).ResidentMiB);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(load_stats_test, "load_stats_test");

} // namespace bench
