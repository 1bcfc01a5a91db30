/// \file
/// Parses responses of the system and of the emulators for clients that
/// validate them.

#ifndef STANDINS_ANSWER_CHECK_H
#define STANDINS_ANSWER_CHECK_H

#include <cstdint>
#include <string>
#include <string_view>

namespace standins {

/// Returns the text of a completion in any of the three formats: the engine's
/// JSON lines, server-sent events, or a single JSON document. Cancellation
/// notices and malformed parts are skipped. Text is taken from "token", "text"
/// or "choices"[0]."text".
std::string completionText(std::string_view Body);

/// Returns {"error":{"reason"}} of a document or an event, or "" if absent.
std::string errorReason(std::string_view Body);

/// Returns {"error":{"retry_after_ms"}}, or 0 if absent.
uint64_t retryAfterMs(std::string_view Body);

/// Returns true if Body is the response of a plain service (not a model engine)
/// to the call whose request target contains CallId, and has at least MinBytes.
bool isPlainServiceResponse(std::string_view Body, std::string_view CallId,
                            size_t MinBytes);

/// Returns true if Body is the response of a plain service to the call with
/// this Idempotency-Key.
bool hasIdempotencyKey(std::string_view Body, std::string_view Key);

} // namespace standins

#endif // STANDINS_ANSWER_CHECK_H
