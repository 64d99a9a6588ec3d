#pragma once

#include "core/table_csv.h"

namespace lentilrack::core {

/// Principals from lines "NAME ROLE", without token hashes. Empty lines and
/// lines that start with "#" are skipped.
Result<std::vector<Principal>, FormatError>
readPrincipalList(std::string_view text);

} // namespace lentilrack::core
