#include "core/weight_wave.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

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

  std::vector<const RegisteredServer*> view() const
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

// Pattern: new weights for all servers at once. Guards against a wave in which
// every server loads and none works.
TEST(WeightWaveTest, FewServersLoadAtOnce)
{
  Fleet fleet(9, { "m" });
  WeightWave wave;
  wave.setTarget("m", 2);
  const auto first = wave.plan(fleet.view(), fleet.models, kNow);
  EXPECT_EQ(first.size(), 2U);
  for (const auto& order : first) {
    wave.begun(order, kNow);
  }
  EXPECT_TRUE(wave.plan(fleet.view(), fleet.models, kNow).empty());
  wave.finished(first[0].server.id);
  fleet.load(first[0]);
  EXPECT_EQ(wave.plan(fleet.view(), fleet.models, kNow).size(), 1U);
}

// Pattern: several models on the same servers. Guards against a server that
// loads the versions of every model, each of which is priced.
TEST(WeightWaveTest, EachServerLoadsOneModel)
{
  Fleet fleet(12, { "m", "n" });
  WeightWave wave;
  std::map<std::string, std::set<std::string>> loaded;
  for (std::int64_t version = 2; version < 6; ++version) {
    wave.setTarget("m", version);
    wave.setTarget("n", version);
    for (int round = 0; round < 12; ++round) {
      for (const auto& order : wave.plan(fleet.view(), fleet.models, kNow)) {
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

// Guards against another assignment after the leader has changed, which would
// make every server load a model that it did not serve.
TEST(WeightWaveTest, NewLeaderKeepsTheModelsOfTheServers)
{
  Fleet fleet(6, { "m", "n" });
  WeightWave before;
  before.setTarget("m", 2);
  before.setTarget("n", 2);
  for (int round = 0; round < 6; ++round) {
    for (const auto& order : before.plan(fleet.view(), fleet.models, kNow)) {
      fleet.load(order);
    }
  }
  WeightWave after;
  after.setTarget("m", 2);
  after.setTarget("n", 2);
  EXPECT_TRUE(after.plan(fleet.view(), fleet.models, kNow).empty());
}

// Guards against a target that goes back, and against a load without end that
// holds back the others for ever.
TEST(WeightWaveTest, TargetsGrowAndLostLoadsAreForgotten)
{
  Fleet fleet(2, { "m" });
  WeightWave wave;
  wave.setTarget("m", 3);
  wave.setTarget("m", 2);
  const auto orders = wave.plan(fleet.view(), fleet.models, kNow);
  ASSERT_EQ(orders.size(), 2U);
  EXPECT_EQ(orders[0].version, 3);
  wave.begun(orders[0], kNow);
  wave.begun(orders[1], kNow);
  const auto later = kNow + std::chrono::seconds(7);
  EXPECT_EQ(wave.plan(fleet.view(), fleet.models, later).size(), 2U);
}

} // namespace lentilrack::core
