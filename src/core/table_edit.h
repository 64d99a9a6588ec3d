#pragma once

#include "core/table.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lentilrack::core {

/// Limits of the whole table. With names of full length the document stays
/// under the 1 MB that the key-value service takes: 1500 rows of at most 440
/// bytes, 1000 principals of at most 260 bytes, 256 edit ids of 64 bytes.
struct TableLimits
{
  static constexpr std::size_t kMaxRows = 1500;
  static constexpr std::size_t kMaxPrincipals = 1000;
  static constexpr std::size_t kMaxEditIdLength = 64;
  static constexpr std::size_t kRecentEdits = 256;
};

// Each command carries the version of the row or principal that the operator
// saw; 0 says that there was none.

/// Creates or replaces a row.
struct SetRow
{
  /// Its own version is ignored.
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
  /// Its own version is ignored.
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

/// All changes that lead from the table that the operator saw to another one,
/// in force together or not at all. Used for restores and imports.
struct ChangeSet
{
  std::vector<Change> changes;

  bool operator==(const ChangeSet&) const = default;
};

using Command =
  std::variant<SetRow, RemoveRow, SetPrincipal, RemovePrincipal, ChangeSet>;

/// A command under an identifier that makes it safe to send it again.
struct Edit
{
  std::string id;
  Command command;

  bool operator==(const Edit&) const = default;
};

struct Applied
{
  Table table;
};

struct AlreadyAccepted
{
  /// Revision that the edit made.
  std::int64_t revision = 0;
};

/// The row or principal has changed since the operator saw it.
struct EditConflict
{
  /// "row alice/chat" or "principal alice".
  std::string target;
  std::int64_t seenVersion = 0;
  /// What is there now; neither is set if it was removed.
  std::optional<Row> row;
  std::optional<Principal> principal;
};

struct EditInvalid
{
  std::string reason;
};

using ApplyResult =
  std::variant<Applied, AlreadyAccepted, EditConflict, EditInvalid>;

/// Applies an edit to a table. Changes to other rows since the operator looked
/// are kept. The new table has the next revision, and so have the rows and
/// principals that the edit set.
ApplyResult
applyEdit(const Table& table, const Edit& edit);

/// The command that undoes `command`, which led from `before` to `after`.
/// Versions aside, it restores what `before` held for the same rows.
Command
inverseCommand(const Command& command, const Table& before, const Table& after);

/// The changes that lead from the rows and principals of `current` to those of
/// `wanted`.
ChangeSet
changesBetween(const Table& current, const Table& wanted);

/// What is wrong with the table as a whole; nothing if it may be in force.
std::optional<std::string>
validateTable(const Table& table);

/// The revision that the edit made, if the table still knows of it.
std::optional<std::int64_t>
acceptedRevision(const Table& table, const std::string& editId);

/// Whether rows and principals are the same, versions aside.
bool
hasSameContent(const Table& a, const Table& b);

} // namespace lentilrack::core
