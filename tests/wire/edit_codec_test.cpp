#include "wire/edit_codec.h"

#include "core/row_fields.h"
#include "core/table_fixture.h"
#include "wire/table_codec.h"

#include <gtest/gtest.h>

namespace lentilrack::wire {

using core::testing::principal;
using core::testing::row;

// Guards against a field of an edit that is lost when the edit is encoded by
// the operator's program and decoded by an entry.
TEST(EditCodecTest, EveryCommandRoundTrips)
{
  auto changed = row("carl", "*");
  changed.weight = 12;
  changed.ratePerSecond = 0.1;
  changed.maxConcurrent = 3;
  changed.priority = 0;
  changed.deadline = core::Millis(5);
  changed.stalenessBound = 4;
  changed.hedge = true;
  const core::SetRow setRow{ changed, 7 };
  const core::RemoveRow removeRow{ { "carl", "*" }, 8 };
  const core::SetPrincipal setPrincipal{
    principal("dora", core::PrincipalRole::Trainer), 0
  };
  const core::RemovePrincipal removePrincipal{ "dora", 9 };
  const std::vector<core::Command> commands{
    setRow,
    removeRow,
    setPrincipal,
    removePrincipal,
    core::ChangeSet{ { setRow, removeRow, setPrincipal, removePrincipal } },
  };
  for (const auto& command : commands) {
    const core::Edit edit{ "edit", command };
    const auto decoded = decodeEdit(encode(edit));
    ASSERT_TRUE(decoded.has_value()) << decoded.error().text();
    EXPECT_EQ(decoded.value(), edit);
  }
}

// Guards against limits that differ between the edit checks and the codec. If
// an edit accepted a row that the codec rejects, no process could load the
// table.
TEST(EditCodecTest, RowAtEveryBoundPassesEditChecksAndCodec)
{
  auto table = core::testing::smallTable();
  auto& largest = table.rows.at({ "carl", "*" });
  largest.weight = 1000;
  largest.ratePerSecond = 1e6;
  largest.maxConcurrent = 1'000'000;
  largest.priority = 9;
  largest.deadline = core::Millis(3'600'000);
  largest.stalenessBound = 1'000'000;
  EXPECT_EQ(core::validateTable(table), std::nullopt);
  const auto decoded = decodeTable(encode(table));
  ASSERT_TRUE(decoded.has_value()) << decoded.error().text();
  EXPECT_EQ(decoded.value(), table);
}

// Guards against limits that allow a table larger than 1 MB, the maximum size
// of a value in the key-value service. The table could then not be stored.
TEST(EditCodecTest, LargestTableFitsTheKeyValueService)
{
  const std::string longest(core::RowLimits::kMaxNameLength - 4, 'x');
  core::Table table;
  table.revision = 1'000'000'000;
  for (std::size_t i = 0; i < core::TableLimits::kMaxPrincipals; ++i) {
    auto any = principal(longest + std::to_string(1000 + i),
                         core::PrincipalRole::Operator);
    any.version = table.revision;
    table.principals[any.name] = any;
  }
  const auto owner = table.principals.begin()->first;
  for (std::size_t i = 0; i < core::TableLimits::kMaxRows; ++i) {
    auto any = row(owner, longest + std::to_string(1000 + i));
    any.weight = 1000;
    any.ratePerSecond = 1234.567890123;
    any.maxConcurrent = 1'000'000;
    any.deadline = core::Millis(3'600'000);
    any.stalenessBound = 1'000'000;
    any.version = table.revision;
    table.rows[{ owner, any.kind }] = any;
  }
  table.recentEdits.assign(
    core::TableLimits::kRecentEdits,
    std::string(core::TableLimits::kMaxEditIdLength, 'e'));
  ASSERT_EQ(core::validateTable(table), std::nullopt);
  EXPECT_LT(encode(table).dump().size(), 1'000'000);
}

TEST(EditCodecTest, ErrorsNameTheField)
{
  const auto errorOf = [](const char* text) {
    const auto edit = decodeEdit(Json::parse(text));
    return edit ? std::string() : edit.error().text();
  };
  EXPECT_EQ(errorOf(R"({"editId":"a"})"), "field \"command\" is missing");
  EXPECT_EQ(errorOf(R"({"editId":"a","command":{"type":"drop",
                        "seenVersion":0}})"),
            "field \"command.type\" must be set_row, remove_row, "
            "set_principal, remove_principal or restore");
  EXPECT_EQ(errorOf(R"({"editId":"a","command":{"type":"set_row",
                        "seenVersion":0,"row":{"principal":"p","kind":"*",
                        "weight":0}}})"),
            "field \"command.row.weight\" must be 1 to 1000, not 0");
  EXPECT_EQ(errorOf(R"({"editId":"a","command":{"type":"restore",
                        "changes":[{"type":"remove_row","principal":"p",
                        "kind":"*","seenVersion":1,"extra":2}]}})"),
            "field \"command.changes[0].extra\" is not known");
}

} // namespace lentilrack::wire
