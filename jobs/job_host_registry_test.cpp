#include "jobs/job_host_registry.h"

#include "http/event_loop.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace cardamom {

class job_host_registry_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(job_host_registry_test);
  CPPUNIT_TEST(configuredHostNeedsNoRead);
  CPPUNIT_TEST(recordOutlivesTheConfiguration);
  CPPUNIT_TEST(missIsReadAgainAfterItsMaxAge);
  CPPUNIT_TEST(callsShareOneRead);
  CPPUNIT_TEST(outageKeepsWhatIsKnown);
  CPPUNIT_TEST(hostsOfCallersAreForgotten);
  CPPUNIT_TEST(ownersAreToldApart);
  CPPUNIT_TEST(prefetchedHostIsKnownDuringAnOutage);
  CPPUNIT_TEST_SUITE_END();

  event_loop Loop;
  /// Calls that the store has not answered yet.
  std::deque<object_callback> Calls;
  std::unique_ptr<async_store_client> Store;
  std::unique_ptr<job_host_registry> Hosts;
  const time_point Start = time_point{} + milliseconds(100000);

  static job_host owned(std::string_view Host) {
    return job_host(Host, job_ownership::Owned);
  }

  time_point at(int Ms) const { return Start + milliseconds(Ms); }

  /// Returns the statuses that the registry reports, as a text such as "HNU".
  std::string Statuses;
  void find(std::string_view Host, time_point Now,
            job_ownership Ownership = job_ownership::Owned) {
    Hosts->find(job_host(Host, Ownership), Now, [this](job_host_status Status) {
      Statuses += Status == job_host_status::HasJobs  ? 'H'
                  : Status == job_host_status::NoJobs ? 'N'
                                                      : 'U';
    });
  }

  void answer(object_outcome Outcome) {
    CPPUNIT_ASSERT(!Calls.empty());
    const object_callback Done = std::move(Calls.front());
    Calls.pop_front();
    Done({.Outcome = Outcome, .Objects = {}});
  }

public:
  void setUp() override {
    Store = std::make_unique<async_store_client>(
        Loop,
        async_store_client_options{
            .Send =
                [this](const object_request & /*Request*/,
                       const object_callback &Done) { Calls.push_back(Done); },
            .Probe = {}});
    Hosts = std::make_unique<job_host_registry>(
        job_host_registry_options{.Store = *Store, .Kind = "job-hosts"});
  }

  // Guards against a store call for each call on a job.
  void configuredHostNeedsNoRead() {
    Hosts->add(owned("H.example:80"));
    find("h.example", at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("H"), Statuses);
    CPPUNIT_ASSERT(Calls.empty());
  }

  // Guards against a job that a gateway cannot find because it was started
  // after the job's route was removed.
  void recordOutlivesTheConfiguration() {
    Hosts->add(owned("h.example"));
    const auto Record = Hosts->missingRecord(owned("h.example:80"));
    CPPUNIT_ASSERT(Record);
    CPPUNIT_ASSERT_EQUAL(std::string("h.example:owned"), Record->Name);
    CPPUNIT_ASSERT(Record->Op == object_op::Create);
    Hosts->onRecorded(owned("h.example:80"));
    CPPUNIT_ASSERT(!Hosts->missingRecord(owned("h.example")));

    setUp();
    find("h.example", at(0));
    answer(object_outcome::Done);
    find("h.example", at(10));
    CPPUNIT_ASSERT_EQUAL(std::string("HH"), Statuses);
    CPPUNIT_ASSERT(!Hosts->missingRecord(owned("h.example")));
  }

  // Guards against a first job, accepted by another gateway, that stays unknown
  // for a second or more.
  void missIsReadAgainAfterItsMaxAge() {
    find("h.example", at(0));
    answer(object_outcome::NotFound);
    find("h.example", at(799));
    CPPUNIT_ASSERT(Calls.empty());
    find("h.example", at(800));
    answer(object_outcome::Done);
    CPPUNIT_ASSERT_EQUAL(std::string("NNH"), Statuses);
  }

  void callsShareOneRead() {
    for (int I = 0; I < 3; ++I)
      find("h.example", at(I));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Calls.size());
    CPPUNIT_ASSERT_EQUAL(std::string(), Statuses);
    answer(object_outcome::NotFound);
    CPPUNIT_ASSERT_EQUAL(std::string("NNN"), Statuses);
  }

  // Guards against services without jobs that fail with the store, and against
  // a job that counts as unknown because the store does not answer.
  void outageKeepsWhatIsKnown() {
    find("known.example", at(0));
    answer(object_outcome::NotFound);
    find("new.example", at(0));
    answer(object_outcome::Unknown);
    CPPUNIT_ASSERT(!Store->reachable());
    find("known.example", at(60000));
    find("new.example", at(60000));
    CPPUNIT_ASSERT_EQUAL(std::string("NUNU"), Statuses);
  }

  // Guards against memory that grows with the hosts that callers name.
  void hostsOfCallersAreForgotten() {
    const size_t MaxMisses =
        job_host_registry_options{.Store = *Store}.MaxMisses;
    for (size_t I = 0; I <= MaxMisses; ++I) {
      find("host-" + std::to_string(I), at(0));
      answer(object_outcome::NotFound);
    }
    find("host-0", at(1));
    CPPUNIT_ASSERT_EQUAL(size_t(1), Calls.size());
    answer(object_outcome::NotFound);
  }

  // Guards against a store call for each call without a key on a host whose
  // jobs all have owners, and against a job without an owner that counts as
  // unknown there.
  void ownersAreToldApart() {
    Hosts->add(owned("h.example"));
    for (int I = 0; I < 3; ++I) {
      find("h.example", at(I), job_ownership::Unowned);
      if (I == 0)
        answer(object_outcome::NotFound);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("NNN"), Statuses);
    CPPUNIT_ASSERT(Calls.empty());
    const job_host Unowned("h.example", job_ownership::Unowned);
    Hosts->onRecorded(Unowned);
    find("h.example", at(3), job_ownership::Unowned);
    CPPUNIT_ASSERT_EQUAL(std::string("NNNH"), Statuses);
    CPPUNIT_ASSERT(Hosts->missingRecord(owned("h.example")));
    CPPUNIT_ASSERT(!Hosts->missingRecord(Unowned));
  }

  // Guards against callers without a valid key that are told to retry during an
  // outage of the store, and against a read for each configuration.
  void prefetchedHostIsKnownDuringAnOutage() {
    Hosts->prefetch(owned("h.example"), at(0));
    answer(object_outcome::NotFound);
    Hosts->prefetch(owned("h.example"), at(5000));
    CPPUNIT_ASSERT(Calls.empty());
    find("other.example", at(5000));
    answer(object_outcome::Unknown);
    CPPUNIT_ASSERT(!Store->reachable());
    find("h.example", at(5001));
    CPPUNIT_ASSERT_EQUAL(std::string("UN"), Statuses);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(job_host_registry_test,
                                      "job_host_registry_test");

} // namespace cardamom
