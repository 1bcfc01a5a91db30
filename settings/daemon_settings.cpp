#include "settings/daemon_settings.h"

#include "settings/setting_reader.h"
#include "settings/setting_table.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

namespace cardamom {

static constexpr int UsageExitCode = 2;
static constexpr int IndentSpaces = 2;
static constexpr size_t BytesPerKib = 1024;
static constexpr size_t BytesPerMib = 1024 * BytesPerKib;

namespace {

/// Flags that print a result for valid settings instead of running the daemon.
struct requested_output {
  bool CheckOnly = false;
  bool Print = false;
};

} // namespace

static std::string formatHelp(const setting_spec &Spec) {
  std::string Help(Spec.Help);
  if (!Spec.Default.empty())
    Help += " (default " + std::string(Spec.Default) + ")";
  return Help;
}

static void addOptions(CLI::App &App, setting_texts &Texts,
                       requested_output &Output) {
  for (const setting_spec &Spec : settingTable()) {
    std::string &Text = Texts[size_t(Spec.Id)];
    Text = Spec.Default;
    // The defaults are not passed to CLI11, which would replace an empty value
    // by the default. setting_reader rejects it like any other invalid value.
    App.add_option("--" + std::string(Spec.Flag), Text, formatHelp(Spec))
        ->envname(environmentName(Spec.Flag))
        ->expected(0, 1);
  }
  App.add_flag("--check-settings", Output.CheckOnly,
               "check the settings and exit");
  App.add_flag("--print-settings", Output.Print,
               "print the settings as JSON and exit");
}

/// Returns the result for --help (exit code 0) or for invalid flags.
static parse_result toParseResult(const CLI::App &App,
                                  const CLI::ParseError &Error) {
  std::ostringstream Text;
  const bool IsHelp = App.exit(Error, Text, Text) == 0;
  return {.ExitCode = IsHelp ? 0 : UsageExitCode,
          .Text = Text.str(),
          .Settings = {}};
}

parse_result parseDaemonSettings(std::span<const char *const> Args) {
  CLI::App App("Rollout service: runs one process of the fleet.", "cardamomd");
  setting_texts Texts;
  requested_output Output;
  addOptions(App, Texts, Output);
  try {
    App.parse(int(Args.size()), Args.data());
  } catch (const CLI::ParseError &Error) {
    return toParseResult(App, Error);
  }
  setting_reader Reader(Texts);
  parse_result Result{.Text = {}, .Settings = Reader.read()};
  if (!Reader.problems().empty()) {
    Result.ExitCode = UsageExitCode;
    Result.Text = Reader.problems();
  } else if (Output.Print) {
    Result.Text = formatSettings(Result.Settings) + '\n';
  } else if (Output.CheckOnly) {
    Result.Text = "the settings are valid\n";
  } else {
    Result.Run = true;
  }
  return Result;
}

std::string_view roleName(daemon_role Role) {
  switch (Role) {
  case daemon_role::Entry:
    return "entry";
  case daemon_role::Agent:
    return "agent";
  case daemon_role::Gateway:
    return "gateway";
  case daemon_role::Reserve:
    break;
  }
  return "reserve";
}

std::string formatSettings(const daemon_settings &Settings) {
  const nlohmann::ordered_json Json = {
      {"role", roleName(Settings.Role)},
      {"name", Settings.Name},
      {"failure_domain", Settings.FailureDomain},
      {"region", Settings.Region},
      {"inner_listen", Settings.InnerListen},
      {"http_listen", Settings.HttpListen},
      {"store", Settings.Store},
      {"seed_peers", Settings.SeedPeers},
      {"upstream", Settings.Upstream},
      {"order_port", Settings.OrderPort},
      {"log_level", Settings.LogLevel},
      {"data_dir", Settings.DataDir},
      {"drain_notice_ms", Settings.DrainNotice.count()},
      {"lease_ms", Settings.Lease.count()},
      {"http_threads", Settings.HttpThreads},
      {"retained_answers_mib", Settings.RetainedAnswerBytes / BytesPerMib},
      {"max_body_kib", Settings.MaxBodyBytes / BytesPerKib},
      {"straggler_moves", Settings.StragglerMoves},
      {"ready_listen", Settings.ReadyListen},
      {"metrics_listen", Settings.MetricsListen},
      {"stop_timeout_ms", Settings.StopTimeout.count()},
      {"cores", Settings.Cores},
      {"leave_bound_ms", Settings.LeaveBound.count()},
      {"config_bound_ms", Settings.ConfigBound.count()},
      {"control_api", Settings.ControlApi},
      {"usage_window_ms", Settings.UsageWindow.count()},
      {"revocation_bound_ms",
       Settings.RevocationBound
           ? nlohmann::ordered_json(Settings.RevocationBound->count())
           : nlohmann::ordered_json()}};
  return Json.dump(IndentSpaces, ' ', false,
                   nlohmann::json::error_handler_t::replace);
}

} // namespace cardamom
