#pragma once

#include "core/result.h"
#include "core/table.h"

#include <string>
#include <vector>

namespace lentilrack::ctl {

/// A token that was made for a principal, to be shown once.
struct GeneratedToken
{
  std::string name;
  core::PrincipalRole role = core::PrincipalRole::Caller;
  std::string token;
};

struct InitialTable
{
  /// Of revision 1.
  core::Table table;
  std::vector<GeneratedToken> tokens;
};

/// The table with the rows of a CSV file and the principals of a CSV file or of
/// lines "NAME ROLE". A principal without token gets a new one. The error is a
/// message that names file, line and column.
core::Result<InitialTable, std::string>
makeInitialTable(const std::string& rows,
                 const std::string& principals,
                 const std::string& editId);

/// Moves the table and all its rows and principals to the revision.
void
setRevision(core::Table& table, std::int64_t revision);

} // namespace lentilrack::ctl
