#include "jobs/weight_updater.h"

#include "gateway/protocols.h"
#include "gateway/test_environment.h"
#include "http/http_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace cardamom {

/// Plays replicas that say in an answer to a report request or to an order that
/// they are leaving.
class weight_updater_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(weight_updater_test);
  CPPUNIT_TEST(ordersNewVersion);
  CPPUNIT_TEST(sendsNoOrderAfterReportOfLeavingReplica);
  CPPUNIT_TEST(sendsNoOrderAfterOrderAnswerOfLeavingReplica);
  CPPUNIT_TEST(ignoresAnswersOfAnotherProcess);
  CPPUNIT_TEST(ignoresAnswersToOtherRequests);
  CPPUNIT_TEST(ordersNewVersionBesideModelsOfOtherServices);
  CPPUNIT_TEST(sharesByDemandBesideModelsOfOtherServices);
  CPPUNIT_TEST_SUITE_END();

  test_environment Env;
  std::string Address;
  std::unique_ptr<http_server> Replica;
  std::unique_ptr<weight_updater> Updater;
  gateway_protocols Protocols;
  unsigned Reports = 0;
  unsigned Orders = 0;
  bool ReportsLeaving = false;
  bool OrdersLeave = false;
  uint64_t LoadedVersion = 1;
  /// Request that the answers belong to; empty for reports and orders.
  std::string AnsweredRequest;
  order_outcome OrderOutcome = order_outcome::Accepted;

  void answer(const exchange_ptr &Exchange, bool Leaving) {
    header_list Headers;
    if (Leaving)
      Headers.add("Leaving", "1");
    if (!AnsweredRequest.empty())
      Headers.add("Id", AnsweredRequest);
    Exchange->respond({.Status = 200, .Headers = Headers, .Body = {}});
  }

  static http_request request(const char *Target) {
    return {.Method = "POST",
            .Target = Target,
            .Headers = {{"Host", "h"}},
            .Body = {}};
  }

