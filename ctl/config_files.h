/// \file
/// Reads the operator's files.

#ifndef CARDAMOM_CTL_CONFIG_FILES_H
#define CARDAMOM_CTL_CONFIG_FILES_H

#include "config/configuration.h"

#include <string>

namespace cardamom {

struct config_files;

/// The files' text and what it means.
struct loaded_files {
  std::string Inventory;
  std::string Rules;
  configuration Config;
};

/// Throws config_error for a file that cannot be read or is refused.
loaded_files loadFiles(const config_files &Files);

} // namespace cardamom

#endif // CARDAMOM_CTL_CONFIG_FILES_H
