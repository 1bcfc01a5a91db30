#include "config/configuration_diff.h"
#include "ctl/commands.h"
#include "ctl/config_files.h"
#include "ctl/configuration_editor.h"
#include "ctl/report.h"
#include "store/store_client.h"

#include <array>
#include <ctime>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <random>
#include <sstream>
#include <thread>

namespace cardamom {

using nlohmann::json;

/// Maximum random delay before an edit is retried on a newer version. The delay
/// keeps concurrent editors from conflicting again and again.
static constexpr int MaxConflictPauseMs = 100;

/// Returns 128 random bits in hexadecimal, unique across operators.
static std::string newEditId() {
  std::random_device Random;
  std::ostringstream Id;
  for (int I = 0; I < 4; ++I)
    Id << std::hex << std::setw(8) << std::setfill('0') << Random();
  return Id.str();
}

static std::string formatUtc(std::time_t Time) {
  std::tm Parts{};
  gmtime_r(&Time, &Parts);
  std::array<char, 32> Text{};
  const size_t Size =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return {Text.data(), Size};
}

static configuration_edit newEdit(const store_access &Access,
                                  std::string Summary) {
  return {.EditId = newEditId(),
          .Author = Access.Author,
          .Time = formatUtc(std::time(nullptr)),
          .Summary = std::move(Summary),
          .Inventory = {},
          .Rules = {}};
}

/// Returns the current configuration. If there is none, or it is invalid,
/// returns an empty one, so that an operator can replace an invalid
/// configuration.
static configuration parseOrEmpty(console &Console,
                                  const current_configuration &Current) {
  std::string ParseError = Current.ParseError;
  if (Current.Document.Version > 0 && ParseError.empty()) {
    try {
      return parseConfiguration({.InventoryCsv = Current.Document.Inventory,
                                 .RulesJson = Current.Document.Rules});
    } catch (const config_error &Error) {
      ParseError = Error.what();
    }
  }
  if (!ParseError.empty())
    Console.Err << "warning: the configuration in the store is invalid and "
                   "will be replaced: "
                << ParseError << '\n';
  return {};
}

static bool hasSameContent(const configuration_document &Current,
                           const loaded_files &Loaded) {
  return Current.Version > 0 && Current.Inventory == Loaded.Inventory &&
         json::parse(Current.Rules, nullptr, false) ==
             json::parse(Loaded.Rules, nullptr, false);
}

exit_code runApply(console &Console, const store_access &Access,
                   const apply_options &Options) {
  const loaded_files Loaded = loadFiles(Options.Files);
  store_client Store({.Address = Access.Address});
  configuration_editor Editor(Store, {.Timeout = Access.Timeout});
  const current_configuration Current = Editor.read();
  if (!Current.Available)
    return reportError(Console, exit_code::Unavailable,
                       "the store is unavailable and nothing was written: " +
                           Current.Message);
  if (Options.IfVersion && *Options.IfVersion != Current.Document.Version)
    return reportEdit(
        Console, "",
        {.Outcome = edit_outcome::Conflict, .Current = Current.Document});
  if (Current.ParseError.empty() && hasSameContent(Current.Document, Loaded))
    return reportUnchanged(Console, Current.Document);
  const auto Changes =
      diffConfigurations(parseOrEmpty(Console, Current), Loaded.Config);
  if (!Console.Json)
    reportChanges(Console, Changes);
  configuration_edit Edit =
      newEdit(Access, Options.Reason.empty() ? summariseChanges(Changes)
                                             : Options.Reason);
  Edit.Inventory = Loaded.Inventory;
  Edit.Rules = Loaded.Rules;
  return reportEdit(Console, Edit.EditId, Editor.write(Current.Document, Edit));
}

/// Returns Rules with "retiring" of the upstream Name set to Retiring.
static std::string setRetiring(const std::string &Rules,
                               const std::string &Name, bool Retiring) {
  json Parsed = json::parse(Rules);
  json &Upstreams = Parsed["upstreams"];
  if (Upstreams.is_null())
    Upstreams = json::array();
  for (json &Upstream : Upstreams) {
    if (Upstream["name"] != Name)
      continue;
    Upstream["retiring"] = Retiring;
    return Parsed.dump();
  }
  Upstreams.push_back({{"name", Name}, {"retiring", Retiring}});
  return Parsed.dump();
}

namespace {

/// Runs a drain or undrain; retries on the newer version after a conflict.
class drain_command {
public:
  drain_command(console &Console, const store_access &Access,
                const std::string &Name, bool Retiring)
      : Console(Console), Access(Access), Name(Name), Retiring(Retiring),
        Store({.Address = Access.Address}),
        Editor(Store, {.Timeout = Access.Timeout}) {}

  exit_code run();

private:
  void checkName(const configuration &Config) const;
  exit_code attemptEdit(bool IsLast, bool &Retry);

  console &Console;
  const store_access &Access;
  const std::string &Name;
  const bool Retiring;
  store_client Store;
  configuration_editor Editor;
};

void drain_command::checkName(const configuration &Config) const {
  const asset *Asset = Config.findAsset(Name);
  if (Asset == nullptr || Asset->Kind == asset_kind::Entry)
    throw config_error("upstream \"" + Name +
                       "\": allowed is the name of a model or plain row in "
                       "the current inventory");
}

exit_code drain_command::attemptEdit(bool IsLast, bool &Retry) {
  Retry = false;
  const current_configuration Current = Editor.read();
  if (!Current.Available)
    return reportError(Console, exit_code::Unavailable,
                       "the store is unavailable and nothing was written: " +
                           Current.Message);
  const configuration_document &Base = Current.Document;
  if (Base.Version == 0)
    return reportError(Console, exit_code::BadInput,
                       "no configuration has been applied yet");
  if (!Current.ParseError.empty())
    return reportError(Console, exit_code::BadInput, Current.ParseError);
  const configuration Config = parseConfiguration(
      {.InventoryCsv = Base.Inventory, .RulesJson = Base.Rules});
  checkName(Config);
  if (Config.isRetiring(Name) == Retiring)
    return reportUnchanged(Console, Base);
  configuration_edit Edit =
      newEdit(Access, (Retiring ? "drain " : "undrain ") + Name);
  Edit.Inventory = Base.Inventory;
  Edit.Rules = setRetiring(Base.Rules, Name, Retiring);
  const edit_result Result = Editor.write(Base, Edit);
  Retry = Result.Outcome == edit_outcome::Conflict && !IsLast;
  return Retry ? exit_code::Conflict : reportEdit(Console, Edit.EditId, Result);
}

exit_code drain_command::run() {
  const time_point Deadline = steady_clock::now() + Access.Timeout;
  std::minstd_rand Random(std::random_device{}());
  std::uniform_int_distribution<int> PauseMs(1, MaxConflictPauseMs);
  while (true) {
    bool Retry = false;
    const exit_code Code = attemptEdit(steady_clock::now() >= Deadline, Retry);
    if (!Retry)
      return Code;
    std::this_thread::sleep_for(milliseconds(PauseMs(Random)));
  }
}

} // namespace

exit_code runDrain(console &Console, const store_access &Access,
                   const std::string &Name, bool Retiring) {
  return drain_command(Console, Access, Name, Retiring).run();
}

} // namespace cardamom
