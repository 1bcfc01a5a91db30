/// \file
/// The value of the object "config/current" in the store, including the edit
/// history.
///
/// The store assigns the version at the write, so the writer stores 0 as the
/// version of its own history entry. readDocument() replaces the 0 with the
/// version of the object, and the next edit stores the replaced value.

#ifndef CARDAMOM_CONFIG_CONFIGURATION_DOCUMENT_H
#define CARDAMOM_CONFIG_CONFIGURATION_DOCUMENT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

inline constexpr std::string_view ConfigurationKey = "config/current";
inline constexpr size_t MaxHistoryEntries = 50;

struct history_entry {
  std::string EditId;
  std::string Author;
  uint64_t Version = 0;
  /// UTC, as in "2026-12-04T04:00:00Z".
  std::string Time;
  std::string Summary;
};

struct configuration_document {
  /// Version of the object in the store; 0 if it has not been written.
  uint64_t Version = 0;
  std::string EditId;
  std::string Author;
  /// Inventory CSV, unchanged from the operator's file.
  std::string Inventory;
  /// Rules as JSON.
  std::string Rules = "{}";
  /// Newest entry first; it describes this version of the document.
  std::vector<history_entry> History;
};

/// Validates the fields of the document, but not the contents of the inventory
/// and the rules. Throws config_error.
configuration_document readDocument(std::string_view Json, uint64_t Version);

/// Throws config_error if the document is larger than 900 KB or readDocument()
/// would reject it.
std::string formatDocument(const configuration_document &Document);

/// A new inventory and rules, with the metadata of the edit.
struct configuration_edit {
  std::string EditId;
  std::string Author;
  std::string Time;
  std::string Summary;
  std::string Inventory;
  std::string Rules;
};

/// Returns the document after Edit, with the newest 50 history entries.
/// Truncates the author to 128 bytes and the summary to 200 bytes to bound the
/// size of the history.
configuration_document applyEdit(const configuration_document &Current,
                                 const configuration_edit &Edit);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_CONFIGURATION_DOCUMENT_H
