#pragma once

#include "core/result.h"
#include "core/table.h"

#include <string>
#include <vector>

namespace lentilrack::ctl {

/// A token generated for a principal; it is shown only once.
struct GeneratedToken
{
  std::string name;
  core::PrincipalRole role = core::PrincipalRole::Caller;
  std::string token;
};

/// The initial table and the tokens generated for it.
struct InitialTable
{
  /// The table, with revision 1.
  core::Table table;
  std::vector<GeneratedToken> tokens;
};

/// Creates the table from the text of a CSV file with rows and of a file with
/// principals, which is CSV or has lines "NAME ROLE". A principal without a
/// token gets a new one. The error is a message with file, line and column.
core::Result<InitialTable, std::string>
makeInitialTable(const std::string& rows,
                 const std::string& principals,
                 const std::string& editId);

/// Sets the revision of the table and the version of all rows and principals.
void
setRevisionAndVersions(core::Table& table, std::int64_t revision);

} // namespace lentilrack::ctl
