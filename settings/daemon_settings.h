/// \file
/// Settings of cardamomd, from flags and environment variables.
///
/// Use:
///   parse_result R = parseDaemonSettings({Argv, size_t(Argc)});
///   if (!R.Run) {
///     (R.ExitCode == 0 ? std::cout : std::cerr) << R.Text;
///     return R.ExitCode;
///   }
///   run(R.Settings);
///
/// Each flag --some-name has the environment variable CARDAMOM_SOME_NAME; the
/// flag wins. docs/settings.md lists all of them.

#ifndef CARDAMOM_SETTINGS_DAEMON_SETTINGS_H
#define CARDAMOM_SETTINGS_DAEMON_SETTINGS_H

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

enum class daemon_role {
  Entry,
  Agent,
  /// Serves callers and calls upstreams directly.
  Gateway,
  /// Keeps a VM in the fleet without a duty.
  Reserve,
};

/// All addresses are "IP:port" and have been checked.
struct daemon_settings {
  daemon_role Role = daemon_role::Entry;
  /// Name of the entry, or of the upstream that the agent serves, in the
  /// inventory.
  std::string Name;
  std::string FailureDomain;
  std::string Region;
  /// Where the inner protocol listens.
  std::string InnerListen;
  /// Where HTTP listens. On an agent it serves metrics and health only, and is
  /// empty when it is not wanted.
  std::string HttpListen;
  std::string Store;
  /// Inner addresses asked for documents at a start during a store outage.
  std::vector<std::string> SeedPeers;
  /// Agent only: the upstream on this VM.
  std::string Upstream;
  /// Agent only: local port that serves as the lock on giving orders.
  uint16_t OrderPort = 0;
  std::string LogLevel = "info";
  /// Folder for bulk data; empty = keep nothing.
  std::string DataDir;
  /// How long an entry stays up but unready after SIGTERM.
  milliseconds DrainNotice{3000};
  /// Lease of a trainer's owner.
  milliseconds Lease{10000};
  unsigned HttpThreads = 512;
  /// Bound on finished responses that an agent keeps.
  size_t RetainedAnswerBytes = size_t(64) << 20;
  /// Bound on the body of a request.
  size_t MaxBodyBytes = size_t(960) << 10;
  /// Gateway only: where a load balancer asks whether to send callers.
  std::string ReadyListen;
  /// Gateway only: where metrics are served besides the inner address.
  std::string MetricsListen;
  /// Gateway only: longest time from SIGTERM to the end of the process.
  milliseconds StopTimeout{7500};
  /// Gateway only: cores that this process may use. Duties of the whole fleet
  /// go to gateways with many.
  double Cores = 1;
  /// Gateway only: time within which a leaving replica gets no more work.
  milliseconds LeaveBound{2000};
  /// Bound on the moves of one slow sample; 0 leaves each where it started.
  unsigned StragglerMoves = 2;
};

std::string_view roleName(daemon_role Role);

struct parse_result {
  /// Whether to run with Settings; otherwise print Text and exit with ExitCode.
  bool Run = false;
  /// 0 after --help, --check-settings and --print-settings; 2 for a setting
  /// that is refused.
  int ExitCode = 0;
  std::string Text;
  daemon_settings Settings;
};

/// Args is argv, including the program's name. Reads the environment, and
/// neither throws for a bad setting nor prints.
parse_result parseDaemonSettings(std::span<const char *const> Args);

/// The settings as JSON, as --print-settings shows them.
std::string formatSettings(const daemon_settings &Settings);

} // namespace cardamom

#endif // CARDAMOM_SETTINGS_DAEMON_SETTINGS_H
