#pragma once

#include "core/table.h"
#include "wire/object_reader.h"

#include <string>
#include <vector>

namespace lentilrack::ctl {

/// Lines of cells with aligned columns; the first line holds the headings.
/// Columns whose cells are all numbers are aligned to the right.
std::string
aligned(const std::vector<std::vector<std::string>>& lines);

/// Revision, rows and principals.
std::string
renderTable(const core::Table& table);

/// Answers of /admin/history, /admin/members and /admin/status. They throw
/// Json::exception if a field is missing.
std::string
renderHistory(const wire::Json& answer);
std::string
renderMembers(const wire::Json& answer);
std::string
renderStatus(const wire::Json& answer);

} // namespace lentilrack::ctl
