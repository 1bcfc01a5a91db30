#include "standins/answer_check.h"

#include <nlohmann/json.hpp>

namespace standins {

namespace {

using nlohmann::json;

/// Calls Visit with each JSON object of the body, which is either one document
/// or one object per line, with or without the "data:" prefix of an event.
template <typename visitor>
void visitJsonObjects(std::string_view Body, visitor Visit) {
  json Document = json::parse(Body, nullptr, false);
  if (Document.is_object())
    return Visit(Document);
  while (!Body.empty()) {
    size_t End = std::min(Body.find('\n'), Body.size());
    std::string_view Line = Body.substr(0, End);
    Body.remove_prefix(std::min(End + 1, Body.size()));
    if (Line.starts_with("data:"))
      Line.remove_prefix(5);
    json Parsed = json::parse(Line, nullptr, false);
    if (Parsed.is_object())
      Visit(Parsed);
  }
}

std::string stringField(const json &Object, const char *Name) {
  auto It = Object.find(Name);
  return It != Object.end() && It->is_string() ? It->get<std::string>() : "";
}

std::string completionTextOf(const json &Object) {
  auto Choices = Object.find("choices");
  if (Choices != Object.end() && Choices->is_array() && !Choices->empty() &&
      Choices->front().is_object())
    return stringField(Choices->front(), "text");
  std::string Token = stringField(Object, "token");
  return Token.empty() ? stringField(Object, "text") : Token;
}

json findError(std::string_view Body) {
  json Found = json::object();
  visitJsonObjects(Body, [&](const json &Object) {
    auto It = Object.find("error");
    if (It != Object.end() && It->is_object())
      Found = *It;
  });
  return Found;
}

} // namespace

std::string completionText(std::string_view Body) {
  std::string Text;
  visitJsonObjects(
      Body, [&](const json &Object) { Text += completionTextOf(Object); });
  return Text;
}

std::string errorReason(std::string_view Body) {
  return stringField(findError(Body), "reason");
}

uint64_t retryAfterMs(std::string_view Body) {
  json Error = findError(Body);
  auto It = Error.find("retry_after_ms");
  return It != Error.end() && It->is_number_unsigned() ? It->get<uint64_t>()
                                                       : 0;
}

bool isPlainServiceResponse(std::string_view Body, std::string_view CallId,
                            size_t MinBytes) {
  json Response = json::parse(Body, nullptr, false);
  return Response.is_object() && Body.size() >= MinBytes &&
         stringField(Response, "path").find(CallId) != std::string::npos;
}

bool hasIdempotencyKey(std::string_view Body, std::string_view Key) {
  json Response = json::parse(Body, nullptr, false);
  return Response.is_object() && stringField(Response, "key") == Key;
}

} // namespace standins
