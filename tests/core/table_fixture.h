#pragma once

#include "core/table_edit.h"

#include <string>

namespace lentilrack::core::testing {

inline Principal
principal(const std::string& name, PrincipalRole role)
{
  return { name, role, hashToken("token of " + name), 1 };
}

inline Row
row(const std::string& principal, const std::string& kind)
{
  Row row;
  row.principal = principal;
  row.kind = kind;
  row.version = 1;
  return row;
}

/// Returns revision 1 of a table with the operator "root", the trainer "tina"
/// and the caller "carl", the last two with one row each.
inline Table
smallTable()
{
  Table table;
  table.revision = 1;
  table.recentEdits = { "first" };
  table.principals["root"] = principal("root", PrincipalRole::Operator);
  table.principals["tina"] = principal("tina", PrincipalRole::Trainer);
  table.principals["carl"] = principal("carl", PrincipalRole::Caller);
  table.rows[{ "tina", "draft" }] = row("tina", "draft");
  table.rows[{ "carl", "*" }] = row("carl", "*");
  return table;
}

} // namespace lentilrack::core::testing
