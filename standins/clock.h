/// \file
/// Time types of the emulators. Classes that keep state take the present time
/// as an argument, so that their tests run without waiting.

#ifndef STANDINS_CLOCK_H
#define STANDINS_CLOCK_H

#include <chrono>

namespace standins {

using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;
/// Milliseconds with a fraction.
using fractional_ms = std::chrono::duration<double, std::milli>;

} // namespace standins

#endif // STANDINS_CLOCK_H
