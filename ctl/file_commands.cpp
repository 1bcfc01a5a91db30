#include "config/configuration_diff.h"
#include "ctl/commands.h"
#include "ctl/config_files.h"
#include "ctl/configuration_editor.h"
#include "ctl/report.h"
#include "store/store_client.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace cardamom {

exit_code runValidate(console &Console, const config_files &Files) {
  const configuration Config = loadFiles(Files).Config;
  if (Console.Json)
    Console.Out << nlohmann::json({{"valid", true},
                                   {"rows", Config.Assets.size()},
                                   {"routes", Config.Routes.size()},
                                   {"trainers", Config.Trainers.size()}})
                << '\n';
  else
    Console.Out << "valid: " << Config.Assets.size() << " rows, "
                << Config.Routes.size() << " routes, " << Config.Trainers.size()
                << " trainers\n";
  return exit_code::Ok;
}

exit_code runDiff(console &Console, const store_access &Access,
                  const config_files &Files) {
  const loaded_files Loaded = loadFiles(Files);
  store_client Store({.Address = Access.Address});
  configuration_editor Editor(Store, {.Timeout = Access.Timeout});
  const current_configuration Current = Editor.read();
  if (!Current.Available)
    return reportError(Console, exit_code::Unavailable,
                       "the store is unavailable: " + Current.Message);
  if (!Current.ParseError.empty())
    return reportError(Console, exit_code::BadInput, Current.ParseError);
  configuration Old;
  if (Current.Document.Version > 0)
    Old = parseConfiguration({.InventoryName = "current inventory",
                              .InventoryCsv = Current.Document.Inventory,
                              .RulesName = "current rules",
                              .RulesJson = Current.Document.Rules});
  reportChanges(Console, diffConfigurations(Old, Loaded.Config));
  return exit_code::Ok;
}

} // namespace cardamom
