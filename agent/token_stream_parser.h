/// \file
/// Incremental parser of a model engine's response, which consists of lines of
/// JSON.
///
/// Use:
///   token_stream_parser Parser({.OnToken = ...});
///   while (...) if (!Parser.feed(Bytes)) break;
///   switch (Parser.result()) ...

#ifndef CARDAMOM_AGENT_TOKEN_STREAM_PARSER_H
#define CARDAMOM_AGENT_TOKEN_STREAM_PARSER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cardamom {

enum class token_stream_result {
  /// No final line was received yet.
  Incomplete,
  Done,
  Cancelled,
  /// A token has no weight version.
  MissingVersion,
  /// A line violates the engine's protocol or is too long.
  Malformed,
  /// OnToken returned false.
  Aborted,
};

struct token_stream_parser_options {
  /// Called for each token with the weight version that produced it. Returns
  /// false to abort.
  std::function<bool(std::string_view Text, uint64_t Version)> OnToken;
  /// Maximum length of a line.
  size_t MaxLineBytes = size_t(1) << 20;
};

class token_stream_parser {
public:
  explicit token_stream_parser(token_stream_parser_options Options);

  /// Parses bytes of any length. Returns false if the rest of the stream is not
  /// needed.
  bool feed(std::string_view Bytes);
  [[nodiscard]] token_stream_result result() const { return Result; }

private:
  token_stream_result parseLine(std::string_view Line);

  token_stream_parser_options Options;
  std::string Partial;
  token_stream_result Result = token_stream_result::Incomplete;
};

} // namespace cardamom

#endif // CARDAMOM_AGENT_TOKEN_STREAM_PARSER_H
