#include "ctl/command_line.h"

#include "config/configuration.h"
#include "config/configuration_document.h"
#include "store/store_client.h"
#include "store/test_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <sstream>

namespace cardamom {

static const std::string Csv = "examples/agencia/inventory.csv";
static const std::string Rules = "examples/agencia/rules.json";

namespace {

struct command_result {
  int Code = 0;
  std::string Out;
  std::string Err;
};

} // namespace

static command_result run(const std::vector<std::string> &Arguments) {
  std::vector<const char *> Args = {"cardamomctl"};
  for (const std::string &Argument : Arguments)
    Args.push_back(Argument.c_str());
  std::ostringstream Out;
  std::ostringstream Err;
  const int Code = runCommandLine(Args, Out, Err);
  return {Code, Out.str(), Err.str()};
}

static command_result expect(int Code,
                             const std::vector<std::string> &Arguments) {
  command_result Result = run(Arguments);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(Result.Out + Result.Err, Code, Result.Code);
  return Result;
}

static void assertContains(const std::string &Text, const std::string &Part) {
  CPPUNIT_ASSERT_MESSAGE(Text, Text.find(Part) != std::string::npos);
}

class command_line_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(command_line_test);
  CPPUNIT_TEST(rejectsBadUsage);
  CPPUNIT_TEST(appliesAndReadsBack);
  CPPUNIT_TEST(conflictReportsAcceptedEdit);
  CPPUNIT_TEST(replacesCorruptConfiguration);
  CPPUNIT_TEST(drainsAndUndrains);
  CPPUNIT_TEST(queriesEntries);
  CPPUNIT_TEST(rejectsDeeplyNestedAnswers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a wrong exit code, which scripts rely on to detect failures.
  void rejectsBadUsage() {
    expect(0, {"--help"});
    expect(0, {"validate", Csv, Rules});
    expect(2, {});
    expect(2, {"aply", Csv, Rules});
    expect(2, {"get", "--store", "localhost:80"});
    assertContains(expect(2, {"get"}).Err, "CARDAMOM_STORE");
    assertContains(expect(2, {"status"}).Err, "CARDAMOM_ENTRY");
    assertContains(expect(3, {"validate", "missing.csv", Rules}).Err,
                   "missing.csv");
    assertContains(expect(3, {"validate", Rules, Rules}).Err, "rules.json:1");
    const std::string StoppedAddress = test_store().address();
    expect(5, {"get", "--store", StoppedAddress, "--timeout-ms", "100"});
    expect(5, {"status", "--entry", StoppedAddress});
  }

  // Guards against files that are altered between apply and get, and against a
  // write when nothing changed.
  void appliesAndReadsBack() {
    test_store Server;
    const std::string Store = "--store=" + Server.address();
    expect(3, {"get", Store});
    assertContains(expect(0, {"diff", Csv, Rules, Store}).Out,
                   "added asset model-8");
    const auto Applied =
        expect(0, {"apply", Csv, Rules, Store, "--author", "ana", "--json"});
    const auto Json = nlohmann::json::parse(Applied.Out);
    CPPUNIT_ASSERT_EQUAL(std::string("applied"),
                         Json["outcome"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(1, Json["version"].get<int>());
    std::ifstream File(Csv);
    std::ostringstream Text;
    Text << File.rdbuf();
    const auto Read = expect(0, {"get", "--part", "inventory", Store});
    CPPUNIT_ASSERT_EQUAL(Text.str(), Read.Out);
    assertContains(expect(0, {"apply", Csv, Rules, Store}).Out,
                   "nothing to change");
    assertContains(expect(0, {"diff", Csv, Rules, Store}).Out, "no change");
    assertContains(expect(0, {"history", Store}).Out, "ana");
    CPPUNIT_ASSERT_EQUAL(1U, Server.Writes.load());
  }

  // Guards against a conflict message that does not name the version and author
  // of the edit that was accepted.
  void conflictReportsAcceptedEdit() {
    test_store Server;
    const std::string Store = "--store=" + Server.address();
    Server.BeforeWrite = [&](unsigned Index) {
      if (Index == 0)
        expect(0, {"apply", Csv, Rules, Store, "--author", "rui"});
    };
    const auto Rejected =
        expect(4, {"apply", Csv, Rules, Store, "--author", "ana"});
    assertContains(Rejected.Err, "the current version is 1,");
    assertContains(Rejected.Err, "by rui");
    assertContains(expect(4, {"apply", Csv, "examples/agencia/rules.json",
                              Store, "--if-version", "7"})
                       .Err,
                   "by rui");
  }

  // Guards against an invalid document in the store that apply cannot replace.
  void replacesCorruptConfiguration() {
    test_store Server;
    const std::string Store = "--store=" + Server.address();
    Server.overwrite(std::string(ConfigurationKey), "{damaged");
    assertContains(expect(3, {"get", Store}).Err, "config/current:1");
    expect(3, {"drain", "model-1", Store});
    assertContains(expect(0, {"apply", Csv, Rules, Store}).Err, "warning");
    expect(0, {"get", Store});
  }

  // Guards against a drain that changes other rules, and against an unknown
  // upstream name that is silently accepted.
  void drainsAndUndrains() {
    test_store Server;
    const std::string Store = "--store=" + Server.address();
    expect(3, {"drain", "model-1", Store});
    expect(0, {"apply", Csv, Rules, Store});
    expect(0, {"drain", "model-1", Store});
    expect(0, {"drain", "counter-1", Store});
    assertContains(expect(0, {"drain", "model-1", Store}).Out,
                   "nothing to change");
    expect(3, {"drain", "model-99", Store});
    expect(3, {"drain", "entry-1", Store});
    const auto Read = [&] {
      return parseConfigurationDocument(
          Server.value(std::string(ConfigurationKey)), 1);
    };
    CPPUNIT_ASSERT(Read().isRetiring("model-1"));
    CPPUNIT_ASSERT(Read().isRetiring("counter-1"));
    CPPUNIT_ASSERT(Read().findUpstream("model-1")->ChecksFence);
    expect(0, {"undrain", "model-1", Store});
    CPPUNIT_ASSERT(!Read().isRetiring("model-1"));
    assertContains(expect(0, {"history", Store}).Out, "undrain model-1");
  }

  // Guards against wrong paths, encodings or query strings in requests to the
  // entry.
  void queriesEntries() {
    httplib::Server Server;
    std::string Target;
    Server.Get(".*", [&](const auto &Request, auto &Response) {
      Target = Request.target;
      Response.status = Target == "/trace/none" ? 404 : 200;
      Response.set_content(R"({"upstreams":[{"name":"m1"}]})",
                           "application/json");
    });
    const int Port = Server.bind_to_any_port("127.0.0.1");
    std::thread Thread([&] { Server.listen_after_bind(); });
    const std::string Entry = "--entry=127.0.0.1:" + std::to_string(Port);
    assertContains(expect(0, {"status", Entry}).Out, "name: m1");
    CPPUNIT_ASSERT_EQUAL(std::string("/status"), Target);
    expect(0, {"trace", "a/b", Entry, "--json"});
    CPPUNIT_ASSERT_EQUAL(std::string("/trace/a%2Fb"), Target);
    expect(3, {"trace", "none", Entry});
    expect(0, {"explain-route", "/c?d=1", "--method", "POST", Entry});
    CPPUNIT_ASSERT_EQUAL(std::string("/explain?path=%2Fc%3Fd%3D1&method=POST"),
                         Target);
    Server.stop();
    Thread.join();
  }

  // Guards against a stack overflow when an answer is printed.
  void rejectsDeeplyNestedAnswers() {
    httplib::Server Server;
    Server.Get(".*", [&](const auto &, auto &Response) {
      const size_t Depth = 200000;
      Response.set_content(std::string(Depth, '[') + std::string(Depth, ']'),
                           "application/json");
    });
    const int Port = Server.bind_to_any_port("127.0.0.1");
    std::thread Thread([&] { Server.listen_after_bind(); });
    const std::string Entry = "--entry=127.0.0.1:" + std::to_string(Port);
    const command_result Result = run({"status", Entry});
    Server.stop();
    Thread.join();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Result.Err, 5, Result.Code);
    assertContains(Result.Err, "malformed JSON");
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(command_line_test, "command_line_test");

} // namespace cardamom
