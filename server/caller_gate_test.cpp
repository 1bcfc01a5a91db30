#include "server/caller_gate.h"

#include "gateway/gateway_config.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace cardamom {

class caller_gate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(caller_gate_test);
  CPPUNIT_TEST(keyIdentifiesItsTenant);
  CPPUNIT_TEST(unknownKeyIsRejected);
  CPPUNIT_TEST(publicRouteNeedsNoKey);
  CPPUNIT_TEST(withdrawnKeyIsRejected);
  CPPUNIT_TEST(unconfirmedConfigurationKeepsKnownKeys);
  CPPUNIT_TEST(strictRevocationAcceptsNoUnconfirmedKey);
  CPPUNIT_TEST(keyOfTwoTenantsIdentifiesNone);
  CPPUNIT_TEST(routesDoNotDecideWhoCallsOnAJob);
  CPPUNIT_TEST(unknownJobIsAnsweredAsTheRoutesSay);
  CPPUNIT_TEST(configurationWithoutTenantsNeedsNoKey);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds MaxAge{2000};
  const time_point Now = time_point{} + milliseconds(100000);
  const time_point Fresh = Now - milliseconds(100);
  const time_point Stale = Now - milliseconds(4000);

  static gateway_config
  configWith(const std::vector<std::pair<std::string, std::string>> &Keys) {
    gateway_config Config;
    Config.Tenants.emplace();
    for (const auto &[Name, Key] : Keys)
      Config.Tenants->push_back(
          {.Name = Name, .KeyDigests = {sha256(Key)}, .Priority = {}});
    return Config;
  }

  static caller_gate
  makeGate(const gateway_config &Config,
           std::optional<milliseconds> RevocationBound = std::nullopt) {
    caller_gate Gate(
        {.ConfigMaxAge = MaxAge, .RevocationBound = RevocationBound});
    Gate.install(Config);
    return Gate;
  }

  static route makeRoute(bool Public) {
    route Route;
    Route.Priority = 2;
    Route.Public = Public;
    return Route;
  }

  static std::string tenantOf(const caller_admission &Admission) {
    const auto *Identity = std::get_if<caller_identity>(&Admission);
    CPPUNIT_ASSERT(Identity);
    return Identity->Tenant;
  }

  static unsigned statusOf(const caller_admission &Admission) {
    const auto *Rejection = std::get_if<caller_rejection>(&Admission);
    return Rejection ? Rejection->Status : 0;
  }

