/// \file
/// Decides which request an upstream runs next, and which is refused.
///
/// Use:
///   admission Queue({.Slots = 4});
///   if (Queue.offer({.Id = Id, .Class = priority_class::Live}, Now) ==
///       admission_refusal::None)
///     while (auto Next = Queue.next(Now))
///       run(*Next); // then Queue.onFinish(*Next, Now)
///   if (auto Victim = Queue.pickPreempted())
///     cancel(*Victim); // its end arrives at onFinish() as usual
///
/// Pure: no clock, no I/O. Not thread-safe. next() and onFinish() cost
/// O(log n) in the number of active runs, offer() and pickPreempted() O(n).

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

/// In descending priority.
enum class priority_class : uint8_t { Live, TrainerFirst, TrainerSecond };
inline constexpr size_t PriorityClassCount = 3;

enum class admission_refusal { None, QueueFull, DeadlineUnreachable };

struct admission_request {
  std::string Id;
  priority_class Class = priority_class::Live;
  /// Until the caller's deadline; 0 = none.
  milliseconds TimeToDeadline{0};
  /// Whether the run may be cancelled for a live request. Only runs of the
  /// trainer classes ever are.
  bool Preemptible = false;
};

struct admission_options {
  /// Requests that the upstream runs at once.
  unsigned Slots = 1;
  /// Longest queue of each class.
  std::array<size_t, PriorityClassCount> QueueCapacities = {64, 256, 256};
  /// While several classes wait, one admission in this many goes to the
  /// lowest of them, so that it does not starve.
  unsigned LowestClassInterval = 10;
  /// Weight of a new sample in the moving average of service time.
  double ServiceTimeSmoothing = 0.2;
};

class admission_queue {
public:
  explicit admission_queue(admission_options Options);

  /// Changes the limit; active runs above it go on.
  void setSlots(unsigned Slots);

  /// Queues the request unless it is refused.
  admission_refusal tryEnqueue(const admission_request &Request,
                               time_point Now);
  /// Takes the request to run next and counts it as active. Nothing when all
  /// slots are held or nothing waits.
  std::optional<std::string> startNext(time_point Now);
  /// Chooses the newest preemptible trainer run when a live request waits for
  /// a slot that no earlier choice will free. Each run is chosen once. A run
  /// that owes its slot to LowestShare is never chosen: the share would have
  /// no effect otherwise.
  std::optional<std::string> pickPreemptionVictim();
  /// Frees the slot of an active run. Its time counts as service time when it
  /// Completed.
  void onFinish(std::string_view Id, bool Completed, time_point Now);
  /// Removes a waiting request. Returns false when it does not wait.
  bool remove(std::string_view Id);
  /// Removes and returns the waiting requests whose deadline has passed.
  std::vector<std::string> removeExpired(time_point Now);

  /// Time until a request of the class, offered now, would start.
  [[nodiscard]] milliseconds predictedWait(priority_class Class,
                                           time_point Now) const;
  [[nodiscard]] size_t waitingCount(priority_class Class) const;
  [[nodiscard]] size_t activeCount() const { return Active.size(); }
  [[nodiscard]] unsigned slots() const { return Options.Slots; }
  /// Moving average over all classes; 0 until a run has completed.
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
    /// Order of starts.
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
  /// Admissions made while several classes waited.
  uint64_t ContendedAdmissions = 0;
  uint64_t LastStartOrder = 0;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_ADMISSION_QUEUE_H
