#include "config/json_fields.h"

#include <algorithm>
#include <set>
#include <vector>

namespace cardamom {

using nlohmann::json;

/// The deepest valid document has 5 levels. Copying and dumping a json value
/// recurse, so the limit also prevents stack overflow.
static constexpr int MaxDepth = 16;

namespace {

/// Parser callback that rejects deep nesting and repeated keys. Without it the
/// parser silently keeps the last value of a repeated key.
class strict_parse_callback {
public:
  explicit strict_parse_callback(std::string_view File) : File(File) {}

  bool operator()(int Depth, json::parse_event_t Event, const json &Parsed) {
    if (Event == json::parse_event_t::object_start ||
        Event == json::parse_event_t::array_start)
      enterContainer(Depth);
    else if (Event == json::parse_event_t::object_end ||
             Event == json::parse_event_t::array_end)
      KeysByLevel.pop_back();
    else if (Event == json::parse_event_t::key)
      checkKeyUnique(Parsed.get_ref<const std::string &>());
    return true;
  }

private:
  void enterContainer(int Depth) {
    if (Depth > MaxDepth)
      throwInputError({.File = File},
                      "nested too deeply: allowed are at most 16 levels");
    KeysByLevel.emplace_back();
  }

  void checkKeyUnique(const std::string &Key) {
    if (!KeysByLevel.back().insert(Key).second)
      throwInputError({.File = File, .Field = Key},
                      "the field is repeated: allowed is each field once");
  }

  std::string_view File;
  /// Keys of each open object or array, outermost first; arrays have none.
  std::vector<std::set<std::string>> KeysByLevel;
};

} // namespace

static size_t lineAt(std::string_view Text, size_t Offset) {
  const auto Before = Text.substr(0, Offset);
  return 1 + std::count(Before.begin(), Before.end(), '\n');
}

/// Returns the message without the exception's identifier, such as
/// "[json.exception.parse_error.101] ".
static std::string errorMessage(const json::exception &Error) {
  const std::string_view What = Error.what();
  const size_t End = What.find("] ");
  return std::string(End == std::string_view::npos ? What
                                                   : What.substr(End + 2));
}

json parseStrictJson(std::string_view File, std::string_view Text) {
  rejectNulBytes(File, Text);
  try {
    strict_parse_callback Callback(File);
    return json::parse(Text,
                       [&](int Depth, json::parse_event_t Event, json &Parsed) {
                         return Callback(Depth, Event, Parsed);
                       });
  } catch (const json::parse_error &Error) {
    throwInputError({.File = File, .Line = lineAt(Text, Error.byte)},
                    errorMessage(Error) + ": allowed is well-formed JSON");
  } catch (const json::exception &Error) {
    throwInputError({.File = File},
                    errorMessage(Error) + ": allowed is well-formed JSON");
  }
}

json_fields::json_fields(std::string_view File, std::string Path,
                         const json &Object,
                         std::initializer_list<std::string_view> Allowed)
    : File(File), Path(std::move(Path)), Object(Object) {
  if (!Object.is_object())
    throwFieldError({.File = File, .Field = this->Path}, Object.dump(),
                    "an object");
  for (const auto &[Key, Value] : Object.items()) {
    if (std::find(Allowed.begin(), Allowed.end(), Key) != Allowed.end())
      continue;
    std::string Names;
    for (const std::string_view Name : Allowed)
      Names += (Names.empty() ? "" : ", ") + std::string(Name);
    throwInputError({.File = File, .Field = path(Key)},
                    "unknown field: allowed are " + Names);
  }
}

std::string json_fields::path(std::string_view Key) const {
  return Path.empty() ? std::string(Key) : Path + "." + std::string(Key);
}

void json_fields::rejectValue(std::string_view Key,
                              std::string_view Allowed) const {
  const json &Value = at(Key);
  throwFieldError({.File = File, .Field = path(Key)},
                  Value.is_string() ? Value.get_ref<const std::string &>()
                                    : Value.dump(),
                  Allowed);
}

bool json_fields::has(std::string_view Key) const {
  return Object.contains(Key);
}

const json &json_fields::at(std::string_view Key) const {
  const auto It = Object.find(Key);
  if (It == Object.end())
    throwInputError({.File = File, .Field = path(Key)}, "the field is missing");
  return *It;
}

const json &json_fields::array(std::string_view Key) const {
  const json &Value = at(Key);
  if (!Value.is_array())
    rejectValue(Key, "an array");
  return Value;
}

std::string json_fields::text(std::string_view Key) const {
  const json &Value = at(Key);
  if (!Value.is_string())
    rejectValue(Key, "a string");
  return Value.get<std::string>();
}

uint64_t json_fields::number(std::string_view Key, uint64_t Min,
                             uint64_t Max) const {
  const json &Value = at(Key);
  // is_number_unsigned() is false for negative numbers.
  if (!Value.is_number_unsigned() || Value.get<uint64_t>() < Min ||
      Value.get<uint64_t>() > Max)
    rejectValue(Key, "a whole number from " + std::to_string(Min) + " to " +
                         std::to_string(Max));
  return Value.get<uint64_t>();
}

bool json_fields::boolean(std::string_view Key) const {
  if (!has(Key))
    return false;
  const json &Value = at(Key);
  if (!Value.is_boolean())
    rejectValue(Key, "true or false");
  return Value.get<bool>();
}

double json_fields::fraction(std::string_view Key) const {
  const json &Value = at(Key);
  if (!Value.is_number() || !(Value.get<double>() >= 0) ||
      !(Value.get<double>() <= 1))
    rejectValue(Key, "a number from 0 to 1");
  return Value.get<double>();
}

} // namespace cardamom
