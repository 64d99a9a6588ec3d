#pragma once

#include "core/table.h"

#include <string>
#include <vector>

namespace lentilrack::core {

/// One line for each row and principal that differs, versions aside: "+" for a
/// new one, "-" for a removed one, "~" with old and new values for a changed
/// one. Token hashes are not shown. Empty if the tables have the same content.
std::vector<std::string>
tableDiff(const Table& before, const Table& after);

} // namespace lentilrack::core
