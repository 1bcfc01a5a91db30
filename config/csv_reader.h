/// \file
/// Reader of comma-separated values as in RFC 4180.

#ifndef CARDAMOM_CONFIG_CSV_READER_H
#define CARDAMOM_CONFIG_CSV_READER_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cardamom {

struct csv_row {
  /// Line of the row's first field, from 1.
  size_t Line = 0;
  std::vector<std::string> Fields;
};

/// Reads rows one by one in linear time. Accepts LF and CRLF, quoted fields
/// with doubled quotes, a byte order mark, and a missing last line end; skips
/// empty lines.
class csv_reader {
public:
  /// Both views must outlive the reader. File is used in errors only.
  csv_reader(std::string_view File, std::string_view Text);

  /// Returns false at the end. Throws config_error for a quote in the wrong
  /// place and for a field whose quote is not closed.
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

/// Quotes Field where the format needs it.
std::string formatCsvField(std::string_view Field);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_CSV_READER_H
