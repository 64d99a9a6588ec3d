#include "ctl/render.h"

#include "core/table_fixture.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace lentilrack::ctl {

namespace {

using wire::Json;

std::string
golden(const std::string& name)
{
  std::ifstream file("tests/golden/table/" + name);
  EXPECT_TRUE(file) << name;
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

// Guards against output that loses a field or its alignment. The expected
// output is stored in golden files.
TEST(RenderTest, Table)
{
  auto table = core::testing::smallTable();
  table.revision = 12;
  auto& row = table.rows.at({ "carl", "*" });
  row.weight = 1000;
  row.ratePerSecond = 2.5;
  row.deadline = core::Millis(3'600'000);
  row.hedge = true;
  row.version = 12;
  EXPECT_EQ(renderTable(table), golden("show.txt"));
}

TEST(RenderTest, History)
{
  const auto answer = Json::parse(R"({"entries":[
    {"revision":4,"rows":1,"principals":2,"changes":[]},
    {"revision":3,"rows":1,"principals":2,
     "changes":["~ row carl/* weight 1 -> 3","+ principal dora role=caller"]},
    {"revision":1,"rows":1,"principals":1}]})");
  EXPECT_EQ(renderHistory(answer), golden("history.txt"));
}

TEST(RenderTest, Members)
{
  const auto answer = Json::parse(R"({"members":[
    {"id":{"name":"entry-1"},"role":"entry","failure_domain":"etna",
     "state":"alive","table_revision":12,"link":"127.0.0.1:7001",
     "http":"127.0.0.1:8001"},
    {"id":{"name":"dispatch-1"},"role":"dispatch","failure_domain":"messina",
     "state":"suspect","table_revision":9,"link":"127.0.0.1:7002"}]})");
  EXPECT_EQ(renderMembers(answer), golden("members.txt"));
}

TEST(RenderTest, Status)
{
  const auto answer = Json::parse(R"({"name":"entry-1","table_revision":12,
    "kv_available":false,"cut_off":false,"members":{"alive":2,"suspect":1},
    "behind":["dispatch-1"]})");
  EXPECT_EQ(renderStatus(answer), golden("status.txt"));
}

} // namespace lentilrack::ctl
