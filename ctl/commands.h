/// \file
/// The commands of cardamomctl. Each returns the exit code of the process.

#ifndef CARDAMOM_CTL_COMMANDS_H
#define CARDAMOM_CTL_COMMANDS_H

#include "base/time.h"
#include "ctl/exit_code.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

namespace cardamom {

/// Output of a command: results go to Out, errors and warnings to Err. With
/// Json, errors also go to Out.
struct console {
  std::ostream &Out;
  std::ostream &Err;
  /// Whether to print JSON instead of text.
  bool Json = false;
};

struct config_files {
  std::string InventoryPath;
  std::string RulesPath;
};

/// Address of the store and author of the edits.
struct store_access {
  std::string Address;
  std::string Author;
  /// Timeout of each read or write, including retries.
  milliseconds Timeout{10000};
};

struct apply_options {
  config_files Files;
  /// Text for the history; if empty, a summary of the changes is used.
  std::string Reason;
  /// If set, the edit fails unless this is the current version.
  std::optional<uint64_t> IfVersion;
};

enum class document_part { All, Inventory, Rules };

struct entry_access {
  std::string Address;
  milliseconds Timeout{10000};
};

exit_code runValidate(console &Console, const config_files &Files);
/// Prints the changes that runApply() would make.
exit_code runDiff(console &Console, const store_access &Access,
                  const config_files &Files);
exit_code runApply(console &Console, const store_access &Access,
                   const apply_options &Options);
/// Sets "retiring" in the rule of the upstream Name. Retries on the newer
/// version if a concurrent edit causes a conflict, until Access.Timeout.
exit_code runDrain(console &Console, const store_access &Access,
                   const std::string &Name, bool Retiring);
exit_code runGet(console &Console, const store_access &Access,
                 document_part Part);
exit_code runHistory(console &Console, const store_access &Access);

/// Sends GET Target, such as "/status", to an entry and prints the response.
exit_code runEntryGet(console &Console, const entry_access &Access,
                      const std::string &Target);
std::string traceTarget(const std::string &Id);
std::string explainTarget(const std::string &Method, const std::string &Path);

} // namespace cardamom

#endif // CARDAMOM_CTL_COMMANDS_H
