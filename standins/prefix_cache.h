/// \file
/// Prompt prefix cache of the emulated engine.

#ifndef STANDINS_PREFIX_CACHE_H
#define STANDINS_PREFIX_CACHE_H

#include "standins/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace standins {

struct cache_event {
  uint64_t Seq = 0;
  bool Stored = false;
  uint64_t PrefixHash = 0;
};

struct prefix_cache_options {
  /// Capacity in blocks; the least recently used block is evicted.
  size_t MaxEntries = 4096;
  /// Delay after which events() returns an event.
  milliseconds EventDelay{500};
  /// One event in this many is dropped; 0 drops none.
  uint64_t EventDropInterval = 50;
};

/// LRU set of prefixes. A prefix consists of whole 64-byte blocks of the prompt
/// and is identified by the FNV-1a hash of its bytes. Not thread-safe; each
/// call takes O(blocks).
class prefix_cache {
public:
  static constexpr size_t BlockBytes = 64;
  static constexpr size_t BytesPerToken = 4;
  static constexpr size_t TokensPerBlock = BlockBytes / BytesPerToken;

  explicit prefix_cache(prefix_cache_options Options) : Options(Options) {}

  /// Returns the hashes of the prefixes of Prompt, shortest first.
  static std::vector<uint64_t> prefixHashes(std::string_view Prompt);

  /// Returns how many of the leading prefixes are cached.
  [[nodiscard]] size_t countCached(const std::vector<uint64_t> &Prefixes) const;
  void insert(const std::vector<uint64_t> &Prefixes, time_point Now);
  void clear(time_point Now);

  [[nodiscard]] size_t size() const { return Index.size(); }
  /// Returns the visible events with sequence numbers above After.
  [[nodiscard]] std::vector<cache_event> events(uint64_t After,
                                                time_point Now) const;

private:
  struct timed_event {
    time_point PublishedAt;
    cache_event Event;
  };

  void publish(bool Stored, uint64_t PrefixHash, time_point Now);

  prefix_cache_options Options;
  std::list<uint64_t> LruList;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> Index;
  std::deque<timed_event> Events;
  uint64_t LastSeq = 0;
};

} // namespace standins

#endif // STANDINS_PREFIX_CACHE_H
