/// \file
/// Event loop that runs all I/O, timers and request handling of a gateway on
/// one thread.
///
/// Usage:
///   event_loop Loop;
///   timer_handle Timer = Loop.after(milliseconds(100), [] { ... });
///   Loop.run(); // until stop()
///
/// Destroying a timer's handle cancels the timer. Only post() and stop() are
/// thread-safe; call all other functions on the loop's thread.

#ifndef CARDAMOM_HTTP_EVENT_LOOP_H
#define CARDAMOM_HTTP_EVENT_LOOP_H

#include "base/time.h"

#include <functional>
#include <initializer_list>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamom {

class timer_state;
using timer_handle = std::shared_ptr<timer_state>;

class event_loop {
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  void run();
  void stop();
  /// Allows run() to be called again after stop().
  void restart();
  /// Runs Task on the loop's thread. Thread-safe.
  void post(std::function<void()> Task);
  /// Runs Task once after Delay unless the handle is destroyed first.
  [[nodiscard]] timer_handle after(milliseconds Delay,
                                   std::function<void()> Task);
  /// Runs Task on each delivery of one of the signals.
  void onSignals(std::initializer_list<int> Signals,
                 std::function<void(int)> Task);
  /// Time since boot, including time during which the VM was suspended.
  [[nodiscard]] static time_point now();

  [[nodiscard]] boost::asio::io_context &context() { return *Context; }

private:
  struct signal_state;
  std::unique_ptr<boost::asio::io_context> Context;
  std::unique_ptr<signal_state> Signals;
};

} // namespace cardamom

#endif // CARDAMOM_HTTP_EVENT_LOOP_H
