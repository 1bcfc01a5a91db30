/// \file
/// A complete HTTP answer of the entry, and the one form of its errors.

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
  /// Whether the reply is an error; Verdict is then sent as a header.
  bool IsError = false;
  run_certainty Certainty = run_certainty::NotRun;
  milliseconds RetryAfter{0};
};

/// Input that is refused. Field names the offending part, Allowed says what is
/// accepted; what() is the message for people.
class input_error : public std::runtime_error {
public:
  input_error(int Status, std::string Reason, std::string Field,
              std::string Allowed);

  int Status;
  std::string Reason;
  std::string Field;
  std::string Allowed;
};

/// Each error is counted in requests_refused_total{reason}.
http_reply errorReply(int Status, const verdict &Verdict);
http_reply errorReply(const input_error &Error);
/// 503 for not_run, 504 for may_have_run, 502 for ran without an answer.
http_reply errorReply(const verdict &Verdict);
/// The JSON object that errorReply() sends.
std::string errorBody(const verdict &Verdict);

/// The text as JSON keeps only valid UTF-8; returns the length of the longest
/// prefix that does not end inside a character.
size_t completeUtf8Length(std::string_view Text);

/// 128 random bits in hexadecimal, from the system's generator.
std::string randomId();

} // namespace cardamom

#endif // CARDAMOM_ENTRY_HTTP_REPLY_H
