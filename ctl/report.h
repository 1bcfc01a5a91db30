/// \file
/// Prints the results of commands as text or as JSON.

#ifndef CARDAMOM_CTL_REPORT_H
#define CARDAMOM_CTL_REPORT_H

#include "ctl/exit_code.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct configuration_change;
struct configuration_document;
struct console;
struct edit_result;

/// Prints "error: MESSAGE", or {"error": MESSAGE, "exit_code": CODE} with
/// --json, and returns Code.
exit_code reportError(console &Console, exit_code Code,
                      std::string_view Message);

/// Prints the outcome of an edit and returns its exit code.
exit_code reportEdit(console &Console, const std::string &EditId,
                     const edit_result &Result);

/// Prints that the edit would change nothing, and returns Ok.
exit_code reportUnchanged(console &Console,
                          const configuration_document &Current);

void reportChanges(console &Console,
                   const std::vector<configuration_change> &Changes);

nlohmann::json changesToJson(const std::vector<configuration_change> &Changes);

/// Formats Value as indented "key: value" lines.
std::string formatReadable(const nlohmann::json &Value);

} // namespace cardamom

#endif // CARDAMOM_CTL_REPORT_H
