#include "ctl/initial_table.h"

#include "core/principal_list.h"
#include "core/table_csv.h"
#include "core/table_edit.h"
#include "ctl/random_token.h"

namespace lentilrack::ctl {

namespace {

/// Reads principals from CSV or from a list. Names and roles cannot contain
/// commas, so a text with a comma is CSV.
core::Result<std::vector<core::Principal>, core::FormatError>
readPrincipals(const std::string& text)
{
  return text.find(',') == std::string::npos
           ? core::readPrincipalList(text)
           : core::CsvFormat().readPrincipals(text);
}

} // namespace

core::Result<InitialTable, std::string>
makeInitialTable(const std::string& rows,
                 const std::string& principals,
                 const std::string& editId)
{
  auto rowList = core::CsvFormat().readRows(rows);
  if (!rowList) {
    return "table file, " + rowList.error().text();
  }
  auto principalList = readPrincipals(principals);
  if (!principalList) {
    return "principals file, " + principalList.error().text();
  }
  InitialTable first;
  auto& table = first.table;
  for (auto& row : rowList.value()) {
    table.rows[{ row.principal, row.kind }] = row;
  }
  for (auto& principal : principalList.value()) {
    if (principal.tokenHash.empty()) {
      const auto token = generateToken();
      principal.tokenHash = core::hashToken(token);
      first.tokens.push_back({ principal.name, principal.role, token });
    }
    table.principals[principal.name] = principal;
  }
  if (const auto reason = core::validateTable(table)) {
    return "the table is not allowed: " + *reason;
  }
  table.recentEdits.push_back(editId);
  setRevisionAndVersions(table, 1);
  return first;
}

void
setRevisionAndVersions(core::Table& table, std::int64_t revision)
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
