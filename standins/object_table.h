/// \file
/// Versioned objects of the emulated store.

#ifndef STANDINS_OBJECT_TABLE_H
#define STANDINS_OBJECT_TABLE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

struct object {
  std::string Key;
  uint64_t Version = 0;
  std::string Value;
};

enum class write_status { Ok, Conflict, NotFound, TooLarge };

struct write_result {
  write_status Status = write_status::Ok;
  /// Version after the call, or 0 if the object does not exist.
  uint64_t Version = 0;
};

struct object_table_options {
  size_t MaxValueBytes = 1'000'000;
  /// Limit on the size of all keys and values together.
  size_t MaxTotalBytes = 512'000'000;
};

/// Sorted map with conditional updates. All versions come from one counter, so
/// that a key that is deleted and created again never reuses a version, without
/// tombstones. Not thread-safe; each call takes O(log n).
class object_table {
public:
  explicit object_table(object_table_options Options = {}) : Options(Options) {}

  [[nodiscard]] std::optional<object> get(std::string_view Key) const;
  /// Returns the version of a key, or 0 if it does not exist.
  [[nodiscard]] uint64_t version(std::string_view Key) const;
  [[nodiscard]] std::vector<object> list(std::string_view Prefix) const;
  /// Writes if the current version is IfVersion; 0 means the key must not
  /// exist.
  write_result put(std::string_view Key, std::string Value, uint64_t IfVersion);
  write_result remove(std::string_view Key, uint64_t IfVersion);

private:
  struct entry {
    uint64_t Version = 0;
    std::string Value;
  };

  object_table_options Options;
  std::map<std::string, entry, std::less<>> Entries;
  uint64_t LastVersion = 0;
  size_t TotalBytes = 0;
};

} // namespace standins

#endif // STANDINS_OBJECT_TABLE_H
