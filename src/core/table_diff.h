#pragma once

#include "core/table.h"

#include <string>
#include <vector>

namespace lentilrack::core {

/// Returns a line for each row and principal that differs, ignoring versions:
/// "+" for a new one, "-" for a removed one, and "~" with old and new values
/// for a changed one. Token hashes are not shown. Returns no lines if the
/// tables have the same content.
std::vector<std::string>
tableDiff(const Table& before, const Table& after);

} // namespace lentilrack::core
