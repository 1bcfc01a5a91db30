/// \file
/// Invariants that hold in every build.

#ifndef CARDAMOM_BASE_INVARIANT_H
#define CARDAMOM_BASE_INVARIANT_H

#include <string_view>

namespace cardamom {

/// Logs the broken invariant and aborts: a process that stops is safe, one
/// that goes on with broken state is not.
[[noreturn]] void invariantBroken(std::string_view What, std::string_view File,
                                  int Line);

} // namespace cardamom

/// Aborts with What unless Condition holds. Not compiled out in releases.
#define CARDAMOM_INVARIANT(Condition, What)                                    \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::cardamom::invariantBroken(What, __FILE__, __LINE__);                   \
  } while (false)

#endif // CARDAMOM_BASE_INVARIANT_H
