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
  /// Version after the call, 0 when the object is absent.
  uint64_t Version = 0;
};

struct object_table_options {
  size_t MaxValueBytes = 1'000'000;
  /// Bounds the memory of the emulator over all keys and values.
  size_t MaxTotalBytes = 512'000'000;
};

/// Conditional updates on a sorted map. All versions come from one counter, so
/// that a deleted and newly created key never repeats one without any record
/// of deleted keys. Not thread-safe; each call takes O(log n).
class object_table {
public:
  explicit object_table(object_table_options Options = {}) : Options(Options) {}

  [[nodiscard]] std::optional<object> get(std::string_view Key) const;
  /// Version of a key, 0 when it is absent.
  [[nodiscard]] uint64_t version(std::string_view Key) const;
  [[nodiscard]] std::vector<object> list(std::string_view Prefix) const;
  /// Writes if the present version is IfVersion (0 = absent).
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
