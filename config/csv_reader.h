/// \file
/// Reader of comma-separated values (RFC 4180).

#ifndef CARDAMOM_CONFIG_CSV_READER_H
#define CARDAMOM_CONFIG_CSV_READER_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct csv_row {
  /// Line on which the row starts, counted from 1.
  size_t Line = 0;
  std::vector<std::string> Fields;
};

/// Reads one row at a time, in linear time overall. Accepts LF and CRLF, quoted
/// fields with doubled quotes, a byte order mark, and a missing line end after
/// the last row. Skips empty lines.
class csv_reader {
public:
  /// File and Text must outlive the reader. File is used in error messages
  /// only.
  csv_reader(std::string_view File, std::string_view Text);

  /// Returns false at the end of the text. Throws config_error for misplaced
  /// quotes or carriage returns and for an unterminated quoted field.
  bool next(csv_row &Row);

private:
  void skipEmptyLines();
  std::string readField();
  std::string readQuoted();
  std::string readUnquoted();
  [[nodiscard]] bool atLineEnd() const;
  void consumeLineEnd();

  std::string_view File;
  std::string_view Text;
  size_t Offset = 0;
  size_t Line = 1;
};

/// Returns Field, quoted if it contains a comma, a quote or a line end.
std::string formatCsvField(std::string_view Field);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_CSV_READER_H
