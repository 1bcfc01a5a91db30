#include "entry/http_reply.h"

#include "base/metrics.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace cardamom {

input_error::input_error(int Status, std::string Reason, std::string Field,
                         std::string Allowed)
    : std::runtime_error(Reason + ": field \"" + Field + "\": allowed is " +
                         Allowed),
      Status(Status), Reason(std::move(Reason)), Field(std::move(Field)),
      Allowed(std::move(Allowed)) {}

static nlohmann::json errorJson(const verdict &Verdict) {
  return {{"reason", Verdict.Reason},
          {"verdict", toString(Verdict.Certainty)},
          {"message", Verdict.Message},
          {"retry_after_ms", Verdict.RetryAfter.count()}};
}

static std::string serializeError(const nlohmann::json &Error) {
  const nlohmann::json Body = {{"error", Error}};
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string errorBody(const verdict &Verdict) {
  return serializeError(errorJson(Verdict));
}

http_reply errorReply(int Status, const verdict &Verdict) {
  metrics::get()
      .counter("requests_refused_total", "reason", Verdict.Reason)
      .add();
  http_reply Reply;
  Reply.Status = Status;
  Reply.Body = errorBody(Verdict);
  Reply.IsError = true;
  Reply.Certainty = Verdict.Certainty;
  Reply.RetryAfter = Verdict.RetryAfter;
  return Reply;
}

http_reply errorReply(const input_error &Error) {
  const verdict Verdict{.Certainty = run_certainty::NotRun,
                        .Reason = Error.Reason,
                        .Message = Error.what()};
  http_reply Reply = errorReply(Error.Status, Verdict);
  nlohmann::json Json = errorJson(Verdict);
  Json["field"] = Error.Field;
  Json["allowed"] = Error.Allowed;
  Reply.Body = serializeError(Json);
  return Reply;
}

http_reply errorReply(const verdict &Verdict) {
  static constexpr milliseconds DefaultRetryAfter{500};
  switch (Verdict.Certainty) {
  case run_certainty::NotRun: {
    verdict WithHint = Verdict;
    if (WithHint.RetryAfter <= milliseconds(0))
      WithHint.RetryAfter = DefaultRetryAfter;
    return errorReply(503, WithHint);
  }
  case run_certainty::Ran:
    return errorReply(502, Verdict);
  case run_certainty::MayHaveRun:
    break;
  }
  return errorReply(504, Verdict);
}

size_t completeUtf8Length(std::string_view Text) {
  // A UTF-8 character has at most four bytes, so an incomplete one is among the
  // last three bytes.
  for (size_t Back = 1; Back <= std::min<size_t>(3, Text.size()); ++Back) {
    const auto Byte = static_cast<unsigned char>(Text[Text.size() - Back]);
    if (Byte < 0x80)
      break;
    if (Byte < 0xC0)
      continue;
    const size_t Needed = Byte >= 0xF0 ? 4 : Byte >= 0xE0 ? 3 : 2;
    return Needed > Back ? Text.size() - Back : Text.size();
  }
  return Text.size();
}

std::string randomId() {
  static thread_local std::random_device Device;
  std::string Id(32, '0');
  for (size_t I = 0; I < 4; ++I) {
    char Part[9];
    std::snprintf(Part, sizeof(Part), "%08x", unsigned(Device()));
    Id.replace(I * 8, 8, Part);
  }
  return Id;
}

} // namespace cardamom
