#pragma once

#include "core/table.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lentilrack::core {

/// Limits on the size of a table. With names of maximum length, the encoded
/// table stays below the 1 MB that the key-value service accepts per value:
/// 1500 rows of up to 440 bytes, 1000 principals of up to 260 bytes, and 256
/// edit ids of 64 bytes.
struct TableLimits
{
  static constexpr std::size_t kMaxRows = 1500;
  static constexpr std::size_t kMaxPrincipals = 1000;
  static constexpr std::size_t kMaxEditIdLength = 64;
  static constexpr std::size_t kRecentEdits = 256;
};

// Each change has the version of the row or principal that the operator saw, or
// 0 if there was none. It is refused if the current version is another one.

/// Creates or replaces a row.
struct SetRow
{
  /// The version in the row is ignored.
  Row row;
  std::int64_t seenVersion = 0;

  bool operator==(const SetRow&) const = default;
};

struct RemoveRow
{
  RowKey key;
  std::int64_t seenVersion = 0;

  bool operator==(const RemoveRow&) const = default;
};

/// Creates or replaces a principal.
struct SetPrincipal
{
  /// The version in the principal is ignored.
  Principal principal;
  std::int64_t seenVersion = 0;

  bool operator==(const SetPrincipal&) const = default;
};

struct RemovePrincipal
{
  std::string name;
  std::int64_t seenVersion = 0;

  bool operator==(const RemovePrincipal&) const = default;
};

using Change = std::variant<SetRow, RemoveRow, SetPrincipal, RemovePrincipal>;

/// Several changes that are applied together or not at all. Used for restoring
/// an earlier revision and for imports.
struct ChangeSet
{
  std::vector<Change> changes;

  bool operator==(const ChangeSet&) const = default;
};

using Command =
  std::variant<SetRow, RemoveRow, SetPrincipal, RemovePrincipal, ChangeSet>;

/// A command with an identifier, so that it can be sent again safely.
struct Edit
{
  std::string id;
  Command command;

  bool operator==(const Edit&) const = default;
};

/// The edit was applied and gave this table.
struct Applied
{
  Table table;
};

/// The edit was accepted before.
struct AlreadyAccepted
{
  /// Revision that the edit created.
  std::int64_t revision = 0;
};

/// The row or principal was changed after the operator saw it.
struct EditConflict
{
  /// "row alice/chat" or "principal alice".
  std::string target;
  std::int64_t seenVersion = 0;
  /// The current row or principal; unset if it was removed.
  std::optional<Row> row;
  std::optional<Principal> principal;
};

/// The command or the resulting table is not allowed.
struct EditInvalid
{
  std::string reason;
};

using ApplyResult =
  std::variant<Applied, AlreadyAccepted, EditConflict, EditInvalid>;

/// Applies an edit to a table. Changes that were made to other rows after the
/// operator saw the table are kept. The new table has the next revision, which
/// is also the version of the rows and principals that the edit has set.
ApplyResult
applyEdit(const Table& table, const Edit& edit);

/// Returns the command that undoes `command`, which changed `before` to
/// `after`. It restores the affected rows and principals of `before`, except
/// for their versions.
Command
inverseCommand(const Command& command, const Table& before, const Table& after);

/// Returns the changes that turn the rows and principals of `current` into
/// those of `desired`.
ChangeSet
changesBetween(const Table& current, const Table& desired);

/// Returns why the table is invalid, or nothing if it is valid.
std::optional<std::string>
validateTable(const Table& table);

/// Returns the revision that the edit created, or nothing if the edit is not
/// among the table's latest accepted edits.
std::optional<std::int64_t>
acceptedRevision(const Table& table, const std::string& editId);

/// Whether the rows and principals are equal, ignoring their versions.
bool
hasSameContent(const Table& a, const Table& b);

} // namespace lentilrack::core
