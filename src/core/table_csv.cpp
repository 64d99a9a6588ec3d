#include "core/table_csv.h"

#include "core/csv_reader.h"
#include "core/row_fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace lentilrack::core {

namespace {

/// A column of a file of `Item`s, with a function that parses its cells.
template<typename Item>
struct Column
{
  std::string name;
  std::string allowed;
  bool isRequired = false;
  std::function<bool(Item&, std::string_view)> parse;
};

using RowColumn = Column<Row>;
using PrincipalColumn = Column<Principal>;

std::vector<RowColumn>
rowColumns()
{
  std::vector<RowColumn> columns{
    { "principal",
      std::string(kNameRequirements),
      true,
      [](Row& row, std::string_view text) {
        row.principal = text;
        return isValidName(text);
      } },
    { "kind",
      std::string(kNameRequirements) + "; * is every kind",
      true,
      [](Row& row, std::string_view text) {
        row.kind = text;
        return isValidName(text);
      } },
  };
  for (const auto& field : rowFields()) {
    columns.push_back({ field.name, field.allowed, false, field.parse });
  }
  return columns;
}

std::vector<PrincipalColumn>
principalColumns()
{
  return {
    { "name",
      std::string(kNameRequirements),
      true,
      [](Principal& principal, std::string_view text) {
        principal.name = text;
        return isValidName(text);
      } },
    { "role",
      "caller, trainer or operator",
      true,
      [](Principal& principal, std::string_view text) {
        const auto role = parseRole(text);
        principal.role = role.value_or(principal.role);
        return role.has_value();
      } },
    { "tokenHash",
      "64 lower-case hex digits",
      false,
      [](Principal& principal, std::string_view text) {
        principal.tokenHash = text;
        return isTokenHash(text);
      } },
    { "token",
      "the bearer token",
      false,
      [](Principal& principal, std::string_view text) {
        principal.tokenHash = hashToken(text);
        return true;
      } },
  };
}

FormatError
errorAt(const CsvCell& cell, std::string message)
{
  return { cell.line, cell.column, std::move(message) };
}

template<typename Item>
std::string
columnNames(const std::vector<Column<Item>>& columns)
{
  std::vector<std::string> names;
  std::ranges::transform(
    columns, std::back_inserter(names), &Column<Item>::name);
  return fmt::format("{}", fmt::join(names, ", "));
}

/// Returns the columns in the order of the header line, or an error if a column
/// is unknown, occurs twice or is missing although required.
template<typename Item>
Result<std::vector<Column<Item>>, FormatError>
readHeader(const CsvRecord& header, const std::vector<Column<Item>>& known)
{
  std::vector<Column<Item>> columns;
  for (const auto& cell : header) {
    const auto found = std::ranges::find(known, cell.text, &Column<Item>::name);
    if (found == known.end()) {
      return errorAt(cell,
                     fmt::format("column \"{}\" is not known; allowed: {}",
                                 cell.text,
                                 columnNames(known)));
    }
    if (std::ranges::find(columns, cell.text, &Column<Item>::name) !=
        columns.end()) {
      return errorAt(cell, "column " + cell.text + " occurs twice");
    }
    columns.push_back(*found);
  }
  for (const auto& column : known) {
    if (column.isRequired &&
        std::ranges::find(columns, column.name, &Column<Item>::name) ==
          columns.end()) {
      return errorAt(header.front(), "column " + column.name + " is missing");
    }
  }
  return columns;
}

template<typename Item>
Result<Item, FormatError>
readItem(const CsvRecord& record, const std::vector<Column<Item>>& columns)
{
  if (record.size() != columns.size()) {
    return errorAt(
      record.back(),
      fmt::format("the line has {} cells, but there are {} columns",
                  record.size(),
                  columns.size()));
  }
  Item item;
  for (std::size_t i = 0; i < columns.size(); ++i) {
    const auto& cell = record[i];
    const bool isDefault = cell.text.empty() && !columns[i].isRequired;
    if (!isDefault && !columns[i].parse(item, cell.text)) {
      return errorAt(cell,
                     fmt::format("{} must be {}, not \"{}\"",
                                 columns[i].name,
                                 columns[i].allowed,
                                 cell.text));
    }
  }
  return item;
}

/// Reads the rows or principals of a file. `nameOf` returns the name by which
/// duplicates are detected.
template<typename Item>
Result<std::vector<Item>, FormatError>
readItems(std::string_view text,
          const std::vector<Column<Item>>& known,
          const std::function<std::string(const Item&)>& nameOf)
{
  const auto records = parseCsv(text);
  if (!records) {
    return records.error();
  }
  if (records.value().empty()) {
    return FormatError{ 1, 1, "the line of column names is missing" };
  }
  const auto columns = readHeader(records.value().front(), known);
  if (!columns) {
    return columns.error();
  }
  std::vector<Item> items;
  std::set<std::string> names;
  for (std::size_t i = 1; i < records.value().size(); ++i) {
    const auto& record = records.value()[i];
    auto item = readItem(record, columns.value());
    if (!item) {
      return item.error();
    }
    const auto name = nameOf(item.value());
    if (!names.insert(name).second) {
      return errorAt(record.front(), name + " occurs twice");
    }
    items.push_back(std::move(item.value()));
  }
  return items;
}

} // namespace

std::string
FormatError::text() const
{
  return fmt::format("line {}, column {}: {}", line, column, message);
}

std::string
CsvFormat::writeRows(const Table& table) const
{
  std::string text = "principal,kind";
  for (const auto& field : rowFields()) {
    text += "," + field.name;
  }
  text += "\n";
  for (const auto& [key, row] : table.rows) {
    text += quoteCsvCell(row.principal) + "," + quoteCsvCell(row.kind);
    for (const auto& field : rowFields()) {
      text += "," + quoteCsvCell(field.text(row));
    }
    text += "\n";
  }
  return text;
}

Result<std::vector<Row>, FormatError>
CsvFormat::readRows(std::string_view text) const
{
  return readItems<Row>(text, rowColumns(), [](const Row& row) {
    return "row " + rowName({ row.principal, row.kind });
  });
}

Result<std::vector<Principal>, FormatError>
CsvFormat::readPrincipals(std::string_view text) const
{
  return readItems<Principal>(
    text, principalColumns(), [](const Principal& principal) {
      return "principal " + principal.name;
    });
}

} // namespace lentilrack::core
