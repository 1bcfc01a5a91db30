#include "ctl/command_line.h"

#include "base/identifier.h"
#include "config/configuration.h"
#include "ctl/commands.h"
#include "ctl/report.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <functional>
#include <map>
#include <ostream>

namespace cardamom {

namespace {

constexpr unsigned MinTimeoutMs = 100;
constexpr unsigned MaxTimeoutMs = 300000;

constexpr const char *Footer =
    "Exit codes:\n"
    "  0  done\n"
    "  2  invalid flags or arguments\n"
    "  3  invalid file, name or id\n"
    "  4  conflict: another edit was accepted first, nothing was written\n"
    "  5  the store or the entry is unavailable, nothing was written\n"
    "  6  outcome unknown: the edit may have been or may still be accepted\n";

/// Validator for CLI11: returns an error message, or nothing if Value is valid.
std::string checkAddress(const std::string &Value) {
  if (parseIpPort(Value))
    return {};
  return "value \"" + Value + "\": allowed is " + std::string(IpPortFormat);
}

class command_line {
public:
  command_line(std::ostream &Out, std::ostream &Err);

  int run(std::span<const char *const> Args);

private:
  using action = std::function<exit_code(console &)>;

  void addGlobalOptions();
  void addFileCommands();
  void addEditCommands();
  void addReadCommands();
  void addEntryCommands();
  CLI::App &addCommand(const std::string &Name, const std::string &Help,
                       action Action);
  CLI::App &addStoreCommand(const std::string &Name, const std::string &Help,
                            action Action);
  CLI::App &addEntryCommand(const std::string &Name, const std::string &Help,
                            action Action);
  void addFiles(CLI::App &Command);
  void addNameArgument(CLI::App &Command);
  exit_code execute();

