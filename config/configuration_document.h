/// \file
/// The value of the store's object "config/current", with its history.
///
/// A writer does not know the version that its write will get. It writes 0 as
/// the version of its own history entry, and readDocument() fills in the
/// version of the object; the next writer stores that.

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
  /// Version of the store's object; 0 when it has not been written.
  uint64_t Version = 0;
  std::string EditId;
  std::string Author;
  /// CSV text as the operator wrote it.
  std::string Inventory;
  /// JSON text.
  std::string Rules = "{}";
  /// The newest first; the first one describes this document.
  std::vector<history_entry> History;
};

/// Checks the document's own fields, not the inventory and the rules. Throws
/// config_error.
configuration_document readDocument(std::string_view Json, uint64_t Version);

/// Throws config_error when the document is larger than 900 KB, or could not be
/// read back.
std::string formatDocument(const configuration_document &Document);

/// What one edit changes.
struct configuration_edit {
  std::string EditId;
  std::string Author;
  std::string Time;
  std::string Summary;
  std::string Inventory;
  std::string Rules;
};

/// The document after Edit, with the newest 50 history entries. Cuts the author
/// to 128 bytes and the summary to 200, so that the history stays small.
configuration_document applyEdit(const configuration_document &Current,
                                 const configuration_edit &Edit);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_CONFIGURATION_DOCUMENT_H
