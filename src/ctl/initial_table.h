#pragma once

#include "core/result.h"
#include "core/table.h"

#include <string>
#include <vector>

namespace lentilrack::ctl {

/// A token generated for a principal. It is shown only once, because the table
/// stores only its hash.
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

/// Creates the initial table. `rows` is the text of a CSV file; `principals` is
/// CSV text or has lines "NAME ROLE". A principal without a token gets a new
/// one. The error is a message; for a malformed text it says which of the two
/// texts is wrong, with line and column.
core::Result<InitialTable, std::string>
makeInitialTable(const std::string& rows,
                 const std::string& principals,
                 const std::string& editId);

/// Sets the revision of the table and, to the same number, the versions of all
/// its rows and principals.
void
setRevisionAndVersions(core::Table& table, std::int64_t revision);

} // namespace lentilrack::ctl
