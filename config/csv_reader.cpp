#include "config/csv_reader.h"

#include "config/field_error.h"

#include <algorithm>

namespace cardamom {

static constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";

csv_reader::csv_reader(std::string_view File, std::string_view Text)
    : File(File), Text(Text) {
  if (Text.starts_with(ByteOrderMark))
    At = ByteOrderMark.size();
}

bool csv_reader::atLineEnd() const {
  return Text[At] == '\n' || Text.substr(At, 2) == "\r\n";
}

void csv_reader::takeLineEnd() {
  At += Text[At] == '\r' ? 2 : 1;
  ++Line;
}

void csv_reader::skipEmptyLines() {
  while (At < Text.size() && atLineEnd())
    takeLineEnd();
}

bool csv_reader::next(csv_row &Row) {
  skipEmptyLines();
  Row.Line = Line;
  Row.Fields.clear();
  if (At >= Text.size())
    return false;
  while (true) {
    Row.Fields.push_back(readField());
    if (At >= Text.size())
      return true;
    if (Text[At] != ',')
      break;
    ++At;
  }
  takeLineEnd();
  return true;
}

std::string csv_reader::readField() {
  if (At < Text.size() && Text[At] == '"')
    return readQuoted();
  return readPlain();
}

std::string csv_reader::readQuoted() {
  const size_t OpenLine = Line;
  std::string Field;
  ++At;
  while (true) {
    const size_t Quote = Text.find('"', At);
    if (Quote == std::string_view::npos)
      refuseInput({.File = File, .Line = OpenLine},
                  "quoted field is not closed: allowed is a '\"' at its end");
    const auto Part = Text.substr(At, Quote - At);
    Field += Part;
    Line += std::count(Part.begin(), Part.end(), '\n');
    At = Quote + 1;
    if (At >= Text.size() || Text[At] != '"')
      break;
    Field += '"';
    ++At;
  }
  if (At < Text.size() && Text[At] != ',' && !atLineEnd())
    refuseField({.File = File, .Line = Line}, Text.substr(At, 1),
                "a comma or a line end after a quoted field");
  return Field;
}

std::string csv_reader::readPlain() {
  const size_t Start = At;
  while (At < Text.size() && Text[At] != ',' && !atLineEnd()) {
    if (Text[At] == '"' || Text[At] == '\r')
      refuseField({.File = File, .Line = Line}, Text.substr(At, 1),
                  "a quote or carriage return only inside a quoted field");
    ++At;
  }
  return std::string(Text.substr(Start, At - Start));
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
