#include "ctl/report.h"

#include "config/configuration_diff.h"
#include "config/configuration_document.h"
#include "ctl/commands.h"
#include "ctl/configuration_editor.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace cardamom {

using nlohmann::json;

static constexpr int IndentSpaces = 2;

static void writeJson(console &Console, const json &Value) {
  Console.Out << Value.dump(IndentSpaces, ' ', false,
                            json::error_handler_t::replace)
              << '\n';
}

exit_code reportError(console &Console, exit_code Code,
                      std::string_view Message) {
  if (Console.Json)
    writeJson(Console, {{"error", Message}, {"exit_code", int(Code)}});
  else
    Console.Err << "error: " << Message << '\n';
  return Code;
}

static exit_code toExitCode(edit_outcome Outcome) {
  switch (Outcome) {
  case edit_outcome::Applied:
  case edit_outcome::Replaced:
    return exit_code::Ok;
  case edit_outcome::Conflict:
    return exit_code::Conflict;
  case edit_outcome::Unavailable:
    return exit_code::Unavailable;
  case edit_outcome::Unknown:
    break;
  }
  return exit_code::Unknown;
}

static std::string describeCurrent(const edit_result &Result) {
  if (!Result.Current)
    return "the current version could not be read";
  const configuration_document &Current = *Result.Current;
  std::string Text = "the current version is " +
                     std::to_string(Current.Version) + ", edit " +
                     Current.EditId + " by " + Current.Author;
  if (!Current.History.empty())
    Text += " at " + Current.History.front().Time + " (" +
            Current.History.front().Summary + ")";
  return Text;
}

static std::string describeEdit(const std::string &EditId,
                                const edit_result &Result) {
  const std::string Version = std::to_string(Result.Version);
  switch (Result.Outcome) {
  case edit_outcome::Applied:
    return "applied: version " + Version + ", edit " + EditId;
  case edit_outcome::Replaced:
    return "applied as version " + Version + ", edit " + EditId +
           ", and since replaced: " + describeCurrent(Result);
  case edit_outcome::Conflict:
    return "conflict: another edit was accepted first and nothing was "
           "written; " +
           describeCurrent(Result);
  case edit_outcome::Unavailable:
    return "the store is unavailable and nothing was written: " +
           Result.Message;
  case edit_outcome::Unknown:
    break;
  }
  return "outcome unknown: edit " + EditId +
         " may have been or may still be accepted; look for it with "
         "\"cardamomctl history\" (" +
         Result.Message + ")";
}

static json editToJson(const std::string &EditId, const edit_result &Result) {
  json Value = {{"outcome", toString(Result.Outcome)},
                {"edit_id", EditId},
                {"version", Result.Version},
                {"message", describeEdit(EditId, Result)},
                {"exit_code", int(toExitCode(Result.Outcome))}};
  if (Result.Current)
    Value["current"] = {{"version", Result.Current->Version},
                        {"edit_id", Result.Current->EditId},
                        {"author", Result.Current->Author}};
  return Value;
}

exit_code reportEdit(console &Console, const std::string &EditId,
                     const edit_result &Result) {
  const exit_code Code = toExitCode(Result.Outcome);
  if (Console.Json)
    writeJson(Console, editToJson(EditId, Result));
  else if (Code == exit_code::Ok)
    Console.Out << describeEdit(EditId, Result) << '\n';
  else
    Console.Err << "error: " << describeEdit(EditId, Result) << '\n';
  return Code;
}

exit_code reportUnchanged(console &Console,
                          const configuration_document &Current) {
  const std::string Message = "nothing to change: version " +
                              std::to_string(Current.Version) + ", edit " +
                              Current.EditId + " by " + Current.Author;
  if (Console.Json)
    writeJson(Console, {{"outcome", "unchanged"},
                        {"edit_id", Current.EditId},
                        {"version", Current.Version},
                        {"message", Message},
                        {"exit_code", 0}});
  else
    Console.Out << Message << '\n';
  return exit_code::Ok;
}

json changesToJson(const std::vector<configuration_change> &Changes) {
  json Array = json::array();
  for (const configuration_change &Change : Changes)
    Array.push_back({{"kind", toString(Change.Kind)},
                     {"subject", toString(Change.Subject)},
                     {"name", Change.Name},
                     {"field", Change.Field},
                     {"old", Change.Old},
                     {"new", Change.New}});
  return Array;
}

void reportChanges(console &Console,
                   const std::vector<configuration_change> &Changes) {
  if (Console.Json)
    return writeJson(Console, {{"changes", changesToJson(Changes)}});
  for (const configuration_change &Change : Changes)
    Console.Out << formatChange(Change) << '\n';
  if (Changes.empty())
    Console.Out << "no change\n";
}

static void appendReadable(std::string &Text, const json &Value,
                           const std::string &Indent) {
  for (const auto &[Key, Element] : Value.items()) {
    Text += Indent;
    Text += Value.is_array() ? "-" : Key + ":";
    if (Element.is_structured() && !Element.empty()) {
      Text += '\n';
      appendReadable(Text, Element, Indent + "  ");
    } else {
      Text += ' ';
      Text += Element.is_string() ? Element.get<std::string>() : Element.dump();
      Text += '\n';
    }
  }
}

std::string formatReadable(const json &Value) {
  if (!Value.is_structured())
    return Value.dump() + '\n';
  std::string Text;
  appendReadable(Text, Value, "");
  return Text;
}

} // namespace cardamom
