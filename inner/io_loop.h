/// \file
/// Event loop on its own thread for socket events, one timer and posted tasks
/// (epoll and eventfd).
///
/// Use:
///   io_loop Loop({.OnReady = ..., .OnTimer = ..., .OnBatchEnd = ...});
///   Loop.start();
///   Loop.post([] { ... });   // runs on the loop thread
///   Loop.stop();

#ifndef CARDAMOM_INNER_IO_LOOP_H
#define CARDAMOM_INNER_IO_LOOP_H

#include "base/time.h"
#include "inner/socket.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace cardamom {

struct io_loop_options {
  /// A watched socket is ready; Events is the epoll event mask.
  std::function<void(uint64_t Id, uint32_t Events, time_point Now)> OnReady =
      {};
  /// The time set by setTimer() has passed. Returns the next time.
  std::function<time_point(time_point Now)> OnTimer = {};
  /// All ready sockets, timers and tasks of one loop iteration have been
  /// handled.
  std::function<void(time_point Now)> OnBatchEnd = {};
};

class io_loop {
public:
  using task = std::function<void(time_point Now)>;

  explicit io_loop(io_loop_options Options);
  /// Stops the loop.
  ~io_loop();
  io_loop(const io_loop &) = delete;
  io_loop &operator=(const io_loop &) = delete;

  void start();
  /// Joins the thread, then runs the remaining tasks on the calling thread.
  void stop();

  /// Queues a task for the loop thread. Tasks run in the order of the calls.
  /// After stop(), returns false and does not run the task. Thread-safe.
  bool post(task Task);
  /// Number of queued tasks. Thread-safe.
  [[nodiscard]] size_t queuedTasks() const;

  // The following may be called only on the loop thread, or before start().

  /// Id must be less than 2^64 - 1, which is reserved for the wake-up event.
  void watch(int Fd, uint64_t Id, uint32_t Events);
  void updateWatch(int Fd, uint64_t Id, uint32_t Events);
  void unwatch(int Fd);
  /// Calls OnTimer at this time, or earlier if an earlier time was set.
  void setTimer(time_point At);

private:
  void run();
  void handleEvents(time_point Now, int Timeout);
  void runTasks(time_point Now);
  [[nodiscard]] int timeoutMs(time_point Now) const;

  io_loop_options Options;
  unique_fd EpollFd;
  unique_fd WakeFd;
  std::thread Thread;
  std::atomic<bool> Stopping{false};
  std::atomic<std::thread::id> LoopThread;
  time_point Timer = time_point::max();

  mutable std::mutex Mutex;
  std::vector<task> Tasks;
  bool Stopped = false;
};

} // namespace cardamom

#endif // CARDAMOM_INNER_IO_LOOP_H
