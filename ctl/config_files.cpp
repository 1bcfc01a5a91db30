#include "ctl/config_files.h"

#include "ctl/commands.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace cardamom {

/// Reads at most one byte more than is allowed, so that a wrong path such as a
/// device cannot exhaust the memory.
static std::string readFile(const std::string &Path) {
  errno = 0;
  std::ifstream File(Path, std::ios::binary);
  std::string Text(MaxConfigurationBytes + 1, '\0');
  if (File)
    File.read(Text.data(), std::streamsize(Text.size()));
  // Reading a folder opens it without an error and then fails.
  if (!File.is_open() || File.bad())
    throw config_error(Path + ": cannot be read: " + std::strerror(errno));
  Text.resize(size_t(File.gcount()));
  return Text;
}

loaded_files loadFiles(const config_files &Files) {
  loaded_files Loaded;
  Loaded.Inventory = readFile(Files.InventoryPath);
  Loaded.Rules = readFile(Files.RulesPath);
  Loaded.Config = parseConfiguration({.InventoryName = Files.InventoryPath,
                                      .InventoryCsv = Loaded.Inventory,
                                      .RulesName = Files.RulesPath,
                                      .RulesJson = Loaded.Rules});
  return Loaded;
}

} // namespace cardamom
