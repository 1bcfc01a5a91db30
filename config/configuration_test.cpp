#include "config/configuration.h"

#include "config/configuration_diff.h"
#include "config/configuration_document.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

static const std::string Header =
    "name,kind,pool,vm,region,failure_domain,inner_address,address,"
    "concurrency\n";
static const std::string Rows =
    "e1,entry,,vm1,r1,fd1,127.0.0.1:1,127.0.0.1:2,\n"
    "m1,model,notes,vm2,r1,fd1,127.0.0.1:3,127.0.0.1:4,8\r\n"
    "\"p1\",plain,counter,vm3,r1,fd2,127.0.0.1:5,127.0.0.1:6,2\n";
static const std::string Rules = R"({
  "routes": [{"prefix": "/counter", "pool": "counter", "timeout_ms": 5000,
    "non_idempotent": [{"method": "POST", "path_prefix": "/counter/deposits"}]}],
  "trainers": [{"name": "t1", "priority": 1, "model": "notes",
    "staleness_bound": 2, "scorer": "counter"}],
  "upstreams": [{"name": "p1", "retiring": true}],
  "weights": {"idle": 0.3, "staleness": 0.7}})";

static configuration parse(const std::string &Csv, const std::string &Json) {
  return parseConfiguration({.InventoryCsv = Csv, .RulesJson = Json});
}

/// Fails unless parsing throws config_error with a message that contains all
/// Parts.
static void assertRejected(const std::string &Csv, const std::string &Json,
                           const std::vector<std::string> &Parts) {
  try {
    parse(Csv, Json);
  } catch (const config_error &Error) {
    const std::string What = Error.what();
    for (const std::string &Part : Parts)
      CPPUNIT_ASSERT_MESSAGE(
          std::string(What).append(" does not contain ").append(Part),
          What.find(Part) != std::string::npos);
    return;
  }
  CPPUNIT_FAIL("input was accepted; expected an error with " + Parts.back());
}

