#include "ctl/config_files.h"

#include "ctl/commands.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace cardamom {

/// Reads at most one byte more than the size limit, so that the path of a
/// device or a huge file cannot exhaust memory.
static std::string readFile(const std::string &Path) {
  errno = 0;
  std::ifstream File(Path, std::ios::binary);
  std::string Text(MaxConfigurationBytes + 1, '\0');
  if (File)
    File.read(Text.data(), std::streamsize(Text.size()));
  // Opening a directory succeeds; only reading from it fails.
  if (!File.is_open() || File.bad())
    throw config_error(Path +
                       ": cannot read the file: " + std::strerror(errno));
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
