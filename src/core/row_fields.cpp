#include "core/row_fields.h"

#include "core/decimal.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace lentilrack::core {

namespace {

constexpr std::array<std::pair<PrincipalRole, const char*>, 3> kRoles{ {
  { PrincipalRole::Caller, "caller" },
  { PrincipalRole::Trainer, "trainer" },
  { PrincipalRole::Operator, "operator" },
} };

template<typename T>
std::optional<T>
parseNumber(std::string_view text, T minimum, T maximum)
{
  const auto value = parseDecimal<T>(text);
  // Both comparisons are false for NaN, which rejects it.
  const bool isInRange = value && *value >= minimum && *value <= maximum;
  return isInRange ? value : std::nullopt;
}

RowField
integerField(std::string name,
             std::int64_t Row::*member,
             std::int64_t minimum,
             std::int64_t maximum)
{
  return { std::move(name),
           fmt::format("an integer from {} to {}", minimum, maximum),
           [member](const Row& row) { return std::to_string(row.*member); },
           [member, minimum, maximum](Row& row, std::string_view text) {
             const auto value =
               parseNumber<std::int64_t>(text, minimum, maximum);
             row.*member = value.value_or(row.*member);
             return value.has_value();
           } };
}

RowField
rateField()
{
  return { "ratePerSecond",
           "a number from 0 to 1000000; 0 is no limit",
           [](const Row& row) { return fmt::format("{}", row.ratePerSecond); },
           [](Row& row, std::string_view text) {
             const auto value =
               parseNumber<double>(text, 0.0, RowLimits::kMaxRate);
             row.ratePerSecond = value.value_or(row.ratePerSecond);
             return value.has_value();
           } };
}

RowField
deadlineField()
{
  return { "deadlineMs",
           fmt::format("an integer from 1 to {}", RowLimits::kMaxDeadlineMs),
           [](const Row& row) { return std::to_string(row.deadline.count()); },
           [](Row& row, std::string_view text) {
             const auto value =
               parseNumber<std::int64_t>(text, 1, RowLimits::kMaxDeadlineMs);
             row.deadline = value ? Millis(*value) : row.deadline;
             return value.has_value();
           } };
}

RowField
hedgeField()
{
  return { "hedge",
           "true or false",
           [](const Row& row) {
             return std::string(row.hedge ? "true" : "false");
           },
           [](Row& row, std::string_view text) {
             if (text != "true" && text != "false") {
               return false;
             }
             row.hedge = text == "true";
             return true;
           } };
}

} // namespace

const std::vector<RowField>&
rowFields()
{
  static const std::vector<RowField> kFields{
    integerField("weight", &Row::weight, 1, RowLimits::kMaxWeight),
    rateField(),
    integerField(
      "maxConcurrent", &Row::maxConcurrent, 0, RowLimits::kMaxConcurrent),
    integerField("priority", &Row::priority, 0, RowLimits::kMaxPriority),
    deadlineField(),
    integerField(
      "stalenessBound", &Row::stalenessBound, 0, RowLimits::kMaxStaleness),
    hedgeField(),
  };
  return kFields;
}

const RowField*
findRowField(std::string_view name)
{
  const auto found = std::ranges::find(rowFields(), name, &RowField::name);
  return found == rowFields().end() ? nullptr : &*found;
}

std::string
rowFieldNames()
{
  std::string names;
  for (const auto& field : rowFields()) {
    names += (names.empty() ? "" : ", ") + field.name;
  }
  return names;
}

bool
isValidName(std::string_view name)
{
  const auto isAllowed = [](unsigned char c) { return c > ' ' && c != 0x7f; };
  return !name.empty() && name.size() <= RowLimits::kMaxNameLength &&
         std::ranges::all_of(name, isAllowed) &&
         name.find_first_of(",\"/") == std::string_view::npos;
}

bool
isTokenHash(std::string_view text)
{
  return text.size() == RowLimits::kHashLength &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string
roleText(PrincipalRole role)
{
  const auto* const found = std::ranges::find(
    kRoles, role, &std::pair<PrincipalRole, const char*>::first);
  return found == kRoles.end() ? "" : found->second;
}

std::optional<PrincipalRole>
parseRole(std::string_view text)
{
  for (const auto& [role, name] : kRoles) {
    if (text == name) {
      return role;
    }
  }
  return std::nullopt;
}

std::string
rowName(const RowKey& key)
{
  return key.first + "/" + key.second;
}

std::optional<RowKey>
parseRowName(std::string_view text)
{
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto principal = text.substr(0, slash);
  const auto kind = text.substr(slash + 1);
  if (!isValidName(principal) || !isValidName(kind)) {
    return std::nullopt;
  }
  return RowKey{ std::string(principal), std::string(kind) };
}

} // namespace lentilrack::core
