#include "ctl/row_assignment.h"

#include "core/row_fields.h"

#include <fmt/format.h>

namespace lentilrack::ctl {

std::optional<std::string>
assignFields(core::Row& row, const std::vector<std::string>& assignments)
{
  for (const auto& assignment : assignments) {
    const auto equals = assignment.find('=');
    const auto* field = core::findRowField(assignment.substr(0, equals));
    if (equals == std::string::npos || field == nullptr) {
      return fmt::format("\"{}\" sets no field; allowed: FIELD=VALUE with one "
                         "of {}",
                         assignment,
                         core::rowFieldNames());
    }
    const auto value = assignment.substr(equals + 1);
    if (!field->parse(row, value)) {
      return fmt::format("{}: \"{}\" is not allowed; allowed: {}",
                         field->name,
                         value,
                         field->allowed);
    }
  }
  return std::nullopt;
}

} // namespace lentilrack::ctl
