#include "http/event_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <ctime>

namespace cardamom {

namespace asio = boost::asio;

class timer_state {
public:
  explicit timer_state(asio::io_context &Context) : Timer(Context) {}
  asio::steady_timer Timer;
};

struct event_loop::signal_state {
  signal_state(asio::io_context &Context, std::function<void(int)> Task)
      : Set(Context), Task(std::move(Task)) {}

  void wait() {
    Set.async_wait([this](const boost::system::error_code &Error, int Signal) {
      if (Error)
        return;
      Task(Signal);
      wait();
    });
  }

  asio::signal_set Set;
  std::function<void(int)> Task;
};

event_loop::event_loop()
    : Context(std::make_unique<asio::io_context>(/*concurrency_hint=*/1)) {}

event_loop::~event_loop() = default;

void event_loop::run() {
  const auto Work = asio::make_work_guard(*Context);
  Context->run();
}

void event_loop::stop() { Context->stop(); }

void event_loop::restart() { Context->restart(); }

void event_loop::post(std::function<void()> Task) {
  asio::post(*Context, std::move(Task));
}

timer_handle event_loop::after(milliseconds Delay, std::function<void()> Task) {
  auto State = std::make_shared<timer_state>(*Context);
  State->Timer.expires_after(Delay);
  // The handler holds only a weak reference, so that destroying the handle
  // cancels the timer.
  State->Timer.async_wait(
      [Weak = std::weak_ptr<timer_state>(State),
       Task = std::move(Task)](const boost::system::error_code &Error) {
        if (!Error && !Weak.expired())
          Task();
      });
  return State;
}

void event_loop::onSignals(std::initializer_list<int> Numbers,
                           std::function<void(int)> Task) {
  Signals = std::make_unique<signal_state>(*Context, std::move(Task));
  for (const int Number : Numbers)
    Signals->Set.add(Number);
  Signals->wait();
}

time_point event_loop::now() {
  // steady_clock does not advance while the VM is suspended, so an expired
  // lease could still appear valid after the VM resumes.
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return time_point(std::chrono::seconds(Time.tv_sec) +
                    std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace cardamom
