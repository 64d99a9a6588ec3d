#pragma once

#include "core/result.h"
#include "core/table.h"

#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

/// Position and description of an error in a table file.
struct FormatError
{
  /// Line and column are counted from 1; the column in bytes.
  std::size_t line = 1;
  std::size_t column = 1;
  std::string message;

  /// Returns "line L, column C: MESSAGE".
  std::string text() const;
};

/// A file format for rows and principals. Reading validates each field, but not
/// the resulting table.
class TableFormat
{
public:
  virtual ~TableFormat() = default;

  /// Returns the rows of the table as a file.
  virtual std::string writeRows(const Table& table) const = 0;
  /// Returns the rows in the order of the file, without versions. A duplicate
  /// key is an error.
  virtual Result<std::vector<Row>, FormatError> readRows(
    std::string_view text) const = 0;
  /// Returns the principals in the order of the file, without versions. A
  /// duplicate name is an error.
  virtual Result<std::vector<Principal>, FormatError> readPrincipals(
    std::string_view text) const = 0;
};

/// Comma-separated values as in RFC 4180, with a header line of column names.
/// Columns may have any order. A missing optional column or an empty cell gives
/// the field its default. Empty lines and lines that start with "#" are
/// skipped.
///
/// The columns of rows are principal, kind and the names of rowFields(). Those
/// of principals are name, role, and tokenHash or token. A token is hashed when
/// it is read; without both columns the hash is empty.
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
