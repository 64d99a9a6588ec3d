#include "core/table_csv.h"

#include "core/principal_list.h"
#include "core/row_fields.h"
#include "core/table_diff.h"
#include "core/table_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilrack::core {

namespace {

using testing::row;
using testing::smallTable;

std::string
errorOf(std::string_view text)
{
  const auto rows = CsvFormat().readRows(text);
  return rows ? "" : rows.error().text();
}

Row
anyRow(const std::string& kind)
{
  auto any = row("carl", kind);
  any.version = 0;
  any.weight = *rc::gen::inRange<std::int64_t>(1, 1001);
  any.ratePerSecond = *rc::gen::inRange(0, 1'000'000) / 7.0;
  any.maxConcurrent = *rc::gen::inRange<std::int64_t>(0, 1'000'001);
  any.priority = *rc::gen::inRange<std::int64_t>(0, 10);
  any.deadline = Millis(*rc::gen::inRange(1, 3'600'001));
  any.stalenessBound = *rc::gen::inRange<std::int64_t>(0, 1'000'001);
  any.hedge = *rc::gen::arbitrary<bool>();
  return any;
}

} // namespace

// Guards against losing or rounding a field in an export.
RC_GTEST_PROP(TableCsvProperty, ExportedRowsAreReadUnchanged, ())
{
  Table table;
  std::vector<Row> rows;
  const int count = *rc::gen::inRange(0, 8);
  for (int i = 0; i < count; ++i) {
    const auto kind = std::to_string(i) + *rc::gen::element("", "#", "é", "*");
    rows.push_back(anyRow(kind));
    table.rows[{ "carl", kind }] = rows.back();
  }
  const auto read = CsvFormat().readRows(CsvFormat().writeRows(table));
  RC_ASSERT(read.has_value());
  RC_ASSERT(read.value() == rows);
}

TEST(TableCsvTest, ReadsQuotesCommentsDefaultsAndAnyColumnOrder)
{
  const auto rows = CsvFormat().readRows("# limits of the shop\r\n"
                                         "kind,\"principal\",weight\r\n"
                                         "\r\n"
                                         "\"*\",carl,7\r\n"
                                         "order,carl,");
  ASSERT_TRUE(rows.has_value()) << rows.error().text();
  ASSERT_EQ(rows.value().size(), 2);
  EXPECT_EQ(rows.value()[0].weight, 7);
  EXPECT_EQ(rows.value()[1].kind, "order");
  EXPECT_EQ(rows.value()[1].weight, Row().weight);
}

TEST(TableCsvTest, ErrorsReportLineAndColumn)
{
  EXPECT_EQ(errorOf(""),
            "line 1, column 1: the line of column names is missing");
  EXPECT_EQ(errorOf("principal,weight\n"),
            "line 1, column 1: column kind is missing");
  EXPECT_EQ(errorOf("principal,kind,colour\n"),
            "line 1, column 16: column \"colour\" is not known; allowed: "
            "principal, kind, " +
              rowFieldNames());
  EXPECT_EQ(errorOf("principal,kind,kind\n"),
            "line 1, column 16: column kind occurs twice");
  EXPECT_EQ(errorOf("principal,kind,weight\ncarl,*,1\ncarl,order,0\n"),
            "line 3, column 12: weight must be an integer from 1 to 1000, not "
            "\"0\"");
  EXPECT_EQ(errorOf("principal,kind,hedge\ncarl,*,yes\n"),
            "line 2, column 8: hedge must be true or false, not \"yes\"");
  EXPECT_EQ(errorOf("principal,kind,ratePerSecond\ncarl,*,nan\n"),
            "line 2, column 8: ratePerSecond must be a number from 0 to "
            "1000000; 0 is no limit, not \"nan\"");
  EXPECT_EQ(errorOf("principal,kind\ncarl\n"),
            "line 2, column 1: the line has 1 cells, but there are 2 columns");
  EXPECT_EQ(errorOf("principal,kind\ncarl,*\ncarl,*\n"),
            "line 3, column 1: row carl/* occurs twice");
  EXPECT_EQ(errorOf("principal,kind\ncarl,\"*\n"),
            "line 2, column 6: the quote is not closed");
  EXPECT_EQ(errorOf("principal,kind\ncarl,\"*\"x\n"),
            "line 2, column 9: text after a closing quote; allowed: a comma or "
            "the end of the line");
  EXPECT_EQ(errorOf("principal,kind\ncarl,a\"\n").substr(0, 32),
            "line 2, column 7: a quote inside");
}

TEST(TableCsvTest, PrincipalsHaveATokenOrAHash)
{
  const auto hash = hashToken("secret");
  const auto read = CsvFormat().readPrincipals(
    "name,role,token,tokenHash\na,operator,secret,\nb,caller,," + hash + "\n");
  ASSERT_TRUE(read.has_value()) << read.error().text();
  EXPECT_EQ(read.value()[0].tokenHash, hash);
  EXPECT_EQ(read.value()[1].tokenHash, hash);
  EXPECT_EQ(read.value()[1].role, PrincipalRole::Caller);
  const auto none = CsvFormat().readPrincipals("name,role\na,caller\n");
  ASSERT_TRUE(none.has_value()) << none.error().text();
  EXPECT_EQ(none.value()[0].tokenHash, "");
}

TEST(PrincipalListTest, ReadsNamesAndRolesAndReportsTheInvalidLine)
{
  const auto read = readPrincipalList("# staff\nlead operator\r\n\n a  caller");
  ASSERT_TRUE(read.has_value()) << read.error().text();
  ASSERT_EQ(read.value().size(), 2);
  EXPECT_EQ(read.value()[0].role, PrincipalRole::Operator);
  EXPECT_EQ(read.value()[1].name, "a");
  const auto errorOfList = [](std::string_view text) {
    const auto list = readPrincipalList(text);
    return list ? "" : list.error().text();
  };
  EXPECT_EQ(errorOfList("a caller\nb king\n"),
            "line 2, column 1: \"b king\" is not allowed; allowed: NAME ROLE "
            "with the role caller, trainer or operator");
  EXPECT_EQ(errorOfList("a caller\na trainer\n"),
            "line 2, column 1: principal a occurs twice");
}

// Guards against a preview that does not show every change to the operator, and
// against showing token hashes.
TEST(TableDiffTest, ShowsEveryChangeAndNoHash)
{
  const auto before = smallTable();
  auto after = before;
  after.rows[{ "carl", "*" }].weight = 3;
  after.rows[{ "carl", "*" }].hedge = true;
  after.rows.erase({ "tina", "draft" });
  after.rows[{ "carl", "order" }] = row("carl", "order");
  after.principals["tina"].tokenHash = hashToken("other");
  after.principals["tina"].role = PrincipalRole::Operator;
  const std::string defaults = " weight=1 ratePerSecond=0 maxConcurrent=0 "
                               "priority=5 deadlineMs=30000 stalenessBound=1 "
                               "hedge=false";
  EXPECT_EQ(tableDiff(before, after),
            (std::vector<std::string>{
              "~ principal tina role trainer -> operator, another token",
              "~ row carl/* weight 1 -> 3, hedge false -> true",
              "- row tina/draft" + defaults,
              "+ row carl/order" + defaults }));
  EXPECT_TRUE(tableDiff(before, before).empty());
}

} // namespace lentilrack::core
