#include "core/weight_load_planner.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace lentilrack::core {

namespace {

const TimePoint kNow = TimePoint() + std::chrono::hours(1);

struct Fleet
{
  explicit Fleet(int count, std::vector<std::string> names)
    : models{ { "engine", names } }
  {
    for (int i = 0; i < count; ++i) {
      RegisteredServer server;
      server.entry.id = fmt::format("s{}", i);
      server.entry.service = "engine";
      server.entry.failureDomain = i % 2 == 0 ? "north" : "south";
      for (const auto& name : names) {
        server.entry.versions[name] = 1;
      }
      servers.push_back(std::move(server));
    }
  }

  std::vector<const RegisteredServer*> serverPointers() const
  {
    std::vector<const RegisteredServer*> result;
    for (const auto& server : servers) {
      result.push_back(&server);
    }
    return result;
  }

  void load(const LoadOrder& order)
  {
    for (auto& server : servers) {
      if (server.entry.id == order.server.id) {
        server.entry.versions[order.model] = order.version;
      }
    }
  }

  std::vector<RegisteredServer> servers;
  std::map<std::string, std::vector<std::string>> models;
};

} // namespace

// Guards against a plan in which every server loads at the same time and none
// works, when all servers need new weights.
TEST(WeightLoadPlannerTest, FewServersLoadAtOnce)
{
  Fleet fleet(9, { "m" });
  WeightLoadPlanner planner;
  planner.setTarget("m", 2);
  const auto first = planner.plan(fleet.serverPointers(), fleet.models, kNow);
  EXPECT_EQ(first.size(), 2U);
  for (const auto& order : first) {
    planner.loadStarted(order, kNow);
  }
  EXPECT_TRUE(planner.plan(fleet.serverPointers(), fleet.models, kNow).empty());
  planner.loadConfirmed(first[0].server.id, kNow + Millis(1'000));
  fleet.load(first[0]);
  EXPECT_EQ(planner.plan(fleet.serverPointers(), fleet.models, kNow).size(),
            1U);
}

// Guards against servers that load the versions of every model when several
// models share the servers, since each load has a cost.
TEST(WeightLoadPlannerTest, EachServerLoadsOneModel)
{
  Fleet fleet(12, { "m", "n" });
  WeightLoadPlanner planner;
  std::map<std::string, std::set<std::string>> loaded;
  for (std::int64_t version = 2; version < 6; ++version) {
    planner.setTarget("m", version);
    planner.setTarget("n", version);
    for (int round = 0; round < 12; ++round) {
      for (const auto& order :
           planner.plan(fleet.serverPointers(), fleet.models, kNow)) {
        loaded[order.server.id].insert(order.model);
        fleet.load(order);
      }
    }
  }
  EXPECT_EQ(loaded.size(), 12U);
  std::map<std::string, int> perModel;
  for (const auto& [server, models] : loaded) {
    EXPECT_EQ(models.size(), 1U);
    ++perModel[*models.begin()];
  }
  EXPECT_EQ(perModel["m"], 6);
}

// Guards against assigning the servers differently after a change of the
// leader, which would make them load models that they have not served before.
TEST(WeightLoadPlannerTest, NewLeaderKeepsTheModelsOfTheServers)
{
  Fleet fleet(6, { "m", "n" });
  WeightLoadPlanner before;
  before.setTarget("m", 2);
  before.setTarget("n", 2);
  for (int round = 0; round < 6; ++round) {
    for (const auto& order :
         before.plan(fleet.serverPointers(), fleet.models, kNow)) {
      fleet.load(order);
    }
  }
  WeightLoadPlanner after;
  after.setTarget("m", 2);
  after.setTarget("n", 2);
  EXPECT_TRUE(after.plan(fleet.serverPointers(), fleet.models, kNow).empty());
}

// Guards against lowering a target version, and against a server that blocks
// the loads of others for ever because the end of its own load is never
// observed.
TEST(WeightLoadPlannerTest, TargetsOnlyGrowAndLostLoadsTimeOut)
{
  Fleet fleet(2, { "m" });
  WeightLoadPlanner planner;
  planner.setTarget("m", 3);
  planner.setTarget("m", 2);
  const auto orders = planner.plan(fleet.serverPointers(), fleet.models, kNow);
  ASSERT_EQ(orders.size(), 2U);
  EXPECT_EQ(orders[0].version, 3);
  planner.loadStarted(orders[0], kNow);
  planner.loadStarted(orders[1], kNow);
  const auto later = kNow + std::chrono::seconds(7);
  EXPECT_EQ(planner.plan(fleet.serverPointers(), fleet.models, later).size(),
            2U);
}

namespace {

std::map<std::string, int>
serversByModel(const Fleet& fleet)
{
  std::map<std::string, int> counts;
  for (const auto& server : fleet.servers) {
    const auto newest = std::ranges::max_element(
      server.entry.versions, {}, [](const auto& item) { return item.second; });
    ++counts[newest->first];
  }
  return counts;
}

/// Executes orders until no more are planned. Returns their number.
int
loadAll(WeightLoadPlanner& planner, Fleet& fleet)
{
  int loads = 0;
  for (auto orders = planner.plan(fleet.serverPointers(), fleet.models, kNow);
       !orders.empty();
       orders = planner.plan(fleet.serverPointers(), fleet.models, kNow)) {
    for (const auto& order : orders) {
      planner.loadStarted(order, kNow);
      fleet.load(order);
      planner.loadDropped(order.server.id);
      ++loads;
    }
  }
  return loads;
}

} // namespace

// Guards against splitting the servers equally between models with short and
// long drafts: the long drafts would miss their deadlines.
TEST(WeightLoadPlannerTest, ServersFollowTheDemand)
{
  Fleet fleet(12, { "short", "long" });
  WeightLoadPlanner planner;
  planner.setTarget("short", 2);
  planner.setTarget("long", 2);
  loadAll(planner, fleet);
  EXPECT_EQ(serversByModel(fleet)["long"], 6);
  planner.setDemand({ { "short", 1.0 }, { "long", 3.0 } });
  planner.setTarget("long", 3);
  loadAll(planner, fleet);
  EXPECT_EQ(serversByModel(fleet)["long"], 9);
}

// Guards against moving servers between models at every small change of the
// demand, since each move costs a load.
TEST(WeightLoadPlannerTest, SmallChangesOfDemandMoveNoServer)
{
  Fleet fleet(12, { "short", "long" });
  WeightLoadPlanner planner;
  planner.setDemand({ { "short", 1.0 }, { "long", 3.0 } });
  planner.setTarget("short", 2);
  planner.setTarget("long", 2);
  loadAll(planner, fleet);
  planner.setDemand({ { "short", 1.15 }, { "long", 2.85 } });
  EXPECT_EQ(loadAll(planner, fleet), 0);
}

// Guards against a new leader that assigns a server to a model only because it
// has old weights of that model with a high version number.
TEST(WeightLoadPlannerTest, NewLeaderKeepsWhatServersAreUsedFor)
{
  Fleet fleet(4, { "fast", "slow" });
  WeightLoadPlanner first;
  first.setTarget("fast", 9);
  first.setTarget("slow", 3);
  loadAll(first, fleet);
  // This server has served the "fast" model before and now serves "slow".
  auto& moved = *std::ranges::find_if(fleet.servers, [](const auto& server) {
    return server.entry.versions.at("slow") == 3;
  });
  moved.entry.versions["fast"] = 5;
  WeightLoadPlanner second;
  second.setTarget("fast", 9);
  second.setTarget("slow", 3);
  EXPECT_EQ(loadAll(second, fleet), 0);
  second.setTarget("slow", 4);
  EXPECT_EQ(loadAll(second, fleet), 2);
  EXPECT_EQ(moved.entry.versions.at("slow"), 4);
}

// Guards against losing the time between the end of a load and its report, in
// which the next server could already load. This matters when new versions
// arrive faster than all servers can load them.
TEST(WeightLoadPlannerTest, NextLoadsBeginWhenTheFormerShouldHaveEnded)
{
  Fleet fleet(10, { "m" });
  WeightLoadPlanner planner;
  planner.setTarget("m", 2);
  const auto first = planner.plan(fleet.serverPointers(), fleet.models, kNow);
  ASSERT_EQ(first.size(), 2U);
  planner.loadStarted(first[0], kNow);
  planner.loadStarted(first[1], kNow);
  // The load time is unknown until the first load was confirmed.
  EXPECT_TRUE(
    planner.plan(fleet.serverPointers(), fleet.models, kNow + Millis(900))
      .empty());
  for (const auto& order : first) {
    fleet.load(order);
    planner.loadConfirmed(order.server.id, kNow + Millis(1'000));
  }
  EXPECT_EQ(planner.expectedLoadTime(), Millis(900));
  const auto later = kNow + Millis(1'000);
  const auto second = planner.plan(fleet.serverPointers(), fleet.models, later);
  ASSERT_EQ(second.size(), 2U);
  planner.loadStarted(second[0], later);
  planner.loadStarted(second[1], later);
  EXPECT_TRUE(
    planner.plan(fleet.serverPointers(), fleet.models, later + Millis(899))
      .empty());
  const auto third =
    planner.plan(fleet.serverPointers(), fleet.models, later + Millis(900));
  EXPECT_EQ(third.size(), 2U);
  EXPECT_NE(third[0].server.id, second[0].server.id);
  EXPECT_NE(third[1].server.id, second[1].server.id);
}

// Guards against a model whose servers all load at the same time: in a fleet of
// 97 servers and six models a fifth of the servers is more than a whole model
// has, and each change of version left its next batch without a server.
TEST(WeightLoadPlannerTest, HalfOfTheServersOfAModelKeepWorking)
{
  for (const int count : { 12, 97, 300 }) {
    const std::vector<std::string> models{ "m0", "m1", "m2", "m3", "m4", "m5" };
    Fleet fleet(count, models);
    WeightLoadPlanner planner;
    planner.setTarget("m2", 2);
    std::set<std::string> ordered;
    for (bool isPlanned = true; isPlanned;) {
      const auto orders =
        planner.plan(fleet.serverPointers(), fleet.models, kNow);
      isPlanned = !orders.empty();
      for (const auto& order : orders) {
        EXPECT_EQ(order.model, "m2");
        planner.loadStarted(order, kNow);
        ordered.insert(order.server.id);
      }
    }
    const int servers = count / 6 + (count % 6 > 2 ? 1 : 0);
    EXPECT_LE(static_cast<int>(ordered.size()), (servers + 2) / 2) << count;
    EXPECT_GE(ordered.size(), 1U);
  }
}

// Guards against servers that are never loaded because others of their model
// were loaded before.
TEST(WeightLoadPlannerTest, SecondHalfLoadsAfterTheFirst)
{
  Fleet fleet(97, { "m0", "m1", "m2", "m3", "m4", "m5" });
  WeightLoadPlanner planner;
  planner.setTarget("m2", 2);
  auto now = kNow;
  std::set<std::string> loaded;
  for (int round = 0; round < 4; ++round) {
    for (const auto& order :
         planner.plan(fleet.serverPointers(), fleet.models, now)) {
      planner.loadStarted(order, now);
      planner.loadConfirmed(order.server.id, now + Millis(900));
      fleet.load(order);
      loaded.insert(order.server.id);
    }
    now += Millis(1'000);
  }
  EXPECT_GE(loaded.size(), 16U);
}

} // namespace lentilrack::core
