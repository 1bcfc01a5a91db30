#include "config/csv_reader.h"

#include "config/field_error.h"

#include <algorithm>

namespace cardamom {

static constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";

csv_reader::csv_reader(std::string_view File, std::string_view Text)
    : File(File), Text(Text) {
  if (Text.starts_with(ByteOrderMark))
    Offset = ByteOrderMark.size();
}

bool csv_reader::atLineEnd() const {
  return Text[Offset] == '\n' || Text.substr(Offset, 2) == "\r\n";
}

void csv_reader::consumeLineEnd() {
  Offset += Text[Offset] == '\r' ? 2 : 1;
  ++Line;
}

void csv_reader::skipEmptyLines() {
  while (Offset < Text.size() && atLineEnd())
    consumeLineEnd();
}

bool csv_reader::next(csv_row &Row) {
  skipEmptyLines();
  Row.Line = Line;
  Row.Fields.clear();
  if (Offset >= Text.size())
    return false;
  while (true) {
    Row.Fields.push_back(readField());
    if (Offset >= Text.size())
      return true;
    if (Text[Offset] != ',')
      break;
    ++Offset;
  }
  consumeLineEnd();
  return true;
}

std::string csv_reader::readField() {
  if (Offset < Text.size() && Text[Offset] == '"')
    return readQuoted();
  return readUnquoted();
}

std::string csv_reader::readQuoted() {
  const size_t StartLine = Line;
  std::string Field;
  ++Offset;
  while (true) {
    const size_t Quote = Text.find('"', Offset);
    if (Quote == std::string_view::npos)
      throwInputError(
          {.File = File, .Line = StartLine},
          "quoted field is not closed: allowed is a '\"' at its end");
    const auto Part = Text.substr(Offset, Quote - Offset);
    Field += Part;
    Line += std::count(Part.begin(), Part.end(), '\n');
    Offset = Quote + 1;
    if (Offset >= Text.size() || Text[Offset] != '"')
      break;
    Field += '"';
    ++Offset;
  }
  if (Offset < Text.size() && Text[Offset] != ',' && !atLineEnd())
    throwFieldError({.File = File, .Line = Line}, Text.substr(Offset, 1),
                    "a comma or a line end after a quoted field");
  return Field;
}

std::string csv_reader::readUnquoted() {
  const size_t Start = Offset;
  while (Offset < Text.size() && Text[Offset] != ',' && !atLineEnd()) {
    if (Text[Offset] == '"' || Text[Offset] == '\r')
      throwFieldError({.File = File, .Line = Line}, Text.substr(Offset, 1),
                      "a quote or carriage return only inside a quoted field");
    ++Offset;
  }
  return std::string(Text.substr(Start, Offset - Start));
}

std::string formatCsvField(std::string_view Field) {
  if (Field.find_first_of(",\"\r\n") == std::string_view::npos)
    return std::string(Field);
  std::string Quoted = "\"";
  for (const char C : Field) {
    if (C == '"')
      Quoted += '"';
    Quoted += C;
  }
  return Quoted + '"';
}

} // namespace cardamom
