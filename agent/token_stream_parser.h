/// \file
/// Parser of the answer of a model engine: lines of JSON that arrive in
/// pieces of any size.
///
/// Use:
///   token_stream Stream({.OnToken = ...});
///   while (...) if (!Stream.feed(Bytes)) break;
///   switch (Stream.result()) ...

#ifndef CARDAMOM_AGENT_TOKEN_STREAM_PARSER_H
#define CARDAMOM_AGENT_TOKEN_STREAM_PARSER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace cardamom {

enum class token_stream_result {
  /// The stream has not said that it is done.
  Incomplete,
  Done,
  Cancelled,
  /// A token came without its weight version.
  MissingVersion,
  /// A line is not what an engine sends, or too long.
  Malformed,
  /// OnToken gave up.
  Aborted,
};

struct token_stream_parser_options {
  /// One token and the weight version that produced it. Returns false to give
  /// up the stream.
  std::function<bool(std::string_view Text, uint64_t Version)> OnToken;
  /// Longest line in bytes.
  size_t MaxLineBytes = size_t(1) << 20;
};

class token_stream_parser {
public:
  explicit token_stream_parser(token_stream_parser_options Options);

  /// Returns false when the rest of the stream is of no use.
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
