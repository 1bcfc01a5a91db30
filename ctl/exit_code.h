/// \file
/// Exit codes of cardamomctl, documented in docs/operators.md.

#ifndef CARDAMOM_CTL_EXIT_CODE_H
#define CARDAMOM_CTL_EXIT_CODE_H

namespace cardamom {

enum class exit_code {
  Ok = 0,
  /// Invalid flags or arguments.
  Usage = 2,
  /// Invalid file, name or id, or no valid configuration in the store.
  BadInput = 3,
  /// Another edit was accepted first; nothing was written.
  Conflict = 4,
  /// The store or the entry is unavailable; nothing was written.
  Unavailable = 5,
  /// The edit may have been accepted, or may still be accepted.
  Unknown = 6,
};

} // namespace cardamom

#endif // CARDAMOM_CTL_EXIT_CODE_H
