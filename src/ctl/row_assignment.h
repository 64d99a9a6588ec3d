#pragma once

#include "core/table.h"

#include <optional>
#include <string>
#include <vector>

namespace lentilrack::ctl {

/// Sets fields of a row from "FIELD=VALUE" texts. If a text is invalid, returns
/// a message with the allowed values; the texts before it have been applied.
std::optional<std::string>
assignFields(core::Row& row, const std::vector<std::string>& assignments);

} // namespace lentilrack::ctl
