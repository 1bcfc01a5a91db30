#include "standins/object_table.h"

#include <utility>

namespace standins {

namespace {

/// Estimated memory overhead of an entry.
constexpr size_t KeyOverheadBytes = 128;

} // namespace

std::optional<object> object_table::get(std::string_view Key) const {
  auto It = Entries.find(Key);
  if (It == Entries.end())
    return std::nullopt;
  return object{It->first, It->second.Version, It->second.Value};
}

uint64_t object_table::version(std::string_view Key) const {
  auto It = Entries.find(Key);
  return It == Entries.end() ? 0 : It->second.Version;
}

std::vector<object> object_table::list(std::string_view Prefix) const {
  std::vector<object> Found;
  for (auto It = Entries.lower_bound(Prefix);
       It != Entries.end() && It->first.starts_with(Prefix); ++It)
    Found.push_back({It->first, It->second.Version, It->second.Value});
  return Found;
}

write_result object_table::put(std::string_view Key, std::string Value,
                               uint64_t IfVersion) {
  auto It = Entries.find(Key);
  uint64_t CurrentVersion = It == Entries.end() ? 0 : It->second.Version;
  if (Value.size() > Options.MaxValueBytes)
    return {write_status::TooLarge, CurrentVersion};
  if (CurrentVersion != IfVersion)
    return {write_status::Conflict, CurrentVersion};
  bool New = It == Entries.end();
  size_t AddedBytes = Value.size() + (New ? Key.size() + KeyOverheadBytes : 0);
  size_t FreedBytes = New ? 0 : It->second.Value.size();
  if (TotalBytes - FreedBytes + AddedBytes > Options.MaxTotalBytes)
    return {write_status::TooLarge, CurrentVersion};
  TotalBytes = TotalBytes - FreedBytes + AddedBytes;
  if (New)
    It = Entries.emplace(std::string(Key), entry{}).first;
  It->second = {++LastVersion, std::move(Value)};
  return {write_status::Ok, LastVersion};
}

write_result object_table::remove(std::string_view Key, uint64_t IfVersion) {
  auto It = Entries.find(Key);
  if (It == Entries.end())
    return {write_status::NotFound, 0};
  if (It->second.Version != IfVersion)
    return {write_status::Conflict, It->second.Version};
  TotalBytes -= It->second.Value.size() + Key.size() + KeyOverheadBytes;
  Entries.erase(It);
  return {write_status::Ok, 0};
}

} // namespace standins
