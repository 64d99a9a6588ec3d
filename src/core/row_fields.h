#pragma once

#include "core/table.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilrack::core {

/// Bounds of the fields of rows and principals, both ends included.
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

/// One field of a row that operators may change, as text. Commands, CSV files
/// and diffs share this list, so that a field has one name and one range.
struct RowField
{
  std::string name;
  /// What the field accepts, for errors and help.
  std::string allowed;
  std::function<std::string(const Row&)> text;
  /// Takes a value; false, with the row unchanged, if it is not allowed.
  std::function<bool(Row&, std::string_view)> parse;
};

/// Every field but the key and the version, in the order of the columns.
const std::vector<RowField>&
rowFields();

/// Null if there is no such field.
const RowField*
findRowField(std::string_view name);

/// Names of rowFields(), separated by commas.
std::string
rowFieldNames();

/// Whether the text can name a principal or a kind of work.
bool
isValidName(std::string_view name);

/// What isValidName() accepts, for errors.
inline constexpr std::string_view kNameRequirements =
  "1 to 128 characters without spaces, commas, quotes and slashes";

/// Whether the text is a hash as hashToken() gives it.
bool
isTokenHash(std::string_view text);

/// "caller", "trainer" or "operator".
std::string
roleText(PrincipalRole role);
std::optional<PrincipalRole>
parseRole(std::string_view text);

/// "principal/kind".
std::string
rowName(const RowKey& key);
/// The key of "principal/kind"; nothing if a part is not a plain name.
std::optional<RowKey>
parseRowName(std::string_view text);

} // namespace lentilrack::core
