#include "base/bounded_json.h"

#include <algorithm>
#include <cstdint>
#include <stdexcept>

namespace cardamom {

using nlohmann::json;

/// Returns the offset after the string whose opening quote is at Start.
static size_t endOfString(std::string_view Text, size_t Start) {
  for (size_t I = Start + 1; I < Text.size(); ++I) {
    if (Text[I] == '\\')
      ++I;
    else if (Text[I] == '"')
      return I + 1;
  }
  return Text.size();
}

/// Returns the offset of the comma or closing bracket that ends the value which
/// starts at Start.
static size_t endOfValue(std::string_view Text, size_t Start) {
  size_t Depth = 0;
  for (size_t I = Start; I < Text.size(); ++I) {
    switch (Text[I]) {
    case '"':
      I = endOfString(Text, I) - 1;
      break;
    case '{':
    case '[':
      ++Depth;
      break;
    case '}':
    case ']':
      if (Depth-- == 0)
        return I;
      break;
    case ',':
      if (Depth == 0)
        return I;
      break;
    default:
      break;
    }
  }
  return Text.size();
}

static size_t nestingDepth(std::string_view Text) {
  size_t Depth = 0;
  size_t Deepest = 0;
  for (size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '"')
      I = endOfString(Text, I) - 1;
    else if (Text[I] == '{' || Text[I] == '[')
      Deepest = std::max(Deepest, ++Depth);
    else if ((Text[I] == '}' || Text[I] == ']') && Depth > 0)
      --Depth;
  }
  return Deepest;
}

json parseBoundedJson(std::string_view Text) {
  if (nestingDepth(Text) > MaxJsonDepth)
    throw std::invalid_argument("JSON is nested more than " +
                                std::to_string(MaxJsonDepth) + " levels deep");
  try {
    return json::parse(Text);
  } catch (const json::exception &Error) {
    throw std::invalid_argument(std::string("not valid JSON: ") + Error.what());
  }
}

static std::string_view trim(std::string_view Text) {
  static constexpr std::string_view WhiteSpace = " \t\r\n";
  const size_t First = Text.find_first_not_of(WhiteSpace);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(WhiteSpace) - First + 1);
}

/// Returns the parts of a container between its brackets.
static std::vector<std::string_view> splitContainer(std::string_view Text,
                                                    char Open, char Close) {
  Text = trim(Text);
  if (Text.size() < 2 || Text.front() != Open || Text.back() != Close)
    throw std::invalid_argument(std::string("not a JSON ") +
                                (Open == '{' ? "object" : "array"));
  const std::string_view Inside = Text.substr(1, Text.size() - 2);
  std::vector<std::string_view> Parts;
  if (trim(Inside).empty())
    return Parts;
  for (size_t Start = 0; Start <= Inside.size();) {
    const size_t End = endOfValue(Inside, Start);
    Parts.push_back(trim(Inside.substr(Start, End - Start)));
    Start = End + 1;
  }
  return Parts;
}

std::vector<std::string_view> splitJsonArray(std::string_view Text) {
  return splitContainer(Text, '[', ']');
}

std::vector<json_member> splitJsonObject(std::string_view Text) {
  std::vector<json_member> Members;
  for (const std::string_view Part : splitContainer(Text, '{', '}')) {
    const size_t KeyEnd = Part.starts_with('"') ? endOfString(Part, 0) : 0;
    const size_t Colon = Part.find(':', KeyEnd);
    if (KeyEnd < 2 || Colon == std::string_view::npos)
      throw std::invalid_argument("member of a JSON object without a key");
    Members.push_back({.Key = Part.substr(1, KeyEnd - 2),
                       .Value = trim(Part.substr(Colon + 1))});
  }
  return Members;
}

static const json *findMember(const json &Object, const char *Key) {
  if (!Object.is_object())
    return nullptr;
  const auto It = Object.find(Key);
  return It == Object.end() ? nullptr : &*It;
}

std::string textOr(const json &Object, const char *Key,
                   std::string_view Default) {
  const json *Value = findMember(Object, Key);
  return Value && Value->is_string() ? Value->get<std::string>()
                                     : std::string(Default);
}

uint64_t countOr(const json &Object, const char *Key, uint64_t Default) {
  const json *Value = findMember(Object, Key);
  const bool IsCount =
      Value && Value->is_number_integer() &&
      (Value->is_number_unsigned() || Value->get<int64_t>() >= 0);
  return IsCount ? Value->get<uint64_t>() : Default;
}

bool flagOr(const json &Object, const char *Key) {
  const json *Value = findMember(Object, Key);
  return Value && Value->is_boolean() && Value->get<bool>();
}

} // namespace cardamom
