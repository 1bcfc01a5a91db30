/// \file
/// Priority queue with admission control for the requests of one upstream:
/// decides which request runs next, and which requests are refused.
///
/// Usage:
///   admission_queue Queue({.Slots = 4});
///   if (Queue.tryEnqueue({.Id = Id, .Class = priority_class::Live}, Now) ==
///       admission_refusal::None)
///     while (auto Next = Queue.startNext(Now))
///       run(*Next); // then Queue.onFinish(*Next, Completed, Now)
///   if (auto Victim = Queue.pickPreemptionVictim())
///     cancel(*Victim); // its end is reported to onFinish() as usual
///
/// Reads no clock and does no I/O. Not thread-safe. startNext() and onFinish()
/// cost O(log n) in the number of active runs, tryEnqueue() and
/// pickPreemptionVictim() O(n).

#ifndef CARDAMOM_POLICY_ADMISSION_QUEUE_H
#define CARDAMOM_POLICY_ADMISSION_QUEUE_H

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

/// In descending order of priority.
enum class priority_class : uint8_t { Live, TrainerFirst, TrainerSecond };
inline constexpr size_t PriorityClassCount = 3;

enum class admission_refusal { None, QueueFull, DeadlineUnreachable };

struct admission_request {
  std::string Id;
  priority_class Class = priority_class::Live;
  /// Time until the caller's deadline; 0 = no deadline.
  milliseconds TimeToDeadline{0};
  /// Whether the run may be cancelled to make room for a live request. Ignored
  /// for live requests, which are never preempted.
  bool Preemptible = false;
};

struct admission_options {
  /// Number of requests that the upstream runs concurrently.
  unsigned Slots = 1;
  /// Maximum queue length of each class.
  std::array<size_t, PriorityClassCount> QueueCapacities = {64, 256, 256};
  /// While requests of several classes wait, one start in this many is taken
  /// from the lowest of these classes, so that it does not starve.
  unsigned LowestClassInterval = 10;
  /// Smoothing factor of the moving average of service time: the weight of a
  /// new sample.
  double ServiceTimeSmoothing = 0.2;
};

class admission_queue {
public:
  explicit admission_queue(admission_options Options);

  /// Changes the concurrency limit. Active runs above a lowered limit continue.
  void setSlots(unsigned Slots);

  /// Adds the request to the queue of its class, or returns why it is refused.
  admission_refusal tryEnqueue(const admission_request &Request,
                               time_point Now);
  /// Removes the request to run next from its queue and counts it as active.
  /// Returns its ID, or nullopt if all slots are in use or no request waits.
  std::optional<std::string> startNext(time_point Now);
  /// Returns the most recently started preemptible run if a live request waits
  /// for a slot that no earlier victim will free. Each run is returned at most
  /// once. A run that was started because of LowestClassInterval is never
  /// returned, since the interval would have no effect otherwise.
  std::optional<std::string> pickPreemptionVictim();
  /// Frees the slot of an active run. If Completed, the run's duration updates
  /// the average service time.
  void onFinish(std::string_view Id, bool Completed, time_point Now);
  /// Removes a waiting request. Returns false if no such request waits.
  bool remove(std::string_view Id);
  /// Removes the waiting requests whose deadline has passed and returns their
  /// IDs.
  std::vector<std::string> removeExpired(time_point Now);

  /// Predicted time until a request of the class would start if it were queued
  /// now.
  [[nodiscard]] milliseconds predictedWait(priority_class Class,
                                           time_point Now) const;
  [[nodiscard]] size_t waitingCount(priority_class Class) const;
  [[nodiscard]] size_t activeCount() const { return Active.size(); }
  [[nodiscard]] unsigned slots() const { return Options.Slots; }
  /// Moving average of service time over all classes; 0 until a run has
  /// completed.
  [[nodiscard]] double averageServiceMs() const { return OverallServiceMs; }

private:
  struct waiting_request {
    admission_request Request;
    time_point Deadline;
  };
  struct active_run {
    priority_class Class;
    bool Preemptible = false;
    bool Preempted = false;
    /// Position in the order of starts.
    uint64_t StartOrder = 0;
    time_point Start;
  };
  using queue = std::deque<waiting_request>;

  [[nodiscard]] const queue &queueOf(priority_class Class) const {
    return Queues[size_t(Class)];
  }
  [[nodiscard]] size_t preemptibleRunCount() const;
  void updateServiceTime(priority_class Class, double Ms);

  admission_options Options;
  std::array<queue, PriorityClassCount> Queues;
  std::map<std::string, active_run, std::less<>> Active;
  std::array<double, PriorityClassCount> ClassServiceMs{};
  double OverallServiceMs = 0;
  /// Number of starts while requests of several classes waited.
  uint64_t ContendedStarts = 0;
  uint64_t LastStartOrder = 0;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_ADMISSION_QUEUE_H
