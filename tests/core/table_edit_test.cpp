#include "core/table_edit.h"

#include "core/row_fields.h"
#include "core/table_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilrack::core {

namespace {

using testing::principal;
using testing::row;
using testing::smallTable;

const std::vector<std::string> kNames{ "root", "tina", "carl", "dora" };
const std::vector<std::string> kKinds{ "*", "draft", "order" };

Row
rowWithWeight(std::int64_t weight)
{
  auto changed = row("carl", "*");
  changed.weight = weight;
  return changed;
}

Table
applied(const Table& table, const Edit& edit)
{
  auto result = applyEdit(table, edit);
  EXPECT_TRUE(std::holds_alternative<Applied>(result));
  return std::get<Applied>(std::move(result)).table;
}

std::string
invalidReason(const Table& table, const Edit& edit)
{
  const auto result = applyEdit(table, edit);
  const auto* invalid = std::get_if<EditInvalid>(&result);
  return invalid == nullptr ? "" : invalid->reason;
}

RowKey
anyKey()
{
  return { *rc::gen::elementOf(kNames), *rc::gen::elementOf(kKinds) };
}

/// Generates a change whose seen version is the item's current version, so that
/// the change is not a conflict.
Change
anyChange(const Table& table)
{
  const auto key = anyKey();
  const auto found = table.rows.find(key);
  const auto owner = table.principals.find(key.first);
  const auto rowVersion = found == table.rows.end() ? 0 : found->second.version;
  const auto ownerVersion =
    owner == table.principals.end() ? 0 : owner->second.version;
  switch (*rc::gen::inRange(0, 4)) {
    case 0: {
      auto changed = row(key.first, key.second);
      changed.weight = *rc::gen::inRange<std::int64_t>(1, 1001);
      changed.hedge = *rc::gen::arbitrary<bool>();
      return SetRow{ changed, rowVersion };
    }
    case 1:
      return RemoveRow{ key, rowVersion };
    case 2: {
      const auto role =
        static_cast<PrincipalRole>(*rc::gen::inRange<int>(0, 3));
      return SetPrincipal{ principal(key.first, role), ownerVersion };
    }
    default:
      return RemovePrincipal{ key.first, ownerVersion };
  }
}

Command
asCommand(const Change& change)
{
  return std::visit([](const auto& single) { return Command(single); }, change);
}

/// Generates a table by applying random edits.
Table
anyTable()
{
  auto table = smallTable();
  const int edits = *rc::gen::inRange(0, 12);
  for (int i = 0; i < edits; ++i) {
    const Edit edit{ "e" + std::to_string(i), asCommand(anyChange(table)) };
    auto result = applyEdit(table, edit);
    if (auto* next = std::get_if<Applied>(&result)) {
      table = std::move(next->table);
    }
  }
  return table;
}

} // namespace

// Guards against silently overwriting the change of another operator.
TEST(TableEditTest, ConflictReturnsTheCurrentRow)
{
  const auto first =
    applied(smallTable(), { "a", SetRow{ rowWithWeight(7), 1 } });
  const auto result = applyEdit(first, { "b", SetRow{ rowWithWeight(9), 1 } });
  const auto* conflict = std::get_if<EditConflict>(&result);
  ASSERT_NE(conflict, nullptr);
  EXPECT_EQ(conflict->target, "row carl/*");
  ASSERT_TRUE(conflict->row.has_value());
  EXPECT_EQ(conflict->row->weight, 7);
  EXPECT_EQ(conflict->row->version, 2);
}

// Guards against reporting a conflict without showing the operator that the row
// was removed.
TEST(TableEditTest, ConflictOnARemovedRowReturnsNoRow)
{
  const auto removed =
    applied(smallTable(), { "a", RemoveRow{ { "carl", "*" }, 1 } });
  const auto result =
    applyEdit(removed, { "b", SetRow{ rowWithWeight(9), 1 } });
  const auto* conflict = std::get_if<EditConflict>(&result);
  ASSERT_NE(conflict, nullptr);
  EXPECT_FALSE(conflict->row.has_value());
}

// Guards against refusing or losing one of two edits that change different
// rows.
TEST(TableEditTest, ChangesToOtherRowsAreKept)
{
  auto draft = row("tina", "draft");
  draft.priority = 9;
  const auto first =
    applied(smallTable(), { "a", SetRow{ rowWithWeight(7), 1 } });
  const auto both = applied(first, { "b", SetRow{ draft, 1 } });
  EXPECT_EQ(both.revision, 3);
  EXPECT_EQ(both.rows.at({ "carl", "*" }).weight, 7);
  EXPECT_EQ(both.rows.at({ "tina", "draft" }).priority, 9);
  EXPECT_EQ(both.rows.at({ "tina", "draft" }).version, 3);
}

// Guards against applying a repeated edit twice and against reporting it as a
// conflict with itself.
TEST(TableEditTest, RepeatedEditIdReturnsItsFirstRevision)
{
  const Edit edit{ "a", SetRow{ rowWithWeight(7), 1 } };
  const auto first = applied(smallTable(), edit);
  const auto later = applied(first, { "b", RemoveRow{ { "carl", "*" }, 2 } });
  const auto result = applyEdit(later, edit);
  const auto* before = std::get_if<AlreadyAccepted>(&result);
  ASSERT_NE(before, nullptr);
  EXPECT_EQ(before->revision, 2);
}

