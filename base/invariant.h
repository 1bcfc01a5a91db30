/// \file
/// Invariant checks that are enabled in all builds.

#ifndef CARDAMOM_BASE_INVARIANT_H
#define CARDAMOM_BASE_INVARIANT_H

#include <string_view>

namespace cardamom {

/// Logs the violated invariant and aborts. Stopping the process is safe;
/// continuing with inconsistent state is not.
[[noreturn]] void invariantViolated(std::string_view What,
                                    std::string_view File, int Line);

} // namespace cardamom

/// Logs What and aborts unless Condition holds. Also checked in release builds.
#define CARDAMOM_INVARIANT(Condition, What)                                    \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::cardamom::invariantViolated(What, __FILE__, __LINE__);                 \
  } while (false)

#endif // CARDAMOM_BASE_INVARIANT_H
