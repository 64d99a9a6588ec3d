#pragma once

#include "core/table.h"
#include "wire/object_reader.h"

#include <string>
#include <vector>

namespace lentilrack::ctl {

/// Formats a text table. The first line contains the headings. Columns with
/// numbers only are aligned to the right.
std::string
alignColumns(const std::vector<std::vector<std::string>>& lines);

/// Formats the revision, the rows and the principals of a table.
std::string
renderTable(const core::Table& table);

/// Each formats the response of one path: /admin/history, /admin/members or
/// /admin/status. Throws Json::exception if a field is missing.
std::string
renderHistory(const wire::Json& response);
std::string
renderMembers(const wire::Json& response);
std::string
renderStatus(const wire::Json& response);

} // namespace lentilrack::ctl
