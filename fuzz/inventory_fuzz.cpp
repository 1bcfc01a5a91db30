/// \file
/// Feeds arbitrary bytes to the parsers of the configuration: they may only
/// return or throw config_error, and an accepted inventory must survive being
/// written and read again.

#include "config/configuration.h"
#include "config/configuration_document.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace cardamom;

static constexpr std::string_view ValidInventory =
    "name,kind,pool,vm,region,failure_domain,inner_address,address,concurrency"
    "\ne,entry,,v,r,f,127.0.0.1:1,127.0.0.1:2,\n"
    "m,model,p,v,r,f,127.0.0.1:3,127.0.0.1:4,1\n"
    "s,plain,q,v,r,f,127.0.0.1:5,127.0.0.1:6,1\n";

static void parseFiles(std::string_view Csv, std::string_view Json) {
  try {
    const configuration Config =
        parseConfiguration({.InventoryCsv = Csv, .RulesJson = Json});
    const std::string Written = formatInventory(Config.Assets);
    const configuration Again =
        parseConfiguration({.InventoryCsv = Written, .RulesJson = Json});
    if (Again.Assets != Config.Assets)
      std::abort();
  } catch (const config_error &) {
  }
}

static void parseDocument(std::string_view Json) {
  try {
    parseConfigurationDocument(Json, 1);
  } catch (const config_error &) {
  }
  try {
    formatDocument(readDocument(Json, 1));
  } catch (const config_error &) {
  }
}

/// Inputs that start with the header reach the rows; others are split at the
/// first NUL byte into inventory and rules.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  const std::string_view Input(reinterpret_cast<const char *>(Data), Size);
  const size_t Split = Input.find('\0');
  parseFiles(Input.substr(0, Split),
             Split == std::string_view::npos ? "{}" : Input.substr(Split + 1));
  const std::string WithHeader =
      std::string(ValidInventory) + std::string(Input);
  parseFiles(WithHeader, "{}");
  parseFiles(ValidInventory, Input);
  parseDocument(Input);
  return 0;
}
