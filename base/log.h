/// \file
/// Structured logs. Lines are written only for changes of state; everything
/// else is a counter.
///
/// Use:
///   logState("peer_down", {{"peer", Name}, {"reason", "silent"}});
/// writes
///   ts=... level=info process=entry-1 event=peer_down peer=... reason=silent

#ifndef CARDAMOM_BASE_LOG_H
#define CARDAMOM_BASE_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace cardamom {

struct log_field {
  std::string_view Key;
  std::string Value;
};

/// Directs the log to standard output, through a bounded queue that a thread of
/// its own empties: under pressure the oldest waiting lines are dropped, and a
/// caller never blocks. Level is one of trace, debug, info,
/// warn, error, off. Throws std::invalid_argument that names another level.
void initLog(std::string_view ProcessName, std::string_view Level);

/// Writes out what is waiting; to be called before the process ends.
void flushLog();

/// Writes one line at level info.
void logInfo(std::string_view Event,
             std::initializer_list<log_field> Fields = {});

/// Writes one line at level error, for states that need an operator.
void logError(std::string_view Event,
              std::initializer_list<log_field> Fields = {});

} // namespace cardamom

#endif // CARDAMOM_BASE_LOG_H
