/// \file
/// Fuzzes the configuration parsers: they may only return or throw
/// config_error, and an accepted inventory must survive a format-and-parse
/// round trip.

#include "config/configuration.h"
#include "config/configuration_document.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace cardamom;

static constexpr std::string_view ValidInventoryCsv =
    "name,kind,pool,vm,region,failure_domain,inner_address,address,concurrency"
    "\ne,entry,,v,r,f,127.0.0.1:1,127.0.0.1:2,\n"
    "m,model,p,v,r,f,127.0.0.1:3,127.0.0.1:4,1\n"
    "s,plain,q,v,r,f,127.0.0.1:5,127.0.0.1:6,1\n";

static void parseFiles(std::string_view Csv, std::string_view Json) {
  try {
    const configuration Config =
        parseConfiguration({.InventoryCsv = Csv, .RulesJson = Json});
    const std::string Formatted = formatInventory(Config.Assets);
    const configuration Reparsed =
        parseConfiguration({.InventoryCsv = Formatted, .RulesJson = Json});
    if (Reparsed.Assets != Config.Assets)
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

/// Splits the input at the first NUL byte into inventory and rules. Also parses
/// it as further rows of a valid inventory, as the rules of one, and as a
/// configuration document.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  const std::string_view Input(reinterpret_cast<const char *>(Data), Size);
  const size_t Separator = Input.find('\0');
  parseFiles(Input.substr(0, Separator), Separator == std::string_view::npos
                                             ? "{}"
                                             : Input.substr(Separator + 1));
  const std::string WithHeader =
      std::string(ValidInventoryCsv) + std::string(Input);
  parseFiles(WithHeader, "{}");
  parseFiles(ValidInventoryCsv, Input);
  parseDocument(Input);
  return 0;
}
