/// \file
/// Keeps the events of the most recent requests, for "/trace/{id}".
///
/// Thread-safe. Holds 4096 requests with up to 64 events each; the oldest
/// request is overwritten first.

#ifndef CARDAMOM_ENTRY_TRACE_RING_H
#define CARDAMOM_ENTRY_TRACE_RING_H

#include "base/time.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct trace_event {
  time_point Time{};
  std::string Event{};
  std::string Detail{};
};

class trace_ring {
public:
  static constexpr size_t MaxRequests = 4096;
  static constexpr size_t MaxEvents = 64;

  void add(std::string_view RequestId, std::string_view Event,
           std::string_view Detail, time_point Now);
  [[nodiscard]] std::optional<std::vector<trace_event>>
  find(std::string_view RequestId) const;

private:
  struct slot {
    std::string RequestId;
    std::vector<trace_event> Events;
  };

  mutable std::mutex Mutex;
  std::vector<slot> Slots;
  size_t Next = 0;
  std::map<std::string, size_t, std::less<>> Index;
};

} // namespace cardamom

#endif // CARDAMOM_ENTRY_TRACE_RING_H
