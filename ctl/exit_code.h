/// \file
/// Exit codes of cardamomctl, documented in docs/operators.md.

#ifndef CARDAMOM_CTL_EXIT_CODE_H
#define CARDAMOM_CTL_EXIT_CODE_H

namespace cardamom {

enum class exit_code {
  Ok = 0,
  /// Wrong flags or arguments.
  Usage = 2,
  /// A file, a name or an id is refused.
  BadInput = 3,
  /// Another edit was accepted first; nothing was written.
  Conflict = 4,
  /// The store or the entry cannot be used; nothing was written.
  Unavailable = 5,
  /// The edit may be in force, or may come into force.
  Unknown = 6,
};

} // namespace cardamom

#endif // CARDAMOM_CTL_EXIT_CODE_H
