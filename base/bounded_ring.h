/// \file
/// Thread-safe FIFO queue of fixed capacity.

#ifndef CARDAMOM_BASE_BOUNDED_RING_H
#define CARDAMOM_BASE_BOUNDED_RING_H

#include "base/time.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace cardamom {

/// Ring buffer of fixed capacity for any number of producers and consumers.
/// Producers that must not block call tryPush() and handle a full ring
/// themselves. After close(), push() and tryPush() fail and pop() returns the
/// remaining values. Every operation takes constant time and one lock.
template <typename T> class bounded_ring {
public:
  explicit bounded_ring(size_t Capacity) : Slots(Capacity) {}

  /// Returns false and leaves Value unchanged if the ring is full or closed.
  bool tryPush(T &&Value) {
    {
      std::lock_guard Lock(Mutex);
      if (Closed || Count == Slots.size())
        return false;
      insert(std::move(Value));
    }
    NotEmpty.notify_one();
    return true;
  }

  /// Blocks until there is room. Returns false if the ring is closed.
  bool push(T &&Value) {
    {
      std::unique_lock Lock(Mutex);
      NotFull.wait(Lock, [&] { return Closed || Count < Slots.size(); });
      if (Closed)
        return false;
      insert(std::move(Value));
    }
    NotEmpty.notify_one();
    return true;
  }

  /// Waits up to Timeout for a value. Returns nullopt on timeout, or if the
  /// ring is closed and empty.
  std::optional<T> pop(milliseconds Timeout) {
    std::optional<T> Value;
    {
      std::unique_lock Lock(Mutex);
      NotEmpty.wait_for(Lock, Timeout, [&] { return Closed || Count > 0; });
      if (Count == 0)
        return Value;
      Value.emplace(std::move(*Slots[Head]));
      Slots[Head].reset();
      Head = (Head + 1) % Slots.size();
      --Count;
    }
    NotFull.notify_one();
    return Value;
  }

  void close() {
    {
      std::lock_guard Lock(Mutex);
      Closed = true;
    }
    NotEmpty.notify_all();
    NotFull.notify_all();
  }

  [[nodiscard]] size_t size() const {
    std::lock_guard Lock(Mutex);
    return Count;
  }

  [[nodiscard]] bool closed() const {
    std::lock_guard Lock(Mutex);
    return Closed;
  }

private:
  void insert(T &&Value) {
    Slots[(Head + Count) % Slots.size()].emplace(std::move(Value));
    ++Count;
  }

  mutable std::mutex Mutex;
  std::condition_variable NotEmpty;
  std::condition_variable NotFull;
  std::vector<std::optional<T>> Slots;
  size_t Head = 0;
  size_t Count = 0;
  bool Closed = false;
};

} // namespace cardamom

#endif // CARDAMOM_BASE_BOUNDED_RING_H
