#include "ctl/render.h"

#include "core/row_fields.h"

#include <fmt/format.h>

#include <algorithm>

namespace lentilrack::ctl {

namespace {

using wire::Json;
using Lines = std::vector<std::vector<std::string>>;

bool
isNumber(const std::string& text)
{
  return !text.empty() &&
         text.find_first_not_of("0123456789.") == std::string::npos;
}

/// Returns true if all cells below the heading are numbers.
bool
isNumeric(const Lines& lines, std::size_t column)
{
  return lines.size() > 1 &&
         std::all_of(lines.begin() + 1, lines.end(), [&](const auto& line) {
           return isNumber(line[column]);
         });
}

std::size_t
widthOf(const Lines& lines, std::size_t column)
{
  std::size_t width = 0;
  for (const auto& line : lines) {
    width = std::max(width, line[column].size());
  }
  return width;
}

std::string
withoutTrailingSpaces(std::string line)
{
  line.erase(line.find_last_not_of(' ') + 1);
  return line;
}

std::string
countText(std::size_t count, const std::string& noun)
{
  return fmt::format("{} {}{}", count, noun, count == 1 ? "" : "s");
}

} // namespace

std::string
alignColumns(const Lines& lines)
{
  std::vector<std::string> texts(lines.size());
  for (std::size_t column = 0; column < lines.front().size(); ++column) {
    const auto width = widthOf(lines, column);
    const bool isRightAligned = isNumeric(lines, column);
    for (std::size_t i = 0; i < lines.size(); ++i) {
      const auto& cell = lines[i][column];
      texts[i] += column == 0 ? "" : "  ";
      texts[i] += isRightAligned ? fmt::format("{:>{}}", cell, width)
                                 : fmt::format("{:<{}}", cell, width);
    }
  }
  std::string text;
  for (auto& line : texts) {
    text += withoutTrailingSpaces(std::move(line)) + "\n";
  }
  return text;
}

std::string
renderTable(const core::Table& table)
{
  std::vector<std::string> headings{ "principal", "kind" };
  for (const auto& field : core::rowFields()) {
    headings.push_back(field.name);
  }
  headings.emplace_back("version");
  Lines rows{ headings };
  for (const auto& [key, row] : table.rows) {
    std::vector<std::string> cells{ row.principal, row.kind };
    for (const auto& field : core::rowFields()) {
      cells.push_back(field.text(row));
    }
    cells.push_back(std::to_string(row.version));
    rows.push_back(std::move(cells));
  }
  Lines principals{ { "name", "role", "version" } };
  for (const auto& [name, principal] : table.principals) {
    principals.push_back({ name,
                           core::roleText(principal.role),
                           std::to_string(principal.version) });
  }
  return fmt::format("Revision {}, {}, {}\n\n{}\n{}",
                     table.revision,
                     countText(table.rows.size(), "row"),
                     countText(table.principals.size(), "principal"),
                     alignColumns(rows),
                     alignColumns(principals));
}

std::string
renderHistory(const Json& response)
{
  std::string text;
  for (const auto& entry : response.at("entries")) {
    text += fmt::format(
      "Revision {}, {}, {}\n",
      entry.at("revision").get<std::int64_t>(),
      countText(entry.at("rows").get<std::size_t>(), "row"),
      countText(entry.at("principals").get<std::size_t>(), "principal"));
    const auto changes = entry.find("changes");
    if (changes == entry.end()) {
      text += "  the revision before is not in the history\n";
      continue;
    }
    for (const auto& line : *changes) {
      text += "  " + line.get<std::string>() + "\n";
    }
    if (changes->empty()) {
      text += "  no change\n";
    }
  }
  return text.empty() ? "The history is empty.\n" : text;
}

std::string
renderMembers(const Json& response)
{
  Lines lines{
    { "name", "role", "failure domain", "state", "table", "link", "http" }
  };
  for (const auto& member : response.at("members")) {
    lines.push_back(
      { member.at("id").at("name").get<std::string>(),
        member.at("role").get<std::string>(),
        member.at("failure_domain").get<std::string>(),
        member.at("state").get<std::string>(),
        std::to_string(member.at("table_revision").get<std::int64_t>()),
        member.at("link").get<std::string>(),
        member.value("http", "-") });
  }
  return alignColumns(lines);
}

std::string
renderStatus(const Json& response)
{
  std::string members;
  for (const auto& [state, count] : response.at("members").items()) {
    members += fmt::format(
      "{}{} {}", members.empty() ? "" : ", ", count.get<int>(), state);
  }
  const auto behind = response.at("behind").get<std::vector<std::string>>();
  return fmt::format(
    "Answered by        {}\nTable revision     {}\nKey-value service  {}\n"
    "Cut off            {}\nMembers            {}\nOlder table        {}\n",
    response.at("name").get<std::string>(),
    response.at("table_revision").get<std::int64_t>(),
    response.at("kv_available").get<bool>()
      ? "answers"
      : "does not answer; edits are refused",
    response.at("cut_off").get<bool>() ? "yes; new work is refused" : "no",
    members,
    behind.empty() ? "none" : fmt::format("{}", fmt::join(behind, ", ")));
}

} // namespace lentilrack::ctl
