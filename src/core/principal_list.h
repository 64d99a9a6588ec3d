#pragma once

#include "core/table_csv.h"

namespace lentilrack::core {

/// Reads principals from lines of the form "NAME ROLE". Their token hashes are
/// empty. Empty lines and lines that start with "#" are skipped.
Result<std::vector<Principal>, FormatError>
readPrincipalList(std::string_view text);

} // namespace lentilrack::core
