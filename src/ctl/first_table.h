#pragma once

#include "core/result.h"
#include "core/table.h"

#include <string>

namespace lentilrack::ctl {

/// The table of revision 1 with the rows and principals of two CSV files. The
/// error is a message that names file, line and column.
core::Result<core::Table, std::string>
firstTable(const std::string& rows,
           const std::string& principals,
           const std::string& editId);

/// Moves the table and all its rows and principals to the revision.
void
setRevision(core::Table& table, std::int64_t revision);

} // namespace lentilrack::ctl
