#include "settings/daemon_settings.h"

#include "settings/setting_table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace cardamom {

static const std::vector<std::string> EntryArguments = {
    "--role=entry",   "--name=e1",      "--region=r1",   "--failure-domain=fd1",
    "--inner-listen", "127.0.0.1:7101", "--http-listen", "127.0.0.1:7601",
    "--store",        "127.0.0.1:7000"};
static const std::vector<std::string> AgentArguments = {
    "--role=agent",   "--name=m1",      "--region=r1",  "--failure-domain=fd1",
    "--inner-listen", "127.0.0.1:7102", "--store",      "127.0.0.1:7000",
    "--upstream",     "127.0.0.1:7602", "--order-port", "7900"};

static parse_result parse(std::vector<std::string> Arguments,
                          const std::vector<std::string> &Extra = {}) {
  Arguments.insert(Arguments.begin(), "cardamomd");
  Arguments.insert(Arguments.end(), Extra.begin(), Extra.end());
  std::vector<const char *> Args;
  Args.reserve(Arguments.size());
  for (const std::string &Argument : Arguments)
    Args.push_back(Argument.c_str());
  return parseDaemonSettings(Args);
}

class daemon_settings_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(daemon_settings_test);
  CPPUNIT_TEST(readsEntryAndAgent);
  CPPUNIT_TEST(rejectsBadValues);
  CPPUNIT_TEST(readsGatewayAndReserve);
  CPPUNIT_TEST(flagOverridesEnvironment);
  CPPUNIT_TEST(checksAndPrintsWithoutRunning);
  CPPUNIT_TEST(documentationNamesEachSetting);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against defaults or units that differ from the documentation.
  void readsEntryAndAgent() {
    const parse_result EntryResult =
        parse(EntryArguments, {"--seed-peers=127.0.0.1:1,127.0.0.1:2"});
    CPPUNIT_ASSERT_MESSAGE(EntryResult.Text, EntryResult.Run);
    CPPUNIT_ASSERT(EntryResult.Settings.Role == daemon_role::Entry);
    CPPUNIT_ASSERT_EQUAL(size_t(2), EntryResult.Settings.SeedPeers.size());
    CPPUNIT_ASSERT(EntryResult.Settings.DrainNotice == milliseconds(3000));
    CPPUNIT_ASSERT(EntryResult.Settings.Lease == milliseconds(10000));
    CPPUNIT_ASSERT_EQUAL(size_t(67108864),
                         EntryResult.Settings.RetainedAnswerBytes);
    CPPUNIT_ASSERT_EQUAL(size_t(983040), EntryResult.Settings.MaxBodyBytes);
    const parse_result AgentResult =
        parse(AgentArguments, {"--max-body-kib=2"});
    CPPUNIT_ASSERT_MESSAGE(AgentResult.Text, AgentResult.Run);
    CPPUNIT_ASSERT(AgentResult.Settings.Role == daemon_role::Agent);
    CPPUNIT_ASSERT_EQUAL(uint16_t(7900), AgentResult.Settings.OrderPort);
    CPPUNIT_ASSERT_EQUAL(size_t(2048), AgentResult.Settings.MaxBodyBytes);
    CPPUNIT_ASSERT(AgentResult.Settings.HttpListen.empty());
  }

  // Guards against a process that starts with an invalid setting.
  void rejectsBadValues() {
    for (const char *Bad : {"--role=server",
                            "--name=a b",
                            "--failure-domain=",
                            "--region=r/1",
                            "--inner-listen=127.0.0.1",
                            "--inner-listen=127.0.0.1:0",
                            "--store=localhost:7000",
                            "--seed-peers=127.0.0.1:1,",
                            "--seed-peers=,",
                            "--upstream=127.0.0.1:70000",
                            "--order-port=0",
                            "--order-port=65536",
                            "--order-port=7102",
                            "--log-level=loud",
                            "--data-dir=missing-folder",
                            "--drain-notice-ms=60001",
                            "--drain-notice-ms=-1",
                            "--lease-ms=1999",
                            "--lease-ms=1e4",
                            "--lease-ms=99999999999999999999",
                            "--http-threads=3",
                            "--retained-answers-mib=0",
                            "--max-body-kib=1025",
                            "--straggler-moves=11",
                            "--lease-ms=",
                            "--http-listen=127.0.0.1:7102"}) {
      // Remove the flag from the valid arguments; repeated flags are rejected.
      const std::string Argument = Bad;
      const std::string Flag = Argument.substr(0, Argument.find('='));
      std::vector<std::string> Arguments;
      for (size_t I = 0; I < AgentArguments.size(); ++I) {
        if (!AgentArguments[I].starts_with(Flag))
          Arguments.push_back(AgentArguments[I]);
        else if (AgentArguments[I] == Flag)
          ++I;
      }
      const parse_result Result = parse(Arguments, {Argument});
      CPPUNIT_ASSERT_MESSAGE(Argument, !Result.Run);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Argument, 2, Result.ExitCode);
      const std::string Value = Argument.substr(Argument.find('=') + 1);
      for (const std::string &Part :
           {Flag, '"' + Value + '"', std::string("allowed is")})
        CPPUNIT_ASSERT_MESSAGE(Result.Text,
                               Result.Text.find(Part) != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(2, parse(EntryArguments, {"--order-port=1"}).ExitCode);
    CPPUNIT_ASSERT_EQUAL(2,
                         parse(EntryArguments, {"--no-such-flag=1"}).ExitCode);
    CPPUNIT_ASSERT_EQUAL(2, parse(EntryArguments, {"--name=twice"}).ExitCode);
    CPPUNIT_ASSERT_EQUAL(2, parse({}).ExitCode);
  }

  // Guards against a gateway without an address for the readiness check, and
  // against a reserve that requires settings which it does not use.
  void readsGatewayAndReserve() {
    const std::vector<std::string> Gateway = {"--role=gateway",
                                              "--name=g",
                                              "--failure-domain=z",
                                              "--region=r",
                                              "--store=127.0.0.1:1",
                                              "--http-listen=127.0.0.1:2",
                                              "--inner-listen=127.0.0.1:3",
                                              "--lease-ms=1000"};
    CPPUNIT_ASSERT_EQUAL(2, parse(Gateway).ExitCode);
    const parse_result Valid =
        parse(Gateway, {"--ready-listen=127.0.0.1:4", "--stop-timeout-ms=9000",
                        "--cores=0.068", "--leave-bound-ms=3000",
                        "--config-bound-ms=4000"});
    CPPUNIT_ASSERT_MESSAGE(Valid.Text, Valid.Run);
    CPPUNIT_ASSERT(Valid.Settings.Role == daemon_role::Gateway);
    CPPUNIT_ASSERT(Valid.Settings.StopTimeout == milliseconds(9000));
    CPPUNIT_ASSERT_EQUAL(0.068, Valid.Settings.Cores);
    const std::vector<std::string> Reserve = {
        "--role=reserve", "--name=vm-1", "--failure-domain=z", "--region=r"};
    CPPUNIT_ASSERT(parse(Reserve, {}).Run);
    CPPUNIT_ASSERT_EQUAL(
        2, parse(Reserve, {"--inner-listen=127.0.0.1:4"}).ExitCode);
    CPPUNIT_ASSERT(parse(Reserve, {"--inner-listen=127.0.0.1:4",
                                   "--store=127.0.0.1:5", "--data-dir=/tmp"})
                       .Run);
    CPPUNIT_ASSERT(Valid.Settings.LeaveBound == milliseconds(3000));
    CPPUNIT_ASSERT(Valid.Settings.ConfigBound == milliseconds(4000));
    for (const char *Bad :
         {"--cores=0", "--cores=x", "--cores=1x", "--cores=nan", "--cores=2000",
          "--leave-bound-ms=1", "--config-bound-ms=1"}) {
      const parse_result Rejected =
          parse(Gateway, {"--ready-listen=127.0.0.1:4", Bad});
      CPPUNIT_ASSERT_EQUAL(2, Rejected.ExitCode);
      const std::string Flag(Bad, std::string_view(Bad).find('='));
      CPPUNIT_ASSERT(Rejected.Text.find(Flag) != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(2, parse(Gateway, {"--ready-listen=here"}).ExitCode);
    CPPUNIT_ASSERT(parse({"--role=reserve", "--name=s", "--failure-domain=z",
                          "--region=r"})
                       .Run);
  }

  // Guards against environment variables that override flags.
  void flagOverridesEnvironment() {
    ::setenv("CARDAMOM_LEASE_MS", "5000", 1);
    const parse_result FromEnvironment = parse(EntryArguments);
    const parse_result FromFlag = parse(EntryArguments, {"--lease-ms=6000"});
    ::setenv("CARDAMOM_LEASE_MS", "5 s", 1);
    const parse_result Rejected = parse(EntryArguments);
    ::unsetenv("CARDAMOM_LEASE_MS");
    CPPUNIT_ASSERT(FromEnvironment.Settings.Lease == milliseconds(5000));
    CPPUNIT_ASSERT(FromFlag.Settings.Lease == milliseconds(6000));
    CPPUNIT_ASSERT_EQUAL(2, Rejected.ExitCode);
    CPPUNIT_ASSERT(Rejected.Text.find("CARDAMOM_LEASE_MS") !=
                   std::string::npos);
  }

  // Guards against --check-settings and --print-settings starting the daemon.
  void checksAndPrintsWithoutRunning() {
    for (const char *Flag :
         {"--check-settings", "--print-settings", "--help"}) {
      const parse_result Result = parse(AgentArguments, {Flag});
      CPPUNIT_ASSERT(!Result.Run);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Result.Text, 0, Result.ExitCode);
    }
    const parse_result Bad =
        parse(AgentArguments, {"--check-settings", "--lease-ms=1"});
    CPPUNIT_ASSERT_EQUAL(2, Bad.ExitCode);
    const std::string Printed =
        parse(AgentArguments, {"--print-settings"}).Text;
    CPPUNIT_ASSERT(Printed.find("\"order_port\": 7900") != std::string::npos);
  }

  // Guards against a table in docs/settings.md without a setting or its
  // default.
  void documentationNamesEachSetting() {
    std::ifstream File("docs/settings.md");
    std::string Line;
    size_t Found = 0;
    while (std::getline(File, Line)) {
      for (const setting_spec &Spec : settingTable()) {
        if (!Line.starts_with("| `--" + std::string(Spec.Flag) + "` | `" +
                              environmentName(Spec.Flag) + "`"))
          continue;
        ++Found;
        CPPUNIT_ASSERT_MESSAGE(Line,
                               Line.find("| " + std::string(Spec.Default)) !=
                                   std::string::npos);
      }
    }
    CPPUNIT_ASSERT_EQUAL(settingTable().size(), Found);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(daemon_settings_test,
                                      "daemon_settings_test");

} // namespace cardamom
