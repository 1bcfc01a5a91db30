#include "inner/io_loop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace cardamom {

static constexpr uint64_t WakeId = std::numeric_limits<uint64_t>::max();
static constexpr int MaxEvents = 128;

static unique_fd checkFd(int Fd, const char *What) {
  if (Fd < 0)
    throw std::system_error(errno, std::generic_category(), What);
  return unique_fd(Fd);
}

io_loop::io_loop(io_loop_options Options)
    : Options(std::move(Options)),
      EpollFd(checkFd(::epoll_create1(EPOLL_CLOEXEC), "epoll_create1")),
      WakeFd(checkFd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), "eventfd")) {
  watch(WakeFd.get(), WakeId, EPOLLIN);
}

io_loop::~io_loop() { stop(); }

void io_loop::start() {
  Thread = std::thread([this] { run(); });
}

void io_loop::stop() {
  Stopping = true;
  const uint64_t One = 1;
  [[maybe_unused]] auto Written = ::write(WakeFd.get(), &One, sizeof(One));
  if (Thread.joinable())
    Thread.join();
  std::vector<task> Remaining;
  {
    std::lock_guard Lock(Mutex);
    Stopped = true;
    Remaining.swap(Tasks);
  }
  for (const task &Task : Remaining)
    Task(steady_clock::now());
}

bool io_loop::post(task Task) {
  bool First = false;
  {
    std::lock_guard Lock(Mutex);
    if (Stopped)
      return false;
    First = Tasks.empty();
    Tasks.push_back(std::move(Task));
  }
  // The loop checks for tasks before it blocks, so tasks posted by the loop
  // thread need no wake-up, nor do tasks queued behind another one.
  if (!First || LoopThread.load() == std::this_thread::get_id())
    return true;
  const uint64_t One = 1;
  [[maybe_unused]] auto Written = ::write(WakeFd.get(), &One, sizeof(One));
  return true;
}

size_t io_loop::queuedTasks() const {
  std::lock_guard Lock(Mutex);
  return Tasks.size();
}

static epoll_event makeEvent(uint64_t Id, uint32_t Events) {
  epoll_event Event = {};
  Event.events = Events;
  Event.data.u64 = Id;
  return Event;
}

void io_loop::watch(int Fd, uint64_t Id, uint32_t Events) {
  epoll_event Event = makeEvent(Id, Events);
  if (::epoll_ctl(EpollFd.get(), EPOLL_CTL_ADD, Fd, &Event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl add");
}

void io_loop::updateWatch(int Fd, uint64_t Id, uint32_t Events) {
  epoll_event Event = makeEvent(Id, Events);
  if (::epoll_ctl(EpollFd.get(), EPOLL_CTL_MOD, Fd, &Event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl mod");
}

void io_loop::unwatch(int Fd) {
  ::epoll_ctl(EpollFd.get(), EPOLL_CTL_DEL, Fd, nullptr);
}

void io_loop::setTimer(time_point At) { Timer = std::min(Timer, At); }

int io_loop::timeoutMs(time_point Now) const {
  if (queuedTasks() > 0 || Timer <= Now)
    return 0;
  if (Timer == time_point::max())
    return -1;
  // Rounded up, so that the time has passed when epoll_wait() returns.
  const auto Remaining = std::chrono::ceil<milliseconds>(Timer - Now);
  return static_cast<int>(std::min<int64_t>(Remaining.count(), 60000));
}

void io_loop::handleEvents(time_point Now, int Timeout) {
  std::array<epoll_event, MaxEvents> Events;
  const int Count =
      ::epoll_wait(EpollFd.get(), Events.data(), MaxEvents, Timeout);
  if (Timeout != 0)
    Now = steady_clock::now();
  // Tasks run before socket events: a task that was posted before a peer sent
  // data, such as a cancellation, must take effect before that data is handled.
  runTasks(Now);
  for (int I = 0; I < Count; ++I) {
    const epoll_event &Event = Events[static_cast<size_t>(I)];
    if (Event.data.u64 != WakeId) {
      Options.OnReady(Event.data.u64, Event.events, Now);
      continue;
    }
    uint64_t Counter = 0;
    [[maybe_unused]] auto BytesRead =
        ::read(WakeFd.get(), &Counter, sizeof(Counter));
  }
}

void io_loop::runTasks(time_point Now) {
  std::vector<task> Ready;
  {
    std::lock_guard Lock(Mutex);
    Ready.swap(Tasks);
  }
  for (const task &Task : Ready)
    Task(Now);
}

void io_loop::run() {
  LoopThread = std::this_thread::get_id();
  while (!Stopping) {
    const time_point Before = steady_clock::now();
    handleEvents(Before, timeoutMs(Before));
    const time_point Now = steady_clock::now();
    // Timers run after socket events, so that data that arrived while this
    // process was paused is read before a peer is considered silent.
    if (Timer <= Now) {
      Timer = time_point::max();
      setTimer(Options.OnTimer(Now));
    }
    runTasks(Now);
    Options.OnBatchEnd(Now);
  }
}

} // namespace cardamom
