#include "core/table_edit.h"

#include "core/row_fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace lentilrack::core {

namespace {

template<typename... Functions>
struct Overloaded : Functions...
{
  using Functions::operator()...;
};
template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

template<typename Map, typename Key>
auto
findValue(const Map& map, const Key& key)
  -> std::optional<typename Map::mapped_type>
{
  const auto found = map.find(key);
  return found == map.end() ? std::nullopt : std::optional(found->second);
}

RowKey
keyOf(const Row& row)
{
  return { row.principal, row.kind };
}

template<typename Item>
std::int64_t
versionOf(const std::optional<Item>& item)
{
  return item ? item->version : 0;
}

/// Applies changes to a copy of the table. Each call operator applies one kind
/// of change, or returns the conflict that prevents it.
class Applier
{
public:
  explicit Applier(const Table& table)
    : mTable(table)
  {
    ++mTable.revision;
  }

  std::optional<EditConflict> operator()(const SetRow& change)
  {
    const auto key = keyOf(change.row);
    if (auto conflict = rowConflict(key, change.seenVersion)) {
      return conflict;
    }
    auto& row = mTable.rows[key];
    row = change.row;
    row.version = mTable.revision;
    return std::nullopt;
  }

  std::optional<EditConflict> operator()(const RemoveRow& change)
  {
    auto conflict = rowConflict(change.key, change.seenVersion);
    if (!conflict) {
      mTable.rows.erase(change.key);
    }
    return conflict;
  }

  std::optional<EditConflict> operator()(const SetPrincipal& change)
  {
    const auto& name = change.principal.name;
    if (auto conflict = principalConflict(name, change.seenVersion)) {
      return conflict;
    }
    auto& principal = mTable.principals[name];
    principal = change.principal;
    principal.version = mTable.revision;
    return std::nullopt;
  }

  std::optional<EditConflict> operator()(const RemovePrincipal& change)
  {
    auto conflict = principalConflict(change.name, change.seenVersion);
    if (!conflict) {
      mTable.principals.erase(change.name);
    }
    return conflict;
  }

  std::optional<EditConflict> operator()(const ChangeSet& restore)
  {
    for (const auto& change : restore.changes) {
      if (auto conflict = std::visit(*this, change)) {
        return conflict;
      }
    }
    return std::nullopt;
  }

  Table& table() { return mTable; }

private:
  std::optional<EditConflict> rowConflict(const RowKey& key,
                                          std::int64_t seen) const
  {
    auto row = findValue(mTable.rows, key);
    if (versionOf(row) == seen) {
      return std::nullopt;
    }
    return EditConflict{ "row " + rowName(key), seen, std::move(row), {} };
  }

  std::optional<EditConflict> principalConflict(const std::string& name,
                                                std::int64_t seen) const
  {
    auto principal = findValue(mTable.principals, name);
    if (versionOf(principal) == seen) {
      return std::nullopt;
    }
    return EditConflict{ "principal " + name, seen, {}, std::move(principal) };
  }

  Table mTable;
};

/// Returns an error if the command removes a row or principal that does not
/// exist, and the operator saw none either (seen version 0). The conflict check
/// does not report this removal, because what the operator saw is still true.
std::optional<std::string>
checkRemoval(const Table& table, const Command& command)
{
  if (const auto* row = std::get_if<RemoveRow>(&command)) {
    if (row->seenVersion == 0 && !table.rows.contains(row->key)) {
      return "there is no row " + rowName(row->key);
    }
  }
  if (const auto* principal = std::get_if<RemovePrincipal>(&command)) {
    if (principal->seenVersion == 0 &&
        !table.principals.contains(principal->name)) {
      return "there is no principal " + principal->name;
    }
  }
  return std::nullopt;
}

std::optional<std::string>
checkEditId(const std::string& id)
{
  if (isValidName(id) && id.size() <= TableLimits::kMaxEditIdLength) {
    return std::nullopt;
  }
  return fmt::format("the edit id must have 1 to {} characters without spaces, "
                     "commas, quotes and slashes",
                     TableLimits::kMaxEditIdLength);
}

std::optional<std::string>
checkRow(const Table& table, const RowKey& key, const Row& row)
{
  if (key != keyOf(row)) {
    return "row " + rowName(key) + " is stored under another key";
  }
  if (!isValidName(row.principal) || !isValidName(row.kind)) {
    return fmt::format("principal and kind of row {} must have {}",
                       rowName(key),
                       kNameRequirements);
  }
  if (!table.principals.contains(row.principal)) {
    return "row " + rowName(key) + " refers to an unknown principal";
  }
  for (const auto& field : rowFields()) {
    Row parsedRow;
    const auto text = field.text(row);
    if (!field.parse(parsedRow, text)) {
      return fmt::format("{} of row {} must be {}, not {}",
                         field.name,
                         rowName(key),
                         field.allowed,
                         text);
    }
  }
  return std::nullopt;
}

std::optional<std::string>
checkPrincipals(const Table& table)
{
  std::set<std::string> hashes;
  for (const auto& [name, principal] : table.principals) {
    if (name != principal.name || !isValidName(name)) {
      return fmt::format(
        "principal name \"{}\" must have {}", name, kNameRequirements);
    }
    if (!isTokenHash(principal.tokenHash)) {
      return "tokenHash of principal " + name +
             " must be 64 lower-case hex digits";
    }
    if (!hashes.insert(principal.tokenHash).second) {
      return "principal " + name + " has the token of another principal";
    }
  }
  const auto isOperator = [](const auto& entry) {
    return entry.second.role == PrincipalRole::Operator;
  };
  if (std::ranges::none_of(table.principals, isOperator)) {
    return "at least one operator must stay";
  }
  return std::nullopt;
}

Change
inverseChange(const Change& change, const Table& before, const Table& after)
{
  const auto inverseForRow = [&](const RowKey& key) -> Change {
    const auto seen = versionOf(findValue(after.rows, key));
    if (const auto row = findValue(before.rows, key)) {
      return SetRow{ *row, seen };
    }
    return RemoveRow{ key, seen };
  };
  const auto inverseForPrincipal = [&](const std::string& name) -> Change {
    const auto seen = versionOf(findValue(after.principals, name));
    if (const auto principal = findValue(before.principals, name)) {
      return SetPrincipal{ *principal, seen };
    }
    return RemovePrincipal{ name, seen };
  };
  return std::visit(
    Overloaded{
      [&](const SetRow& c) { return inverseForRow(keyOf(c.row)); },
      [&](const RemoveRow& c) { return inverseForRow(c.key); },
      [&](const SetPrincipal& c) {
        return inverseForPrincipal(c.principal.name);
      },
      [&](const RemovePrincipal& c) { return inverseForPrincipal(c.name); } },
    change);
}

template<typename Item>
bool
isSameItem(Item a, const Item& b)
{
  a.version = b.version;
  return a == b;
}

template<typename Map>
bool
areSameItems(const Map& a, const Map& b)
{
  return std::ranges::equal(a, b, [](const auto& x, const auto& y) {
    return x.first == y.first && isSameItem(x.second, y.second);
  });
}

} // namespace

