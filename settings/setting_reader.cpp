#include "settings/setting_reader.h"

#include "base/identifier.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <filesystem>

namespace cardamom {

namespace {

constexpr uint64_t MaxDrainNoticeMs = 60000;
/// Renewing a lease takes up to a third of its duration. A lease below 2 s
/// would expire when the store is slow.
constexpr uint64_t MinLeaseMs = 2000;
/// A gateway renews its lease only while it sends orders to the replicas of a
/// pool, and tolerates an expired lease.
constexpr uint64_t MinGatewayLeaseMs = 1000;
constexpr uint64_t MaxLeaseMs = 60000;
constexpr uint64_t MaxStopTimeoutMs = 600000;
/// Replicas are polled at half of this interval.
/// A store call times out after 600 ms, and a watch has to be renewed within
/// the bound.
constexpr uint64_t MinBoundMs = 1000;
constexpr uint64_t MaxBoundMs = 60000;
constexpr milliseconds DefaultRevocationBound{5000};
constexpr milliseconds DefaultUsageWindow{5000};
constexpr uint64_t MaxUsageWindowS = 3600;
constexpr uint64_t MinHttpThreads = 4;
constexpr uint64_t MaxHttpThreads = 1024;
constexpr uint64_t MaxRetainedMib = 1024;
/// A request body and its envelope must fit into one frame of the inner
/// protocol, which holds at most 1 MiB.
constexpr uint64_t MaxBodyKib = 960;
constexpr uint64_t MaxStragglerMoves = 10;
constexpr double MaxCores = 1024;
constexpr uint64_t MaxPort = 65535;
constexpr size_t MaxSeedPeers = 16;
constexpr size_t BytesPerKib = 1024;
constexpr size_t BytesPerMib = 1024 * BytesPerKib;

constexpr std::array<std::string_view, 6> LogLevels = {"trace", "debug", "info",
                                                       "warn",  "error", "off"};

} // namespace

void setting_reader::addProblem(setting_id Id, std::string_view Allowed) {
  const std::string Flag(settingTable()[size_t(Id)].Flag);
  Problems += "--" + Flag + " (" + environmentName(Flag) + "): value \"" +
              text(Id) + "\": allowed is " + std::string(Allowed) + '\n';
}

daemon_settings setting_reader::read() {
  daemon_settings Settings;
  // The role determines which other settings are required.
  if (!readRole(Settings.Role))
    return Settings;
  readIdentity(Settings);
  if (Settings.Role == daemon_role::Reserve) {
    Settings.LogLevel = logLevel();
    readCheckpointServer(Settings);
    return Settings;
  }
  readNetwork(Settings);
  if (Settings.Role == daemon_role::Gateway)
    readGateway(Settings);
  if (Settings.Role == daemon_role::Agent)
    readAgent(Settings);
  else
    rejectAgentSettings();
  readLimits(Settings);
  checkDistinctListeners(Settings);
  return Settings;
}

bool setting_reader::readRole(daemon_role &Role) {
  const std::string &Text = text(setting_id::Role);
  for (const daemon_role Known : {daemon_role::Entry, daemon_role::Agent,
                                  daemon_role::Gateway, daemon_role::Reserve}) {
    if (Text != roleName(Known))
      continue;
    Role = Known;
    return true;
  }
  addProblem(setting_id::Role, "entry, agent, gateway or reserve");
  return false;
}

void setting_reader::readIdentity(daemon_settings &Settings) {
  Settings.Name = identifier(setting_id::Name);
  Settings.FailureDomain = identifier(setting_id::FailureDomain);
  Settings.Region = identifier(setting_id::Region);
}

void setting_reader::readNetwork(daemon_settings &Settings) {
  Settings.InnerListen = address(setting_id::InnerListen);
  const bool NeedsHttp = Settings.Role != daemon_role::Agent;
  if (NeedsHttp || !text(setting_id::HttpListen).empty())
    Settings.HttpListen = address(setting_id::HttpListen);
  Settings.Store = address(setting_id::Store);
  Settings.SeedPeers = addressList(setting_id::SeedPeers);
}

/// A reserve with an inner address stores checkpoints.
void setting_reader::readCheckpointServer(daemon_settings &Settings) {
  if (text(setting_id::InnerListen).empty())
    return;
  Settings.InnerListen = address(setting_id::InnerListen);
  Settings.Store = address(setting_id::Store);
  Settings.DataDir = dataDir();
}

void setting_reader::readGateway(daemon_settings &Settings) {
  Settings.ReadyListen = address(setting_id::ReadyListen);
  if (!text(setting_id::MetricsListen).empty())
    Settings.MetricsListen = address(setting_id::MetricsListen);
  Settings.StopTimeout = milliseconds(
      number(setting_id::StopTimeoutMs,
             {.Unit = "milliseconds", .Min = 0, .Max = MaxStopTimeoutMs}));
  Settings.Cores = cores();
  const number_range Bound{
      .Unit = "milliseconds", .Min = MinBoundMs, .Max = MaxBoundMs};
  Settings.LeaveBound = milliseconds(number(setting_id::LeaveBoundMs, Bound));
  Settings.ConfigBound = milliseconds(number(setting_id::ConfigBoundMs, Bound));
  const milliseconds RevocationBound =
      text(setting_id::RevocationBoundMs).empty()
          ? DefaultRevocationBound
          : milliseconds(number(setting_id::RevocationBoundMs, Bound));
  if (optionalFlag(setting_id::StrictRevocation))
    Settings.RevocationBound = RevocationBound;
  readDuties(Settings);
}

void setting_reader::readDuties(daemon_settings &Settings) {
  if (!text(setting_id::ControlApi).empty())
    Settings.ControlApi = address(setting_id::ControlApi);
  const milliseconds Window =
      text(setting_id::UsageWindowS).empty()
          ? DefaultUsageWindow
          : std::chrono::seconds(
                number(setting_id::UsageWindowS,
                       {.Unit = "seconds", .Min = 1, .Max = MaxUsageWindowS}));
  const std::string Duties = ',' + text(setting_id::Duties) + ',';
  if (Duties.find(",metering,") != std::string::npos)
    Settings.UsageWindow = Window;
}

void setting_reader::readAgent(daemon_settings &Settings) {
  Settings.Upstream = address(setting_id::Upstream);
  Settings.OrderPort = uint16_t(number(
      setting_id::OrderPort, {.Unit = "port", .Min = 1, .Max = MaxPort}));
}

void setting_reader::rejectAgentSettings() {
  for (const setting_id Id : {setting_id::Upstream, setting_id::OrderPort}) {
    if (!text(Id).empty())
      addProblem(Id, "no value for this role: the setting is for agents only");
  }
}

void setting_reader::readLimits(daemon_settings &Settings) {
  Settings.LogLevel = logLevel();
  Settings.DataDir = dataDir();
  Settings.DrainNotice = milliseconds(
      number(setting_id::DrainNoticeMs,
             {.Unit = "milliseconds", .Min = 0, .Max = MaxDrainNoticeMs}));
  Settings.Lease = milliseconds(
      number(setting_id::LeaseMs,
             {.Unit = "milliseconds",
              .Min = Settings.Role == daemon_role::Gateway ? MinGatewayLeaseMs
                                                           : MinLeaseMs,
              .Max = MaxLeaseMs}));
  Settings.HttpThreads = unsigned(number(
      setting_id::HttpThreads,
      {.Unit = "threads", .Min = MinHttpThreads, .Max = MaxHttpThreads}));
  Settings.RetainedAnswerBytes =
      BytesPerMib * number(setting_id::RetainedAnswersMib,
                           {.Unit = "MiB", .Min = 1, .Max = MaxRetainedMib});
  Settings.MaxBodyBytes =
      BytesPerKib * number(setting_id::MaxBodyKib,
                           {.Unit = "KiB", .Min = 1, .Max = MaxBodyKib});
  Settings.StragglerMoves =
      unsigned(number(setting_id::StragglerMoves,
                      {.Unit = "moves", .Min = 0, .Max = MaxStragglerMoves}));
}

static uint16_t parsePort(const std::string &Address) {
  const auto Parsed = parseIpPort(Address);
  return Parsed ? Parsed->Port : 0;
}

/// Two listeners on the same port would only fail later, when they bind, with
/// an error that does not name the settings.
void setting_reader::checkDistinctListeners(const daemon_settings &Settings) {
  const std::string &Http = Settings.HttpListen;
  if (!Http.empty() && Http == Settings.InnerListen)
    addProblem(setting_id::HttpListen, "an address other than --inner-listen");
  const uint16_t Order = Settings.OrderPort;
  if (Order != 0 &&
      (Order == parsePort(Http) || Order == parsePort(Settings.InnerListen)))
    addProblem(setting_id::OrderPort,
               "a port other than those of --inner-listen and --http-listen");
}

std::string setting_reader::identifier(setting_id Id) {
  if (!isIdentifier(text(Id)))
    addProblem(Id, IdentifierFormat);
  return text(Id);
}

std::string setting_reader::address(setting_id Id) {
  if (!parseIpPort(text(Id)))
    addProblem(Id, IpPortFormat);
  return text(Id);
}

std::vector<std::string> setting_reader::addressList(setting_id Id) {
  std::vector<std::string> Addresses;
  std::string_view Remaining = text(Id);
  while (!Remaining.empty()) {
    const size_t Comma = std::min(Remaining.find(','), Remaining.size());
    Addresses.emplace_back(Remaining.substr(0, Comma));
    // A trailing comma adds an empty address, which is rejected below.
    if (Comma + 1 == Remaining.size())
      Addresses.emplace_back();
    Remaining.remove_prefix(std::min(Comma + 1, Remaining.size()));
  }
  const bool AllValid = std::all_of(
      Addresses.begin(), Addresses.end(),
      [](const std::string &Address) { return bool(parseIpPort(Address)); });
  if (!AllValid || Addresses.size() > MaxSeedPeers)
    addProblem(Id, "at most 16 addresses separated by commas, each " +
                       std::string(IpPortFormat));
  return Addresses;
}

std::string setting_reader::logLevel() {
  const std::string &Level = text(setting_id::LogLevel);
  if (std::find(LogLevels.begin(), LogLevels.end(), Level) == LogLevels.end())
    addProblem(setting_id::LogLevel,
               "one of trace, debug, info, warn, error, off");
  return Level;
}

std::string setting_reader::dataDir() {
  const std::string &Directory = text(setting_id::DataDir);
  std::error_code Error;
  if (!Directory.empty() && !std::filesystem::is_directory(Directory, Error))
    addProblem(setting_id::DataDir, "an existing directory, or an empty value");
  return Directory;
}

bool setting_reader::optionalFlag(setting_id Id) {
  const std::string &Text = text(Id);
  if (Text != "true" && Text != "false" && !Text.empty())
    addProblem(Id, "true, false, or an empty value");
  return Text == "true";
}

double setting_reader::cores() {
  const std::string &Text = text(setting_id::Cores);
  double Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  const bool IsNumber =
      Error == std::errc() && End == Text.data() + Text.size();
  if (!IsNumber || !(Value > 0 && Value <= MaxCores))
    addProblem(setting_id::Cores,
               "a number greater than 0 and at most 1024, such as 0.25");
  return Value;
}

uint64_t setting_reader::number(setting_id Id, const number_range &Range) {
  const auto Value = parseWholeNumber(text(Id));
  if (Value && *Value >= Range.Min && *Value <= Range.Max)
    return *Value;
  addProblem(Id, "a whole number (" + std::string(Range.Unit) + ") from " +
                     std::to_string(Range.Min) + " to " +
                     std::to_string(Range.Max));
  return Range.Min;
}

} // namespace cardamom
