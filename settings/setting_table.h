/// \file
/// Names, defaults and help texts of the settings of cardamomd.

#ifndef CARDAMOM_SETTINGS_SETTING_TABLE_H
#define CARDAMOM_SETTINGS_SETTING_TABLE_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace cardamom {

enum class setting_id : size_t {
  Role,
  Name,
  FailureDomain,
  Region,
  InnerListen,
  HttpListen,
  Store,
  SeedPeers,
  Upstream,
  OrderPort,
  LogLevel,
  DataDir,
  DrainNoticeMs,
  LeaseMs,
  HttpThreads,
  RetainedAnswersMib,
  MaxBodyKib,
  StragglerMoves,
  ReadyListen,
  MetricsListen,
  StopTimeoutMs,
  Cores,
  LeaveBoundMs,
  ConfigBoundMs,
  StrictRevocation,
  RevocationBoundMs,
  ControlApi,
  Duties,
  UsageWindowS,
  Count
};

struct setting_spec {
  setting_id Id;
  /// Without the leading dashes, such as "lease-ms".
  std::string_view Flag;
  std::string_view Default;
  std::string_view Help;
};

/// Returns all settings, in the order of setting_id.
std::span<const setting_spec> settingTable();

/// Returns "CARDAMOM_LEASE_MS" for "lease-ms".
std::string environmentName(std::string_view Flag);

} // namespace cardamom

#endif // CARDAMOM_SETTINGS_SETTING_TABLE_H
