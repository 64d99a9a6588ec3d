#pragma once

#include "core/table.h"

#include <optional>
#include <string>
#include <vector>

namespace lentilrack::ctl {

/// Sets the fields of a row from "FIELD=VALUE" texts. If one is invalid,
/// returns a message with the allowed values; the fields before it have been
/// set.
std::optional<std::string>
assignFields(core::Row& row, const std::vector<std::string>& assignments);

} // namespace lentilrack::ctl
