#include "ctl/command.h"

#include "ctl/initial_table.h"
#include "ctl/random_token.h"
#include "ctl/row_assignment.h"

#include <gtest/gtest.h>

namespace lentilrack::ctl {

namespace {

std::string
usageError(const std::vector<std::string>& words)
{
  const auto command = parseCommand(words);
  return command ? "" : command.error();
}

} // namespace

TEST(CommandTest, FindsCommandAndArguments)
{
  const auto command =
    parseCommand({ "table", "set", "carl/*", "weight=3", "hedge=true" });
  ASSERT_TRUE(command.has_value());
  EXPECT_EQ(command.value().type, CommandType::TableSet);
  EXPECT_EQ(command.value().arguments,
            (std::vector<std::string>{ "carl/*", "weight=3", "hedge=true" }));
  EXPECT_EQ(parseCommand({ "members" }).value().type, CommandType::Members);
}

// Guards against an error message that does not say what is allowed, when the
// command is unknown or the number of arguments is wrong.
TEST(CommandTest, ErrorsSayWhatIsAllowed)
{
  EXPECT_EQ(usageError({ "table", "set", "carl/*" }),
            "wrong number of arguments; allowed: table set PRINCIPAL/KIND "
            "FIELD=VALUE...");
  EXPECT_EQ(usageError({ "members", "all" }),
            "wrong number of arguments; allowed: members");
  EXPECT_EQ(usageError({ "table", "drop" }),
            "\"table drop\" is no command; allowed:\n" + commandHelp());
  EXPECT_EQ(usageError({}), "\"\" is no command; allowed:\n" + commandHelp());
}

TEST(RowAssignmentTest, SetsFieldsAndExplainsWrongOnes)
{
  core::Row row;
  EXPECT_EQ(assignFields(row, { "weight=3", "deadlineMs=250", "hedge=true" }),
            std::nullopt);
  EXPECT_EQ(row.weight, 3);
  EXPECT_EQ(row.deadline, core::Millis(250));
  EXPECT_TRUE(row.hedge);
  EXPECT_EQ(assignFields(row, { "priority=10" }),
            "priority: \"10\" is not allowed; allowed: an integer from 0 to 9");
  EXPECT_EQ(assignFields(row, { "version=1" }),
            "\"version=1\" sets no field; allowed: FIELD=VALUE with one of "
            "weight, ratePerSecond, maxConcurrent, priority, deadlineMs, "
            "stalenessBound, hedge");
  EXPECT_NE(assignFields(row, { "weight" }), std::nullopt);
}

TEST(InitialTableTest, IsCheckedAsAWhole)
{
  const std::string rows = "principal,kind,weight\nshop,*,5\n";
  const std::string principals =
    "name,role,token\nroot,operator,r\nshop,caller,s\n";
  const auto table = makeInitialTable(rows, principals, "id");
  ASSERT_TRUE(table.has_value()) << table.error();
  EXPECT_EQ(table.value().table.revision, 1);
  EXPECT_EQ(table.value().table.findRow("shop", "order")->version, 1);
  EXPECT_EQ(table.value().table.authenticate("r")->name, "root");
  EXPECT_TRUE(table.value().tokens.empty());
  EXPECT_EQ(
    makeInitialTable(rows, "name,role,token\nshop,caller,s\n", "id").error(),
    "the table is not allowed: at least one operator must stay");
  EXPECT_EQ(
    makeInitialTable("principal,kind,weight\nshop,*,x\n", principals, "id")
      .error(),
    "table file, line 2, column 8: weight must be an integer from 1 "
    "to 1000, not \"x\"");
}

// Guards against a principal that cannot authenticate when the file contains no
// token for it, because none was generated or the shown token is another one.
TEST(InitialTableTest, GeneratesMissingTokens)
{
  const std::string rows = "principal,kind\nshop,*\n";
  const auto first =
    makeInitialTable(rows, "root operator\nshop caller\n", "id");
  ASSERT_TRUE(first.has_value()) << first.error();
  ASSERT_EQ(first.value().tokens.size(), 2);
  for (const auto& made : first.value().tokens) {
    const auto* principal = first.value().table.authenticate(made.token);
    ASSERT_NE(principal, nullptr);
    EXPECT_EQ(principal->name, made.name);
    EXPECT_EQ(principal->role, made.role);
  }
}

// Guards against tokens that are shorter than requested or the same at every
// call.
TEST(RandomTokenTest, HasRequestedLengthAndDiffers)
{
  EXPECT_EQ(randomBase64Url(32).size(), 43);
  EXPECT_NE(randomBase64Url(32), randomBase64Url(32));
}

} // namespace lentilrack::ctl
