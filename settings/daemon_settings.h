/// \file
/// Settings of cardamomd, read from flags and environment variables.
///
/// Use:
///   parse_result R = parseDaemonSettings({Argv, size_t(Argc)});
///   if (!R.Run) {
///     (R.ExitCode == 0 ? std::cout : std::cerr) << R.Text;
///     return R.ExitCode;
///   }
///   run(R.Settings);
///
/// Each flag --some-name has an environment variable CARDAMOM_SOME_NAME; the
/// flag takes precedence. docs/settings.md lists all settings.

#ifndef CARDAMOM_SETTINGS_DAEMON_SETTINGS_H
#define CARDAMOM_SETTINGS_DAEMON_SETTINGS_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

enum class daemon_role {
  Entry,
  Agent,
  /// Serves callers and sends their requests directly to the upstreams.
  Gateway,
  /// Runs on a spare VM of the fleet. Stores checkpoints if it has an inner
  /// address, and is idle otherwise.
  Reserve,
};

/// Validated settings. All addresses have the form "IP:port".
struct daemon_settings {
  daemon_role Role = daemon_role::Entry;
  /// Name of this entry, or of the agent's upstream, in the inventory.
  std::string Name;
  std::string FailureDomain;
  std::string Region;
  /// Listen address of the inner protocol.
  std::string InnerListen;
  /// Listen address of HTTP. On an agent it is optional and serves only metrics
  /// and health.
  std::string HttpListen;
  std::string Store;
  /// Inner addresses from which documents are fetched if the store is
  /// unavailable at startup.
  std::vector<std::string> SeedPeers;
  /// Agent only: address of the upstream on this VM.
  std::string Upstream;
  /// Agent only: local port whose binding acts as a lock, so that only one
  /// agent at a time sends orders to the upstream.
  uint16_t OrderPort = 0;
  std::string LogLevel = "info";
  /// Directory for bulk data; if empty, nothing is stored.
  std::string DataDir;
  /// How long an entry keeps serving but reports not ready after SIGTERM.
  milliseconds DrainNotice{3000};
  /// Duration of the lease that the owner of a trainer holds.
  milliseconds Lease{10000};
  unsigned HttpThreads = 512;
  /// Maximum total size of the finished responses that an agent retains.
  size_t RetainedAnswerBytes = size_t(64) << 20;
  /// Maximum size of a request body.
  size_t MaxBodyBytes = size_t(960) << 10;
  /// Gateway only: listen address of the readiness check for load balancers.
  std::string ReadyListen;
  /// Gateway only: listen address of metrics, in addition to the inner address.
  std::string MetricsListen;
  /// Gateway only: maximum time from SIGTERM to process exit.
  milliseconds StopTimeout{7500};
  /// Gateway only: CPU cores available to this process. Fleet-wide tasks are
  /// assigned to gateways with many cores.
  double Cores = 1;
  /// Gateway only: maximum time until a replica that leaves gets no new work.
  milliseconds LeaveBound{2000};
  /// Gateway only: maximum time until an accepted configuration is in force.
  milliseconds ConfigBound{2000};
  /// Gateway only: address of the platform's control API; empty = none.
  std::string ControlApi;
  /// Gateway only: length of the windows for which the usage of tenants is
  /// reported; zero = not reported.
  milliseconds UsageWindow{0};
  /// Gateway only: time without the store after which API keys are no longer
  /// accepted; nullopt = they are accepted at any age.
  std::optional<milliseconds> RevocationBound;
  /// Maximum number of times that a slow sample is moved to another upstream; 0
  /// disables moves.
  unsigned StragglerMoves = 2;
};

std::string_view roleName(daemon_role Role);

struct parse_result {
  /// Whether to run with Settings; otherwise the caller prints Text and exits
  /// with ExitCode.
  bool Run = false;
  /// 0 for --help, --check-settings and --print-settings; 2 for an invalid
  /// setting.
  int ExitCode = 0;
  std::string Text;
  daemon_settings Settings;
};

/// Args is argv, including the program name. Also reads the environment.
/// Invalid settings are reported in the result; the function does not print.
parse_result parseDaemonSettings(std::span<const char *const> Args);

/// Returns the settings as JSON, as printed by --print-settings.
std::string formatSettings(const daemon_settings &Settings);

} // namespace cardamom

#endif // CARDAMOM_SETTINGS_DAEMON_SETTINGS_H
