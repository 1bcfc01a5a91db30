/// \file
/// Time types of the emulators. Stateful classes take the current time as an
/// argument, so that their tests need not sleep.

#ifndef STANDINS_CLOCK_H
#define STANDINS_CLOCK_H

#include <chrono>

namespace standins {

using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;
/// Milliseconds as a floating-point number.
using fractional_ms = std::chrono::duration<double, std::milli>;

} // namespace standins

#endif // STANDINS_CLOCK_H
