/// \file
/// Time types. Functions that make time-dependent decisions take the current
/// time as an argument, so that tests do not have to wait.

#ifndef CARDAMOM_BASE_TIME_H
#define CARDAMOM_BASE_TIME_H

#include <chrono>

namespace cardamom {

using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

} // namespace cardamom

#endif // CARDAMOM_BASE_TIME_H
