#include "core/table_diff.h"

#include "core/row_fields.h"

#include <fmt/format.h>

namespace lentilrack::core {

namespace {

/// Names and values of the fields of a row or principal, as shown to operators.
using Fields = std::vector<std::pair<std::string, std::string>>;

Fields
fieldsOf(const Row& row)
{
  Fields fields;
  for (const auto& field : rowFields()) {
    fields.emplace_back(field.name, field.text(row));
  }
  return fields;
}

Fields
fieldsOf(const Principal& principal)
{
  return { { "role", roleText(principal.role) } };
}

std::vector<std::string>
changedFields(const Fields& before, const Fields& after)
{
  std::vector<std::string> changes;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i].second != after[i].second) {
      changes.push_back(fmt::format(
        "{} {} -> {}", before[i].first, before[i].second, after[i].second));
    }
  }
  return changes;
}

std::vector<std::string>
changesOf(const Row& before, const Row& after)
{
  return changedFields(fieldsOf(before), fieldsOf(after));
}

std::vector<std::string>
changesOf(const Principal& before, const Principal& after)
{
  auto changes = changedFields(fieldsOf(before), fieldsOf(after));
  if (before.tokenHash != after.tokenHash) {
    changes.emplace_back("another token");
  }
  return changes;
}

template<typename Item>
std::string
describeFields(const Item& item)
{
  std::string text;
  for (const auto& [name, value] : fieldsOf(item)) {
    text += fmt::format(" {}={}", name, value);
  }
  return text;
}

std::string
nameOf(const RowKey& key)
{
  return "row " + rowName(key);
}

std::string
nameOf(const std::string& principal)
{
  return "principal " + principal;
}

template<typename Map>
void
addDiff(const Map& before, const Map& after, std::vector<std::string>& lines)
{
  for (const auto& [key, item] : before) {
    const auto found = after.find(key);
    if (found == after.end()) {
      lines.push_back("- " + nameOf(key) + describeFields(item));
      continue;
    }
    const auto changes = changesOf(item, found->second);
    if (!changes.empty()) {
      lines.push_back(
        fmt::format("~ {} {}", nameOf(key), fmt::join(changes, ", ")));
    }
  }
  for (const auto& [key, item] : after) {
    if (!before.contains(key)) {
      lines.push_back("+ " + nameOf(key) + describeFields(item));
    }
  }
}

} // namespace

std::vector<std::string>
tableDiff(const Table& before, const Table& after)
{
  std::vector<std::string> lines;
  addDiff(before.principals, after.principals, lines);
  addDiff(before.rows, after.rows, lines);
  return lines;
}

} // namespace lentilrack::core
