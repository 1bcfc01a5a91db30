#include "config/configuration.h"
#include "ctl/commands.h"
#include "ctl/configuration_editor.h"
#include "ctl/report.h"
#include "store/store_client.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace cardamom {

using nlohmann::json;

static constexpr int IndentSpaces = 2;

/// Reads the current document. If that fails, reports the error and returns its
/// exit code; otherwise returns Ok.
static exit_code readCurrent(console &Console, const store_access &Access,
                             configuration_document &Document) {
  store_client Store({.Address = Access.Address});
  configuration_editor Editor(Store, {.Timeout = Access.Timeout});
  current_configuration Current = Editor.read();
  if (!Current.Available)
    return reportError(Console, exit_code::Unavailable,
                       "the store is unavailable: " + Current.Message);
  if (!Current.ParseError.empty())
    return reportError(Console, exit_code::BadInput, Current.ParseError);
  if (Current.Document.Version == 0)
    return reportError(Console, exit_code::BadInput,
                       "no configuration has been applied yet");
  Document = std::move(Current.Document);
  return exit_code::Ok;
}

static std::string formatRules(const configuration_document &Document) {
  return json::parse(Document.Rules).dump(IndentSpaces) + '\n';
}

exit_code runGet(console &Console, const store_access &Access,
                 document_part Part) {
  configuration_document Document;
  const exit_code Code = readCurrent(Console, Access, Document);
  if (Code != exit_code::Ok)
    return Code;
  if (Part == document_part::Inventory)
    Console.Out << Document.Inventory;
  else if (Part == document_part::Rules)
    Console.Out << formatRules(Document);
  else if (Console.Json)
    Console.Out << json({{"version", Document.Version},
                         {"edit_id", Document.EditId},
                         {"author", Document.Author},
                         {"inventory", Document.Inventory},
                         {"rules", json::parse(Document.Rules)}})
                       .dump(IndentSpaces)
                << '\n';
  else
    Console.Out << "version: " << Document.Version
                << "\nedit: " << Document.EditId
                << "\nauthor: " << Document.Author << "\n\ninventory:\n"
                << Document.Inventory << "\nrules:\n"
                << formatRules(Document);
  return exit_code::Ok;
}

exit_code runHistory(console &Console, const store_access &Access) {
  configuration_document Document;
  const exit_code Code = readCurrent(Console, Access, Document);
  if (Code != exit_code::Ok)
    return Code;
  json Entries = json::array();
  for (const history_entry &Entry : Document.History) {
    if (!Console.Json)
      Console.Out << Entry.Version << "  " << Entry.Time << "  " << Entry.Author
                  << "  " << Entry.EditId << "  " << Entry.Summary << '\n';
    Entries.push_back({{"version", Entry.Version},
                       {"time", Entry.Time},
                       {"author", Entry.Author},
                       {"edit_id", Entry.EditId},
                       {"summary", Entry.Summary}});
  }
  if (Console.Json)
    Console.Out << json({{"history", Entries}}).dump(IndentSpaces) << '\n';
  return exit_code::Ok;
}

} // namespace cardamom
