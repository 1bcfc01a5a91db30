/// \file
/// Counts the runs of the emulated plain service by the id in the request body.

#ifndef STANDINS_RUN_COUNTS_H
#define STANDINS_RUN_COUNTS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace standins {

/// Not thread-safe; each call takes O(log n).
class run_counts {
public:
  /// Bounds the memory: once there are MaxIds ids, new ones, like ids longer
  /// than MaxIdBytes, are counted in total() only.
  explicit run_counts(size_t MaxIds = 1'000'000) : MaxIds(MaxIds) {}

  /// Counts a run and returns the new total. Id is empty for a body without an
  /// id.
  uint64_t add(const std::string &Id) {
    if (!Id.empty() && Id.size() <= MaxIdBytes &&
        (ById.size() < MaxIds || ById.contains(Id)))
      ++ById[Id];
    return ++Total;
  }

  [[nodiscard]] uint64_t total() const { return Total; }
  [[nodiscard]] const std::map<std::string, uint64_t> &byId() const {
    return ById;
  }

private:
  static constexpr size_t MaxIdBytes = 256;

  size_t MaxIds;
  uint64_t Total = 0;
  std::map<std::string, uint64_t> ById;
};

} // namespace standins

#endif // STANDINS_RUN_COUNTS_H
