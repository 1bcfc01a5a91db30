/// \file
/// The commands of cardamomctl. Each returns the process's exit code.

#ifndef CARDAMOM_CTL_COMMANDS_H
#define CARDAMOM_CTL_COMMANDS_H

#include "base/time.h"
#include "ctl/exit_code.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

namespace cardamom {

/// Where a command writes: results to Out, everything else to Err.
struct console {
  std::ostream &Out;
  std::ostream &Err;
  /// Results as one JSON document.
  bool Json = false;
};

struct config_files {
  std::string InventoryPath;
  std::string RulesPath;
};

/// How to reach the store, and who asks.
struct store_access {
  std::string Address;
  std::string Author;
  /// Bound on each read or write with its retries.
  milliseconds Timeout{10000};
};

struct apply_options {
  config_files Files;
  /// Why, for the history; empty = a summary of the changes.
  std::string Reason;
  /// Version that must be the present one; nothing = the one found.
  std::optional<uint64_t> IfVersion;
};

enum class document_part { All, Inventory, Rules };

struct entry_access {
  std::string Address;
  milliseconds Timeout{10000};
};

exit_code runValidate(console &Console, const config_files &Files);
/// Shows what apply would change.
exit_code runDiff(console &Console, const store_access &Access,
                  const config_files &Files);
exit_code runApply(console &Console, const store_access &Access,
                   const apply_options &Options);
/// Sets the rule "retiring" of the upstream Name, again and again on top of
/// newer versions when others edit at the same time.
exit_code runDrain(console &Console, const store_access &Access,
                   const std::string &Name, bool Retiring);
exit_code runGet(console &Console, const store_access &Access,
                 document_part Part);
exit_code runHistory(console &Console, const store_access &Access);

/// Shows the answer of an entry to GET Target, such as "/status".
exit_code runEntryGet(console &Console, const entry_access &Access,
                      const std::string &Target);
std::string traceTarget(const std::string &Id);
std::string explainTarget(const std::string &Method, const std::string &Path);

} // namespace cardamom

#endif // CARDAMOM_CTL_COMMANDS_H