class configuration_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(configuration_test);
  CPPUNIT_TEST(readsAllFields);
  CPPUNIT_TEST(rejectsBadInventory);
  CPPUNIT_TEST(rejectsLargeInventory);
  CPPUNIT_TEST(rejectsBadRules);
  CPPUNIT_TEST(findsLongestRoute);
  CPPUNIT_TEST(normalisesPathOfNonIdempotentCall);
  CPPUNIT_TEST(reportsEachDifference);
  CPPUNIT_TEST(keepsFiftyEditsInDocument);
  CPPUNIT_TEST(rejectsBadDocument);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against columns or rules that are parsed into the wrong field.
  void readsAllFields() {
    const configuration Config = parse("\xef\xbb\xbf" + Header + Rows, Rules);
    CPPUNIT_ASSERT_EQUAL(size_t(3), Config.Assets.size());
    const asset Expected{.Name = "m1",
                         .Kind = asset_kind::Model,
                         .Pool = "notes",
                         .Vm = "vm2",
                         .Region = "r1",
                         .FailureDomain = "fd1",
                         .InnerAddress = "127.0.0.1:3",
                         .Address = "127.0.0.1:4",
                         .Concurrency = 8};
    CPPUNIT_ASSERT(*Config.findAsset("m1") == Expected);
    CPPUNIT_ASSERT_EQUAL(size_t(1), Config.assetsInPool("counter").size());
    CPPUNIT_ASSERT(Config.Routes[0].Timeout == milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(uint64_t(2), Config.findTrainer("t1")->StalenessBound);
    CPPUNIT_ASSERT_EQUAL(std::string("counter"),
                         Config.findTrainer("t1")->Scorer);
    CPPUNIT_ASSERT(Config.isRetiring("p1") && !Config.isRetiring("m1"));
    CPPUNIT_ASSERT_EQUAL(0.7, Config.StalenessWeight);
  }

  // Guards against an invalid row that is accepted or skipped, or whose error
  // names the wrong line or field.
  void rejectsBadInventory() {
    struct bad_row {
      std::string Row;
      std::vector<std::string> Parts;
    };
    const std::vector<bad_row> InvalidInputs = {
        {"x,model,notes,v,r,f,127.0.0.1:7,127.0.0.1:8", {":5", "8 fields"}},
        {"x,model,notes,v,r,f,127.0.0.1:7,127.0.0.1:8,1,2", {"10 fields"}},
        {"x y,model,notes,v,r,f,127.0.0.1:7,127.0.0.1:8,1", {"name", "x y"}},
        {"x,modle,notes,v,r,f,127.0.0.1:7,127.0.0.1:8,1", {"kind", "modle"}},
        {"x,model,,v,r,f,127.0.0.1:7,127.0.0.1:8,1", {"pool"}},
        {"x,entry,p,v,r,f,127.0.0.1:7,127.0.0.1:8,1", {"pool", "\"p\""}},
        {"x,plain,notes,v,r,f,127.0.0.1:7,127.0.0.1:8,1", {"line 3"}},
        {"m1,model,notes,v,r,f,127.0.0.1:7,127.0.0.1:8,1", {"line 3"}},
        {"x,model,notes,v,r,f,127.0.0.1:7,127.0.0.1:6,1", {"line 4"}},
        {"x,model,notes,v,r,f,127.0.0.1:7,127.0.0.1:7,1", {"line 5"}},
        {"x,model,notes,v,r,f,127.0.0.1,127.0.0.1:8,1", {"inner_address"}},
        {"x,model,notes,v,r,f,127.0.0.1:7,127.0.0.01:8,1", {"\"127.0.0.01:8"}},
        {"x,model,notes,v,r,f,127.0.0.1:7,localhost:8,1", {"localhost"}},
        {"x,model,notes,v,r,f,127.0.0.1:7,127.0.0.1:65536,1", {"65536"}},
        {"x,model,notes,v,r,f,127.0.0.1:7,127.0.0.1:8,0", {"concurrency"}},
        {"x,model,notes,v,r,f,127.0.0.1:7,127.0.0.1:8,4097", {"4097"}},
        {"x,model,notes,v,r,f,127.0.0.1:7,127.0.0.1:8,-1", {"-1"}},
        {"\"x", {"not closed"}},
        {"\"x\"y,model", {"after a quoted field"}},
        {"x\"y,model", {"inside a quoted field"}},
        {std::string("x\0y", 3), {":5", "NUL byte"}}};
    for (const bad_row &Row : InvalidInputs) {
      auto Parts = Row.Parts;
      Parts.emplace_back("inventory.csv:5");
      Parts.emplace_back("allowed is");
      assertRejected(Header + Rows + Row.Row, Rules, Parts);
    }
    assertRejected("", Rules, {"empty"});
    assertRejected("name,kind\n" + Rows, Rules, {"\"pool\" is missing"});
    assertRejected("name,owner\n" + Rows, Rules, {"\"owner\""});
    assertRejected(Header, "{}", {"no row is an entry"});
  }

  // Guards against a configuration that is too large for the store or a VM.
  void rejectsLargeInventory() {
    std::string Csv = Header;
    for (size_t I = 0; I <= MaxInventoryRows; ++I) {
      const std::string N = std::to_string(I + 1);
      Csv.append("e").append(N).append(",entry,,v,r,f,127.0.0.1:").append(N);
      Csv.append(",127.0.0.2:").append(N).append(",1\n");
    }
    assertRejected(Csv, "{}", {"inventory.csv:4098", "at most 4096"});
    const std::string Padding(MaxConfigurationBytes, ' ');
    assertRejected(Header + Rows, "{}" + Padding, {"at most 900000"});
  }

  // Guards against an invalid rule that is silently ignored or misinterpreted.
  void rejectsBadRules() {
    struct bad_rules {
      std::string Json;
      std::vector<std::string> Parts;
    };
    const std::string Trainer =
        R"("name":"t","priority":1,"model":"notes","staleness_bound":1)";
    const std::vector<bad_rules> InvalidInputs = {
        {"{\n\"routes\": [}", {"rules.json:2", "well-formed"}},
        {"[]", {"an object"}},
        {R"({"route": []})", {"\"route\"", "routes, trainers"}},
        {R"({"routes": {}})", {"an array"}},
        {R"({"routes": [], "routes": []})", {"repeated"}},
        {R"({"routes": [{"prefix": "/a"}]})", {"routes[0].pool", "missing"}},
        {R"({"routes": [{"prefix": "/a", "pool": "x"}]})", {"\"x\""}},
        {R"({"routes": [{"prefix": "/a", "pool": "notes"}]})", {"\"plain\""}},
        {R"({"routes": [{"prefix": "/a/", "pool": "counter"}]})", {"\"/a/\""}},
        {R"({"routes": [{"prefix": "/a%62", "pool": "counter"}]})", {"/a%62"}},
        {R"({"routes": [{"prefix": "/status/x", "pool": "counter"}]})",
         {"outside /status"}},
        {R"({"routes": [{"prefix":"/a","pool":"counter"},
                        {"prefix":"/a","pool":"counter"}]})",
         {"routes[1].prefix"}},
        {R"({"routes": [{"prefix":"/a","pool":"counter","timeout_ms":99}]})",
         {"routes[0].timeout_ms", "\"99\"", "100 to 300000"}},
        {R"({"routes": [{"prefix":"/a","pool":"counter","timeout_ms":300001}]})",
         {"\"300001\""}},
        {R"({"routes": [{"prefix":"/a","pool":"counter","non_idempotent":
            [{"method":"post","path_prefix":"/a"}]}]})",
         {"routes[0].non_idempotent[0].method", "\"post\""}},
        {R"({"routes": [{"prefix":"/a","pool":"counter","non_idempotent":
            [{"method":"POST","path_prefix":"/b"}]}]})",
         {"that this route serves"}},
        {R"({"routes": [{"prefix":"/a/b","pool":"counter"},
            {"prefix":"/a","pool":"counter","non_idempotent":
            [{"method":"POST","path_prefix":"/a/b/c"}]}]})",
         {"routes[1].non_idempotent[0].path_prefix"}},
        {"{\"trainers\": [{" + Trainer + "},{" + Trainer + "}]}",
         {"trainers[1].name"}},
        {"{\"trainers\": [{" + Trainer + "}," +
             R"({"name":"u","priority":1,"model":"notes","staleness_bound":1}]})",
         {"trainers[1].priority"}},
        {R"({"trainers": [{"name":"t","priority":1,"model":"counter",
             "staleness_bound":1}]})",
         {"trainers[0].model", "\"counter\""}},
        {R"({"trainers": [{"name":"t","priority":1,"model":"notes",
             "staleness_bound":-1}]})",
         {"staleness_bound", "\"-1\""}},
        {"{\"trainers\": [{" + Trainer + ",\"scorer\":\"x\"}]}",
         {"trainers[0].scorer"}},
        {R"({"upstreams": [{"name":"x"}]})", {"upstreams[0].name"}},
        {R"({"upstreams": [{"name":"e1"}]})", {"\"e1\""}},
        {R"({"upstreams": [{"name":"p1"},{"name":"p1"}]})", {"upstreams[1]"}},
        {R"({"upstreams": [{"name":"p1","retiring":1}]})", {"true or false"}},
        {R"({"weights": {"idle":0.5,"staleness":0.4}})", {"sum is 1"}},
        {R"({"weights": {"idle":1.5,"staleness":-0.5}})", {"weights.idle"}},
        {R"({"weights": {"idle":1e999,"staleness":0}})", {"well-formed"}},
        {std::string("{\0}", 3), {"NUL byte"}},
        {std::string(100000, '['), {"nested too deeply"}}};
    for (const bad_rules &Rules : InvalidInputs)
      assertRejected(Header + Rows, Rules.Json, Rules.Parts);
  }

  // Guards against a prefix that matches part of a segment: "/counterfeit" must
  // not be routed to the pool of "/counter".
  void findsLongestRoute() {
    const configuration Config = parse(Header + Rows, R"({"routes": [
        {"prefix":"/counter","pool":"counter"},
        {"prefix":"/counter/fast","pool":"counter"}]})");
    CPPUNIT_ASSERT(Config.findRoute("/counter") == &Config.Routes[0]);
    CPPUNIT_ASSERT(Config.findRoute("/counter/fastest") == &Config.Routes[0]);
    CPPUNIT_ASSERT(Config.findRoute("/counter/fast?x=/") == &Config.Routes[1]);
    CPPUNIT_ASSERT(Config.findRoute("/counterfeit") == nullptr);
    CPPUNIT_ASSERT(Config.findRoute("") == nullptr);
  }

  // Guards against a retry of a non-idempotent call whose path is not in
  // normalised form, but which the upstream accepts.
  void normalisesPathOfNonIdempotentCall() {
    const configuration Config = parse(Header + Rows, Rules);
    const route_rule &Route = Config.Routes[0];
    for (const char *Path :
         {"/counter/deposits", "/counter/deposits/7", "/counter//deposits/",
          "/counter/%64eposits", "/counter/x/../deposits?y",
          "/./counter/deposits", "/counter%2fdeposits"})
      CPPUNIT_ASSERT_MESSAGE(Path, !isIdempotent(Route, "POST", Path));
    CPPUNIT_ASSERT(isIdempotent(Route, "GET", "/counter/deposits"));
    CPPUNIT_ASSERT(isIdempotent(Route, "POST", "/counter/depositslip"));
    CPPUNIT_ASSERT(isIdempotent(Route, "POST", "/../.."));
  }

  // Guards against a change that is missing from the diff that operators see.
  void reportsEachDifference() {
    const configuration Old = parse(Header + Rows, Rules);
    configuration New = Old;
    CPPUNIT_ASSERT(diffConfigurations(Old, New).empty());
    std::swap(New.Assets[0], New.Assets[2]);
    CPPUNIT_ASSERT(diffConfigurations(Old, New).empty());
    New.Assets[1].Concurrency = 9;
    New.Assets.pop_back();
    New.Trainers[0].Name = "t2";
    New.IdleWeight = 0.4;
    const auto Changes = diffConfigurations(Old, New);
    CPPUNIT_ASSERT_EQUAL(size_t(5), Changes.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("changed asset m1: concurrency \"8\" -> \"9\""),
        formatChange(Changes[0]));
    CPPUNIT_ASSERT(Changes[1].Kind == change_kind::Removed);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Changes[1].Name);
    CPPUNIT_ASSERT(Changes[2].Kind == change_kind::Added);
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), Changes[3].Name);
    CPPUNIT_ASSERT_EQUAL(std::string("idle"), Changes[4].Field);
  }

  // Guards against a history that grows beyond the store's size limit, against
  // history entries without their version, and against an author or summary
  // (too long or not UTF-8) that makes the document unreadable.
  void keepsFiftyEditsInDocument() {
    configuration_document Current;
    for (int I = 1; I <= 60; ++I) {
      const configuration_edit Edit{.EditId = "edit" + std::to_string(I),
                                    .Author =
                                        std::string(127, 'a') + "\xc3\xa3",
                                    .Time = "2026-12-04T04:00:00Z",
                                    .Summary = std::string(1000, '\xff'),
                                    .Inventory = Header + Rows,
                                    .Rules = Rules};
      const std::string Json = formatDocument(applyEdit(Current, Edit));
      Current = readDocument(Json, uint64_t(I) * 10);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(127, 'a'), Current.Author);
    CPPUNIT_ASSERT_EQUAL(MaxHistoryEntries, Current.History.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t(600), Current.History.front().Version);
    CPPUNIT_ASSERT_EQUAL(uint64_t(110), Current.History.back().Version);
    CPPUNIT_ASSERT_EQUAL(std::string("edit11"), Current.History.back().EditId);
    const configuration Config =
        parseConfigurationDocument(formatDocument(Current), 601);
    CPPUNIT_ASSERT_EQUAL(uint64_t(601), Config.Version);
    CPPUNIT_ASSERT_EQUAL(std::string("edit60"), Config.EditId);
    CPPUNIT_ASSERT(Config.Assets == parse(Header + Rows, Rules).Assets);
  }

  // Guards against a process that installs an invalid document.
  void rejectsBadDocument() {
    for (const char *Json :
         {"", "{}", "null", R"({"edit_id":"e","author":"a","inventory":""})",
          R"({"edit_id":"e","author":"a","inventory":"","rules":{},"x":1})",
          R"({"edit_id":"e","author":"a","inventory":"","rules":{}})",
          R"({"edit_id":"e","author":"a","inventory":1,"rules":{}})",
          R"({"edit_id":"","author":"a","inventory":"","rules":{}})"})
      CPPUNIT_ASSERT_THROW(parseConfigurationDocument(Json, 1), config_error);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(configuration_test, "configuration_test");

} // namespace cardamom
