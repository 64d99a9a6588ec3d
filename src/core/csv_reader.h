#pragma once

#include "core/table_csv.h"

#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

struct CsvCell
{
  std::string text;
  std::size_t line = 1;
  std::size_t column = 1;
};

using CsvRecord = std::vector<CsvCell>;

/// The records of the text, without empty lines and lines that start with "#".
/// Errors: an unclosed quote, text after a closing quote, a quote inside an
/// unquoted cell.
Result<std::vector<CsvRecord>, FormatError>
parseCsv(std::string_view text);

/// The cell, in quotes if it needs them.
std::string
quoteCsvCell(const std::string& text);

} // namespace lentilrack::core
