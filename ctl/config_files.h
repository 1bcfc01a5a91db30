/// \file
/// Loads the inventory and rules files of an operator.

#ifndef CARDAMOM_CTL_CONFIG_FILES_H
#define CARDAMOM_CTL_CONFIG_FILES_H

#include "config/configuration.h"

#include <string>

namespace cardamom {

struct config_files;

/// The contents of the files and the configuration parsed from them.
struct loaded_files {
  std::string Inventory;
  std::string Rules;
  configuration Config;
};

/// Throws config_error if a file cannot be read or is invalid.
loaded_files loadFiles(const config_files &Files);

} // namespace cardamom

#endif // CARDAMOM_CTL_CONFIG_FILES_H