  std::ostream &Out;
  std::ostream &Err;
  CLI::App App;
  action SelectedAction;
  bool Json = false;
  store_access Store;
  entry_access Entry;
  unsigned TimeoutMs = 10000;
  apply_options Apply;
  document_part Part = document_part::All;
  std::string Name;
  std::string Path;
  std::string Method = "GET";
};

command_line::command_line(std::ostream &Out, std::ostream &Err)
    : Out(Out), Err(Err),
      App("Applies and inspects the configuration of cardamomstile.",
          "cardamomctl") {
  App.require_subcommand(1);
  // Also accepts global flags after the subcommand.
  App.fallthrough();
  App.footer(Footer);
  addGlobalOptions();
  addFileCommands();
  addEditCommands();
  addReadCommands();
  addEntryCommands();
}

void command_line::addGlobalOptions() {
  App.add_option("--store", Store.Address, "address of the store (IP:port)")
      ->envname("CARDAMOM_STORE")
      ->check(checkAddress);
  App.add_option("--entry", Entry.Address,
                 "HTTP address of any entry (IP:port)")
      ->envname("CARDAMOM_ENTRY")
      ->check(checkAddress);
  App.add_option("--author", Store.Author,
                 "author recorded in the history (default: $USER)")
      ->envname("CARDAMOM_AUTHOR");
  App.add_option("--timeout-ms", TimeoutMs,
                 "timeout of each read or write including retries, in ms "
                 "(100 to 300000)")
      ->check(CLI::Range(MinTimeoutMs, MaxTimeoutMs))
      ->capture_default_str();
  App.add_flag("--json", Json, "print results as JSON");
}

CLI::App &command_line::addCommand(const std::string &Name,
                                   const std::string &Help, action Action) {
  CLI::App *Command = App.add_subcommand(Name, Help);
  Command->callback(
      [this, Action = std::move(Action)] { SelectedAction = Action; });
  return *Command;
}

CLI::App &command_line::addStoreCommand(const std::string &Name,
                                        const std::string &Help,
                                        action Action) {
  return addCommand(
      Name, Help, [this, Action = std::move(Action)](console &Console) {
        if (Store.Address.empty())
          return reportError(Console, exit_code::Usage,
                             "--store IP:port or CARDAMOM_STORE is required");
        return Action(Console);
      });
}

CLI::App &command_line::addEntryCommand(const std::string &Name,
                                        const std::string &Help,
                                        action Action) {
  return addCommand(
      Name, Help, [this, Action = std::move(Action)](console &Console) {
        if (Entry.Address.empty())
          return reportError(Console, exit_code::Usage,
                             "--entry IP:port or CARDAMOM_ENTRY is required");
        return Action(Console);
      });
}

void command_line::addFiles(CLI::App &Command) {
  Command
      .add_option("inventory", Apply.Files.InventoryPath, "inventory CSV file")
      ->required();
  Command.add_option("rules", Apply.Files.RulesPath, "rules JSON file")
      ->required();
}

void command_line::addNameArgument(CLI::App &Command) {
  Command.add_option("name", Name, "name of the upstream in the inventory")
      ->required();
}

void command_line::addFileCommands() {
  addFiles(addCommand(
      "validate", "check the files without contacting the store",
      [this](console &Console) { return runValidate(Console, Apply.Files); }));
  addFiles(addStoreCommand("diff", "show the changes that apply would make",
                           [this](console &Console) {
                             return runDiff(Console, Store, Apply.Files);
                           }));
}

void command_line::addEditCommands() {
  CLI::App &Command = addStoreCommand(
      "apply", "replace the current configuration by the files",
      [this](console &Console) { return runApply(Console, Store, Apply); });
  addFiles(Command);
  Command.add_option(
      "--reason", Apply.Reason,
      "text for the history; the default is a summary of the changes");
  Command.add_option("--if-version", Apply.IfVersion,
                     "fail unless this is the current version");
  addNameArgument(addStoreCommand(
      "drain", "mark an upstream as retiring, so that it gets no new work",
      [this](console &Console) {
        return runDrain(Console, Store, Name, true);
      }));
  addNameArgument(
      addStoreCommand("undrain", "clear the retiring mark of an upstream",
                      [this](console &Console) {
                        return runDrain(Console, Store, Name, false);
                      }));
}

void command_line::addReadCommands() {
  const std::map<std::string, document_part> Parts = {
      {"all", document_part::All},
      {"inventory", document_part::Inventory},
      {"rules", document_part::Rules}};
  addStoreCommand(
      "get", "print the current configuration",
      [this](console &Console) { return runGet(Console, Store, Part); })
      .add_option("--part", Part, "one of all, inventory, rules")
      ->transform(CLI::CheckedTransformer(Parts));
  addStoreCommand("history", "list the newest 50 edits",
                  [this](auto &Console) { return runHistory(Console, Store); });
}

void command_line::addEntryCommands() {
  addEntryCommand("status", "show the fleet state as seen by an entry",
                  [this](console &Console) {
                    return runEntryGet(Console, Entry, "/status");
                  });
  addEntryCommand("trace", "show the events of a request",
                  [this](console &Console) {
                    return runEntryGet(Console, Entry, traceTarget(Name));
                  })
      .add_option("id", Name, "id of the request")
      ->required();
  CLI::App &Explain = addEntryCommand(
      "explain-route", "show how a call would be routed",
      [this](console &Console) {
        return runEntryGet(Console, Entry, explainTarget(Method, Path));
      });
  Explain.add_option("path", Path, "path of the call")->required();
  Explain.add_option("--method", Method, "method of the call")
      ->capture_default_str();
}

exit_code command_line::execute() {
  console Console{.Out = Out, .Err = Err, .Json = Json};
  Store.Timeout = Entry.Timeout = milliseconds(TimeoutMs);
  if (Store.Author.empty()) {
    const char *User = std::getenv("USER");
    Store.Author = User != nullptr && *User != 0 ? User : "unknown";
  }
  try {
    return SelectedAction(Console);
  } catch (const config_error &Error) {
    return reportError(Console, exit_code::BadInput, Error.what());
  }
}

int command_line::run(std::span<const char *const> Args) {
  try {
    App.parse(int(Args.size()), Args.data());
  } catch (const CLI::ParseError &Error) {
    const bool IsHelp = App.exit(Error, Out, Err) == 0;
    return int(IsHelp ? exit_code::Ok : exit_code::Usage);
  }
  return int(execute());
}

} // namespace

int runCommandLine(std::span<const char *const> Args, std::ostream &Out,
                   std::ostream &Err) {
  return command_line(Out, Err).run(Args);
}

} // namespace cardamom