public:
  void setUp() override {
    Protocols.Upstream.Decode = [](const http_response &Response) {
      return upstream_head{.Status = Response.Status,
                           .RequestId = std::string(Response.Headers.get("Id")),
                           .Leaving = !Response.Headers.get("Leaving").empty()};
    };
    Protocols.EncodeReportRequest = [](std::string_view) {
      return request("/report");
    };
    Protocols.DecodeReplicaReport = [this](const http_response &) {
      return replica_report{.Versions = {{"m", LoadedVersion}}};
    };
    Protocols.EncodeOrder = [](const load_weights_order &) {
      return request("/order");
    };
    Protocols.DecodeOrder = [this](const http_response &) {
      return OrderOutcome;
    };
    Address = test_environment::unusedAddress();
    Replica = std::make_unique<http_server>(
        Env.Loop,
        http_server_options{.Listen = Address,
                            .OnRequest = [this](const exchange_ptr &Exchange) {
                              const bool IsReport =
                                  Exchange->request().Target == "/report";
                              ++(IsReport ? Reports : Orders);
                              answer(Exchange,
                                     IsReport ? ReportsLeaving : OrdersLeave);
                            }});
    Updater = std::make_unique<weight_updater>(updaterOptions());
  }

  weight_updater_options updaterOptions() {
    return {.Loop = Env.Loop,
            .Client = Env.Client,
            .Directory = Env.Directory,
            .Gate = Env.Gate,
            .Protocols = Protocols,
            .Pool = "s",
            .Holder = "h",
            .FencingToken = 1,
            .MayOrder = [](time_point) { return true; },
            .OnOrder = [](time_point) {},
            .RunningItemCount = [](std::string_view) { return 0U; },
            .DrainRunsFirst = [] { return false; },
            .OnFenced = [] {},
            .OnVersionChanged = [] {},
            .ReportInterval = milliseconds(20),
            .OrderSettleTime = milliseconds(100)};
  }

  void addReplica(const std::string &Id,
                  std::map<std::string, uint64_t, std::less<>> Versions,
                  uint64_t StartedAtMs = 1) {
    Env.Directory.update({.Id = Id,
                          .Service = "s",
                          .Address = Address,
                          .StartedAtMs = StartedAtMs,
                          .Versions = std::move(Versions)},
                         event_loop::now());
  }

  /// Lists the replica and plays the time of several plans and reports.
  void play(uint64_t StartedAtMs = 1) {
    addReplica("a", {{"m", 1}}, StartedAtMs);
    Updater->setTargetVersion("m", 2);
    Env.runFor(milliseconds(900));
  }

  [[nodiscard]] bool leaving() const {
    return Env.Directory.find("a")->Draining;
  }

  void ordersNewVersion() {
    OrderOutcome = order_outcome::AlreadyLoaded;
    play();
    CPPUNIT_ASSERT_EQUAL(1U, Reports);
    CPPUNIT_ASSERT_EQUAL(1U, Orders);
    CPPUNIT_ASSERT(!leaving());
  }

  // Guards against an order to a replica that the store still lists as live.
  void sendsNoOrderAfterReportOfLeavingReplica() {
    ReportsLeaving = true;
    play();
    CPPUNIT_ASSERT_EQUAL(1U, Reports);
    CPPUNIT_ASSERT_EQUAL(0U, Orders);
    CPPUNIT_ASSERT(leaving());
    // A list that was read before the departure does not undo it.
    play();
    CPPUNIT_ASSERT_EQUAL(0U, Orders);
  }

  // Guards against an order that is repeated after the settle time.
  void sendsNoOrderAfterOrderAnswerOfLeavingReplica() {
    OrdersLeave = true;
    play();
    CPPUNIT_ASSERT_EQUAL(1U, Orders);
    CPPUNIT_ASSERT(leaving());
    CPPUNIT_ASSERT(!Updater->isChanging("a", "m"));
    play();
    CPPUNIT_ASSERT_EQUAL(1U, Orders);
  }

  // A departure ends with the process; its successor gets orders.
  void ignoresAnswersOfAnotherProcess() {
    ReportsLeaving = true;
    play(1);
    CPPUNIT_ASSERT_EQUAL(0U, Orders);
    ReportsLeaving = false;
    OrderOutcome = order_outcome::AlreadyLoaded;
    play(2);
    CPPUNIT_ASSERT(!leaving());
    CPPUNIT_ASSERT_EQUAL(1U, Orders);
  }

  // Guards against a second, late copy of an answer to a caller's request that
  // is taken for a report.
  void ignoresAnswersToOtherRequests() {
    AnsweredRequest = "r";
    ReportsLeaving = true;
    LoadedVersion = 2;
    play();
    CPPUNIT_ASSERT(Reports > 0);
    CPPUNIT_ASSERT_EQUAL(0U, Orders);
    CPPUNIT_ASSERT(!leaving());
    CPPUNIT_ASSERT_EQUAL(uint64_t(1),
                         Env.Directory.find("a")->Versions.at("m"));
  }

  // Guards against replicas that never get new weights because the store also
  // lists versions of other services' models (review/6).
  void ordersNewVersionBesideModelsOfOtherServices() {
    OrderOutcome = order_outcome::AlreadyLoaded;
    for (const char *Model : {"a", "b", "y", "z"})
      Updater->setTargetVersion(Model, 2);
    addReplica("b", {{"m", 1}});
    play();
    CPPUNIT_ASSERT_EQUAL(2U, Orders);
    for (const char *Id : {"a", "b"})
      CPPUNIT_ASSERT_EQUAL(uint64_t(2),
                           Env.Directory.find(Id)->Versions.at("m"));
  }

  // Guards against shares that stay equal because a model of another service
  // has no demand in this pool.
  void sharesByDemandBesideModelsOfOtherServices() {
    OrderOutcome = order_outcome::AlreadyLoaded;
    weight_updater_options Options = updaterOptions();
    Options.ModelDemand = [] {
      return std::map<std::string, double, std::less<>>{{"m", 100}, {"n", 1}};
    };
    Updater = std::make_unique<weight_updater>(std::move(Options));
    for (unsigned I = 0; I < 8; ++I)
      addReplica(std::to_string(I), {{"m", 1}, {"n", 1}});
    for (const char *Model : {"m", "n", "z"})
      Updater->setTargetVersion(Model, 2);
    for (unsigned I = 0; I < 50 && Orders < 8; ++I)
      Env.runFor(milliseconds(100));
    Env.runFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(8U, Orders);
    unsigned UpdatedM = 0;
    for (unsigned I = 0; I < 8; ++I)
      UpdatedM +=
          Env.Directory.find(std::to_string(I))->Versions.at("m") == 2 ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(6U, UpdatedM);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(weight_updater_test,
                                      "weight_updater_test");

} // namespace cardamom
