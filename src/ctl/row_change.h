#pragma once

#include "core/table.h"

#include <optional>
#include <string>
#include <vector>

namespace lentilrack::ctl {

/// Sets the fields named by "FIELD=VALUE" texts. If one is wrong, the result is
/// a message that says what is allowed, and the row is half changed.
std::optional<std::string>
assignFields(core::Row& row, const std::vector<std::string>& assignments);

} // namespace lentilrack::ctl
