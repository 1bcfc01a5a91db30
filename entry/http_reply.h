/// \file
/// A complete HTTP reply of the entry, and the common format of error replies.

#ifndef CARDAMOM_ENTRY_HTTP_REPLY_H
#define CARDAMOM_ENTRY_HTTP_REPLY_H

#include "base/verdict.h"

#include <stdexcept>
#include <string>
#include <string_view>

namespace cardamom {

struct http_reply {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body{};
  /// Whether the reply is an error. Certainty and RetryAfter are then sent as
  /// headers.
  bool IsError = false;
  run_certainty Certainty = run_certainty::NotRun;
  milliseconds RetryAfter{0};
};

/// Invalid input. Field names the invalid part and Allowed describes the
/// accepted values. what() is a human-readable message.
class input_error : public std::runtime_error {
public:
  input_error(int Status, std::string Reason, std::string Field,
              std::string Allowed);

  int Status;
  std::string Reason;
  std::string Field;
  std::string Allowed;
};

/// Returns an error reply and counts it in requests_refused_total{reason}.
http_reply errorReply(int Status, const verdict &Verdict);
http_reply errorReply(const input_error &Error);
/// Replies with 503 for not_run, 504 for may_have_run, and 502 if the request
/// ran but its response is unavailable.
http_reply errorReply(const verdict &Verdict);
/// Returns the JSON body of errorReply().
std::string errorBody(const verdict &Verdict);

/// Returns the length of the longest prefix that does not end inside a UTF-8
/// character. Text is split there because JSON can carry only valid UTF-8.
size_t completeUtf8Length(std::string_view Text);

/// Returns 128 random bits from the system's generator as hexadecimal digits.
std::string randomId();

} // namespace cardamom

#endif // CARDAMOM_ENTRY_HTTP_REPLY_H
