#pragma once

#include "core/table_csv.h"

#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

/// A cell with its position, counted from 1; the column in bytes.
struct CsvCell
{
  std::string text;
  std::size_t line = 1;
  std::size_t column = 1;
};

using CsvRecord = std::vector<CsvCell>;

/// Parses the records of the text, except empty lines and lines that start with
/// "#". Errors: an unclosed quote, text after a closing quote, a quote inside
/// an unquoted cell.
Result<std::vector<CsvRecord>, FormatError>
parseCsv(std::string_view text);

/// Returns the text of a cell, with quotes if it needs them.
std::string
quoteCsvCell(const std::string& text);

} // namespace lentilrack::core
