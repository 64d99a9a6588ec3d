#pragma once

#include "core/result.h"
#include "core/table.h"

#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

/// Where a table file is wrong, and why.
struct FormatError
{
  /// Both from 1; the column counts bytes.
  std::size_t line = 1;
  std::size_t column = 1;
  std::string message;

  std::string text() const;
};

/// A file format for rows and principals. Reading checks every field, but not
/// the table as a whole.
class TableFormat
{
public:
  virtual ~TableFormat() = default;

  virtual std::string writeRows(const Table& table) const = 0;
  /// Rows in the order of the file, without versions. A key that occurs twice
  /// is an error.
  virtual Result<std::vector<Row>, FormatError> readRows(
    std::string_view text) const = 0;
  virtual Result<std::vector<Principal>, FormatError> readPrincipals(
    std::string_view text) const = 0;
};

/// Comma-separated values as in RFC 4180, with a line of column names. Columns
/// may stand in any order; an absent optional column or an empty cell means the
/// field's default. Lines that are empty or start with "#" are skipped.
///
/// Rows: principal, kind and the names of rowFields(). Principals: name, role
/// and either tokenHash or token, which is hashed on reading; without both, the
/// hash stays empty.
class CsvFormat : public TableFormat
{
public:
  std::string writeRows(const Table& table) const override;
  Result<std::vector<Row>, FormatError> readRows(
    std::string_view text) const override;
  Result<std::vector<Principal>, FormatError> readPrincipals(
    std::string_view text) const override;
};

} // namespace lentilrack::core
