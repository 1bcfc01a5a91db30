#include "agent/token_stream_parser.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cardamom {

using json = nlohmann::json;

token_stream_parser::token_stream_parser(token_stream_parser_options Options)
    : Options(std::move(Options)) {}

token_stream_result token_stream_parser::parseLine(std::string_view Line) {
  const json Object = json::parse(Line, nullptr, false);
  if (!Object.is_object())
    return token_stream_result::Malformed;
  if (Object.contains("done"))
    return token_stream_result::Done;
  if (Object.contains("cancelled"))
    return token_stream_result::Cancelled;
  const auto Token = Object.find("token");
  if (Token == Object.end() || !Token->is_string())
    return token_stream_result::Malformed;
  const auto Version = Object.find("version");
  if (Version == Object.end() || !Version->is_number_unsigned())
    return token_stream_result::MissingVersion;
  const auto &Text = Token->get_ref<const std::string &>();
  return Options.OnToken(Text, Version->get<uint64_t>())
             ? token_stream_result::Incomplete
             : token_stream_result::Aborted;
}

bool token_stream_parser::feed(std::string_view Bytes) {
  while (Result == token_stream_result::Incomplete && !Bytes.empty()) {
    const size_t End = Bytes.find('\n');
    Partial += Bytes.substr(0, End);
    if (Partial.size() > Options.MaxLineBytes) {
      Result = token_stream_result::Malformed;
      break;
    }
    if (End == std::string_view::npos)
      return true;
    Bytes.remove_prefix(End + 1);
    if (!Partial.empty())
      Result = parseLine(Partial);
    Partial.clear();
  }
  // After the final line the engine only closes the stream; reading continues
  // until then.
  return Result == token_stream_result::Incomplete ||
         Result == token_stream_result::Done ||
         Result == token_stream_result::Cancelled;
}

} // namespace cardamom