public:
  // Guards against a request that runs for another tenant, or with the priority
  // of its route although its tenant has one.
  void keyIdentifiesItsTenant() {
    gateway_config Config = configWith({{"a", "key-a"}, {"b", "key-b"}});
    Config.Tenants->front().Priority = 0;
    const caller_gate Gate = makeGate(Config);
    const route Route = makeRoute(/*Public=*/false);
    const auto A = Gate.admit(Route, "key-a", Fresh, Now);
    const auto B = Gate.admit(Route, "key-b", Fresh, Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), tenantOf(A));
    CPPUNIT_ASSERT_EQUAL(0U, std::get<caller_identity>(A).Priority);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), tenantOf(B));
    CPPUNIT_ASSERT_EQUAL(2U, std::get<caller_identity>(B).Priority);
  }

  void unknownKeyIsRejected() {
    const caller_gate Gate = makeGate(configWith({{"a", "key-a"}}));
    const route Route = makeRoute(/*Public=*/false);
    for (const std::optional<std::string> &Key :
         {std::optional<std::string>(), std::optional<std::string>(""),
          std::optional<std::string>("key-"),
          std::optional<std::string>("KEY-A")})
      CPPUNIT_ASSERT_EQUAL(401U, statusOf(Gate.admit(Route, Key, Fresh, Now)));
  }

  void publicRouteNeedsNoKey() {
    const caller_gate Gate = makeGate(configWith({{"a", "key-a"}}));
    const route Route = makeRoute(/*Public=*/true);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         tenantOf(Gate.admit(Route, std::nullopt, Fresh, Now)));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         tenantOf(Gate.admit(Route, "x", Fresh, Now)));
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         tenantOf(Gate.admit(Route, "key-a", Fresh, Now)));
  }

  void withdrawnKeyIsRejected() {
    caller_gate Gate = makeGate(configWith({{"a", "old"}}));
    const route Route = makeRoute(/*Public=*/false);
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         tenantOf(Gate.admit(Route, "old", Fresh, Now)));
    Gate.install(configWith({{"a", "new"}}));
    CPPUNIT_ASSERT_EQUAL(401U, statusOf(Gate.admit(Route, "old", Fresh, Now)));
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         tenantOf(Gate.admit(Route, "new", Fresh, Now)));
  }

  // A process without the store must neither reject valid callers nor call a
  // key unknown that its configuration may be too old for.
  void unconfirmedConfigurationKeepsKnownKeys() {
    const caller_gate Gate = makeGate(configWith({{"a", "key-a"}}));
    const route Route = makeRoute(/*Public=*/false);
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         tenantOf(Gate.admit(Route, "key-a", Stale, Now)));
    const auto Unknown = Gate.admit(Route, "newer", Stale, Now);
    CPPUNIT_ASSERT_EQUAL(503U, statusOf(Unknown));
    CPPUNIT_ASSERT(std::get<caller_rejection>(Unknown).RetryAfter.count() > 0);
    CPPUNIT_ASSERT_EQUAL(401U,
                         statusOf(Gate.admit(Route, std::nullopt, Stale, Now)));
  }

  // Guards against a key that stays valid on a process that cannot learn of its
  // withdrawal, where the operator does not want that.
  void strictRevocationAcceptsNoUnconfirmedKey() {
    const caller_gate Gate =
        makeGate(configWith({{"a", "key-a"}}), milliseconds(4000));
    const route Route = makeRoute(/*Public=*/false);
    CPPUNIT_ASSERT_EQUAL(503U,
                         statusOf(Gate.admit(Route, "key-a", Stale, Now)));
    CPPUNIT_ASSERT_EQUAL(
        std::string("a"),
        tenantOf(Gate.admit(Route, "key-a", Stale + milliseconds(1), Now)));
  }

  void keyOfTwoTenantsIdentifiesNone() {
    const caller_gate Gate =
        makeGate(configWith({{"a", "shared"}, {"b", "shared"}, {"c", "own"}}));
    const route Route = makeRoute(/*Public=*/false);
    CPPUNIT_ASSERT_EQUAL(401U,
                         statusOf(Gate.admit(Route, "shared", Fresh, Now)));
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         tenantOf(Gate.admit(Route, "own", Fresh, Now)));
  }

  struct job_call_case {
    std::vector<const route *> Routes;
    std::optional<std::string> Key;
    std::string Tenant;
    /// Status if there is no such job; 0 = as for a job that does not exist.
    unsigned IfUnknown = 0;
  };

  const route Owned = makeRoute(/*Public=*/false);
  const route Public = makeRoute(/*Public=*/true);
  const std::vector<job_call_case> JobCallCases = {
      {{&Owned}, std::nullopt, "", 401},
      {{&Owned}, "x", "", 401},
      {{&Owned}, "key-a", "a", 0},
      {{&Owned, &Public}, std::nullopt, "", 401},
      {{&Owned, &Public}, "x", "", 401},
      {{&Owned, &Public}, "key-a", "a", 0},
      {{&Public}, std::nullopt, "", 0},
      {{&Public}, "x", "", 0},
      {{&Public}, "key-a", "a", 0},
      {{}, std::nullopt, "", 0},
      {{}, "x", "", 401},
      {{}, "key-a", "a", 0}};

  // Guards against a job that its submitter can no longer read because a route
  // of its host was added or removed, and against an invalid key that stands
  // for a tenant.
  void routesDoNotDecideWhoCallsOnAJob() {
    const caller_gate Gate = makeGate(configWith({{"a", "key-a"}}));
    for (const job_call_case &Case : JobCallCases)
      CPPUNIT_ASSERT_EQUAL(
          Case.Tenant,
          Gate.admitJobCall(Case.Routes, Case.Key, Fresh, Now).Caller.Tenant);
  }

  // Guards against job calls that skip the check of their key.
  void unknownJobIsAnsweredAsTheRoutesSay() {
    const caller_gate Gate = makeGate(configWith({{"a", "key-a"}}));
    for (const job_call_case &Case : JobCallCases) {
      const auto Rejection =
          Gate.admitJobCall(Case.Routes, Case.Key, Fresh, Now).IfUnknown;
      CPPUNIT_ASSERT_EQUAL(Case.IfUnknown, Rejection ? Rejection->Status : 0U);
    }
  }

  void configurationWithoutTenantsNeedsNoKey() {
    const caller_gate Gate = makeGate(gateway_config());
    const route Route = makeRoute(/*Public=*/false);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         tenantOf(Gate.admit(Route, "x", Stale, Now)));
    const route *const Routes[] = {&Route};
    for (const std::optional<std::string> &Key :
         {std::optional<std::string>(), std::optional<std::string>("x")}) {
      const auto Call = Gate.admitJobCall(Routes, Key, Stale, Now);
      CPPUNIT_ASSERT_EQUAL(std::string(), Call.Caller.Tenant);
      CPPUNIT_ASSERT(!Call.IfUnknown);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(caller_gate_test, "caller_gate_test");

} // namespace cardamom
