/// \file
/// Structured logging. Lines are written only when state changes; everything
/// else is counted in metrics.
///
/// Usage:
///   logInfo("peer_disconnected", {{"peer", Name}, {"reason", "silent"}});
/// writes
///   ts=... level=info process=entry-1 event=peer_disconnected peer=...
///   reason=silent

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

/// Starts logging to standard output. Lines pass through a bounded queue that a
/// separate thread writes out. When the queue is full the oldest lines are
/// dropped, so that callers never block. Level is one of trace, debug, info,
/// warn, error and off. Throws std::invalid_argument for any other level.
void initLog(std::string_view ProcessName, std::string_view Level);

/// Writes all queued lines and stops logging. To be called before the process
/// exits.
void flushLog();

/// Writes one line at level info.
void logInfo(std::string_view Event,
             std::initializer_list<log_field> Fields = {});

/// Writes one line at level error, for conditions that need an operator's
/// attention.
void logError(std::string_view Event,
              std::initializer_list<log_field> Fields = {});

} // namespace cardamom

#endif // CARDAMOM_BASE_LOG_H
