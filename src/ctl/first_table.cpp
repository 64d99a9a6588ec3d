#include "ctl/first_table.h"

#include "core/table_csv.h"
#include "core/table_edit.h"

namespace lentilrack::ctl {

core::Result<core::Table, std::string>
firstTable(const std::string& rows,
           const std::string& principals,
           const std::string& editId)
{
  const core::CsvFormat format;
  auto readRows = format.readRows(rows);
  if (!readRows) {
    return "table file, " + readRows.error().text();
  }
  auto readPrincipals = format.readPrincipals(principals);
  if (!readPrincipals) {
    return "principals file, " + readPrincipals.error().text();
  }
  core::Table table;
  for (auto& row : readRows.value()) {
    table.rows[{ row.principal, row.kind }] = row;
  }
  for (auto& principal : readPrincipals.value()) {
    table.principals[principal.name] = principal;
  }
  if (const auto reason = core::checkTable(table)) {
    return "the table is not allowed: " + *reason;
  }
  table.recentEdits.push_back(editId);
  setRevision(table, 1);
  return table;
}

void
setRevision(core::Table& table, std::int64_t revision)
{
  table.revision = revision;
  for (auto& [key, row] : table.rows) {
    row.version = revision;
  }
  for (auto& [name, principal] : table.principals) {
    principal.version = revision;
  }
}

} // namespace lentilrack::ctl