ApplyResult
applyEdit(const Table& table, const Edit& edit)
{
  if (auto reason = checkEditId(edit.id)) {
    return EditInvalid{ std::move(*reason) };
  }
  if (const auto revision = acceptedRevision(table, edit.id)) {
    return AlreadyAccepted{ *revision };
  }
  if (auto reason = checkRemoval(table, edit.command)) {
    return EditInvalid{ std::move(*reason) };
  }
  Applier applier(table);
  if (auto conflict = std::visit(
        [&](const auto& command) { return applier(command); }, edit.command)) {
    return std::move(*conflict);
  }
  auto& result = applier.table();
  if (auto reason = validateTable(result)) {
    return EditInvalid{ std::move(*reason) };
  }
  result.recentEdits.push_back(edit.id);
  while (result.recentEdits.size() > TableLimits::kRecentEdits) {
    result.recentEdits.pop_front();
  }
  return Applied{ std::move(result) };
}

Command
inverseCommand(const Command& command, const Table& before, const Table& after)
{
  if (const auto* restore = std::get_if<ChangeSet>(&command)) {
    ChangeSet undo;
    for (const auto& change : restore->changes) {
      undo.changes.push_back(inverseChange(change, before, after));
    }
    return undo;
  }
  const auto asChange =
    std::visit(Overloaded{ [](const ChangeSet&) { return Change(); },
                           [](const auto& single) { return Change(single); } },
               command);
  return std::visit([](const auto& single) { return Command(single); },
                    inverseChange(asChange, before, after));
}

ChangeSet
changesBetween(const Table& current, const Table& desired)
{
  ChangeSet restore;
  for (const auto& [name, principal] : desired.principals) {
    const auto now = findValue(current.principals, name);
    if (!now || !isSameItem(*now, principal)) {
      restore.changes.emplace_back(SetPrincipal{ principal, versionOf(now) });
    }
  }
  for (const auto& [key, row] : desired.rows) {
    const auto now = findValue(current.rows, key);
    if (!now || !isSameItem(*now, row)) {
      restore.changes.emplace_back(SetRow{ row, versionOf(now) });
    }
  }
  for (const auto& [key, row] : current.rows) {
    if (!desired.rows.contains(key)) {
      restore.changes.emplace_back(RemoveRow{ key, row.version });
    }
  }
  for (const auto& [name, principal] : current.principals) {
    if (!desired.principals.contains(name)) {
      restore.changes.emplace_back(RemovePrincipal{ name, principal.version });
    }
  }
  return restore;
}

std::optional<std::string>
validateTable(const Table& table)
{
  if (table.rows.size() > TableLimits::kMaxRows) {
    return fmt::format("more than {} rows", TableLimits::kMaxRows);
  }
  if (table.principals.size() > TableLimits::kMaxPrincipals) {
    return fmt::format("more than {} principals", TableLimits::kMaxPrincipals);
  }
  for (const auto& [key, row] : table.rows) {
    if (auto reason = checkRow(table, key, row)) {
      return reason;
    }
  }
  return checkPrincipals(table);
}

std::optional<std::int64_t>
acceptedRevision(const Table& table, const std::string& editId)
{
  // Each revision adds one identifier to the end of the list, so the distance
  // of an identifier from the end is the number of revisions since.
  const auto& edits = table.recentEdits;
  const auto found = std::find(edits.rbegin(), edits.rend(), editId);
  if (found == edits.rend()) {
    return std::nullopt;
  }
  return table.revision - (found - edits.rbegin());
}

bool
hasSameContent(const Table& a, const Table& b)
{
  return areSameItems(a.rows, b.rows) &&
         areSameItems(a.principals, b.principals);
}

} // namespace lentilrack::core
