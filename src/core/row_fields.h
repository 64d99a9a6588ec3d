#pragma once

#include "core/table.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

/// Inclusive limits on the fields of rows and principals.
struct RowLimits
{
  static constexpr std::int64_t kMaxWeight = 1000;
  static constexpr double kMaxRate = 1e6;
  static constexpr std::int64_t kMaxConcurrent = 1'000'000;
  static constexpr std::int64_t kMaxPriority = 9;
  static constexpr std::int64_t kMaxDeadlineMs = 3600 * 1000;
  static constexpr std::int64_t kMaxStaleness = 1'000'000;
  static constexpr std::size_t kMaxNameLength = 128;
  static constexpr std::size_t kHashLength = 64;
};

/// Reads and writes one editable field of a row as text. Commands, CSV files
/// and diffs all use rowFields(), so that each field has one name and one range
/// everywhere.
struct RowField
{
  std::string name;
  /// Description of the allowed values, for error messages and help.
  std::string allowed;
  /// Returns the value as text.
  std::function<std::string(const Row&)> text;
  /// Sets the value. Returns false and leaves the row unchanged if the value is
  /// not allowed.
  std::function<bool(Row&, std::string_view)> parse;
};

/// Returns all fields except key and version, in column order.
const std::vector<RowField>&
rowFields();

/// Returns the field of this name, or null if there is none.
const RowField*
findRowField(std::string_view name);

/// Returns the names of rowFields(), separated by commas.
std::string
rowFieldNames();

/// Whether the text is allowed as the name of a principal or a kind of work.
bool
isValidName(std::string_view name);

/// Description of the names that isValidName() accepts, for error messages.
inline constexpr std::string_view kNameRequirements =
  "1 to 128 characters without spaces, commas, quotes and slashes";

/// Whether the text has the form of a hash returned by hashToken().
bool
isTokenHash(std::string_view text);

/// Returns "caller", "trainer" or "operator".
std::string
roleText(PrincipalRole role);
/// Parses the text of roleText(). Returns nothing for any other text.
std::optional<PrincipalRole>
parseRole(std::string_view text);

/// Returns "principal/kind".
std::string
rowName(const RowKey& key);
/// Parses "principal/kind". Returns nothing if a part is not a valid name.
std::optional<RowKey>
parseRowName(std::string_view text);

} // namespace lentilrack::core
