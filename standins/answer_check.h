/// \file
/// Reads answers of the system and of the emulators, for clients that check
/// them.

#ifndef STANDINS_ANSWER_CHECK_H
#define STANDINS_ANSWER_CHECK_H

#include <cstdint>
#include <string>
#include <string_view>

namespace standins {

/// Text of a completion in any of the three forms: lines of the engine, server-
/// sent events, or a single JSON document. Cancelled or malformed parts add
/// nothing. Text is taken from "token", "text" or "choices"[0]."text".
std::string completionText(std::string_view Body);

/// {"error":{"reason"}} of a document or an event; "" when there is none.
std::string errorReason(std::string_view Body);

/// {"error":{"retry_after_ms"}}, 0 when there is none.
uint64_t retryAfterMs(std::string_view Body);

/// A plain service's answer to the call with this unique token in its target,
/// of at least MinBytes.
bool isPlainServiceResponse(std::string_view Body, std::string_view Token,
                            size_t MinBytes);

/// A plain service's answer to the call with this Idempotency-Key.
bool hasIdempotencyKey(std::string_view Body, std::string_view Key);

} // namespace standins

#endif // STANDINS_ANSWER_CHECK_H