TEST(TableEditTest, ListOfEditIdsIsBounded)
{
  auto table = smallTable();
  for (int i = 0; i < 300; ++i) {
    const auto version = table.rows.at({ "carl", "*" }).version;
    table = applied(
      table,
      { "e" + std::to_string(i), SetRow{ rowWithWeight(1 + i % 9), version } });
  }
  EXPECT_EQ(table.recentEdits.size(), TableLimits::kRecentEdits);
  EXPECT_EQ(acceptedRevision(table, "e299"), table.revision);
  EXPECT_EQ(acceptedRevision(table, "e44"), 46);
  EXPECT_EQ(acceptedRevision(table, "e43"), std::nullopt);
}

// Guards against accepting a table without an operator, or one with invalid
// rows.
TEST(TableEditTest, ResultingTableIsValidated)
{
  const auto table = smallTable();
  EXPECT_EQ(invalidReason(table, { "a", RemovePrincipal{ "carl", 1 } }),
            "row carl/* refers to an unknown principal");
  EXPECT_EQ(invalidReason(table, { "a", SetRow{ row("dora", "*"), 0 } }),
            "row dora/* refers to an unknown principal");
  EXPECT_EQ(invalidReason(table, { "a", RemovePrincipal{ "root", 1 } }),
            "at least one operator must stay");
  EXPECT_EQ(invalidReason(table, { "a", SetRow{ rowWithWeight(1001), 1 } }),
            "weight of row carl/* must be an integer from 1 to 1000, not 1001");
  auto sameToken = principal("dora", PrincipalRole::Caller);
  sameToken.tokenHash = table.principals.at("root").tokenHash;
  EXPECT_EQ(invalidReason(table, { "a", SetPrincipal{ sameToken, 0 } }),
            "principal root has the token of another principal");
  EXPECT_NE(invalidReason(table, { "a b", RemoveRow{ { "carl", "*" }, 1 } }),
            "");
  EXPECT_NE(invalidReason(table, { "a", RemoveRow{ { "carl", "none" }, 0 } }),
            "");
}

TEST(TableEditTest, NumberOfRowsIsLimited)
{
  auto table = smallTable();
  for (std::size_t i = table.rows.size(); i < TableLimits::kMaxRows; ++i) {
    const auto kind = "k" + std::to_string(i);
    table.rows[{ "carl", kind }] = row("carl", kind);
  }
  EXPECT_EQ(validateTable(table), std::nullopt);
  EXPECT_EQ(invalidReason(table, { "a", SetRow{ row("carl", "more"), 0 } }),
            "more than 1500 rows");
}

// Guards against applying only some changes of a change set.
TEST(TableEditTest, ChangeSetIsAppliedCompletelyOrNotAtAll)
{
  ChangeSet restore;
  restore.changes.emplace_back(SetRow{ rowWithWeight(7), 1 });
  restore.changes.emplace_back(RemoveRow{ { "tina", "draft" }, 5 });
  const auto result = applyEdit(smallTable(), { "a", restore });
  ASSERT_TRUE(std::holds_alternative<EditConflict>(result));
  restore.changes.back() = RemoveRow{ { "tina", "draft" }, 1 };
  const auto table = applied(smallTable(), { "a", restore });
  EXPECT_EQ(table.revision, 2);
  EXPECT_EQ(table.rows.size(), 1);
}

// Guards against an undo that does not restore a field, or that reverts rows
// which the command did not change.
RC_GTEST_PROP(TableEditProperty, InverseRestoresTheContent, ())
{
  const auto before = anyTable();
  const Edit edit{ "edit", asCommand(anyChange(before)) };
  const auto result = applyEdit(before, edit);
  RC_PRE(std::holds_alternative<Applied>(result));
  const auto after = std::get<Applied>(result).table;
  const auto undone =
    applyEdit(after, { "undo", inverseCommand(edit.command, before, after) });
  RC_ASSERT(std::holds_alternative<Applied>(undone));
  RC_ASSERT(hasSameContent(std::get<Applied>(undone).table, before));
}

RC_GTEST_PROP(TableEditProperty,
              ChangeSetGivesTheDesiredTableAndItsInverseRevertsIt,
              ())
{
  const auto current = anyTable();
  const auto desired = anyTable();
  const auto restore = changesBetween(current, desired);
  const auto forward = applyEdit(current, { "restore", restore });
  RC_ASSERT(std::holds_alternative<Applied>(forward));
  const auto& table = std::get<Applied>(forward).table;
  RC_ASSERT(hasSameContent(table, desired));
  const auto reverted =
    applyEdit(table, { "undo", inverseCommand(restore, current, table) });
  RC_ASSERT(std::holds_alternative<Applied>(reverted));
  RC_ASSERT(hasSameContent(std::get<Applied>(reverted).table, current));
}

} // namespace lentilrack::core
