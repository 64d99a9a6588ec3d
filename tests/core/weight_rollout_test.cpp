#include "core/weight_rollout.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ std::chrono::hours(1) };

RolloutServer
server(int number, std::int64_t version, std::int64_t running = 0)
{
  return {
    "s" + std::to_string(number), { "m" }, { { "m", version } }, running, 8
  };
}

std::vector<RolloutServer>
servers(int count, std::int64_t version, std::int64_t running = 0)
{
  std::vector<RolloutServer> result;
  for (int i = 0; i < count; ++i) {
    result.push_back(server(i, version, running));
  }
  return result;
}

} // namespace

// Guards against loading older weights into engines because an announcement
// arrives late.
TEST(WeightRollout, TargetNeverGoesBack)
{
  WeightRollout rollout;
  EXPECT_TRUE(rollout.announce("m", 5));
  EXPECT_FALSE(rollout.announce("m", 4));
  EXPECT_FALSE(rollout.announce("m", 5));
  EXPECT_EQ(rollout.target("m"), 5);
  rollout.setServers(servers(1, 5), kStart);
  EXPECT_TRUE(rollout.next(kStart).empty());
}

// Guards against loading older weights into an engine that already has a newer
// version than the last announced one.
TEST(WeightRollout, ServerAheadOfTheTargetIsNotChanged)
{
  WeightRollout rollout;
  rollout.announce("m", 5);
  rollout.setServers(servers(1, 6), kStart);
  EXPECT_TRUE(rollout.next(kStart).empty());
}

// Guards against an update of the weights during which all busy servers load at
// once, so that none of them takes work.
TEST(WeightRollout, BusyServersLoadInWaves)
{
  WeightRollout rollout;
  rollout.announce("m", 2);
  rollout.setServers(servers(16, 1, 8), kStart);
  std::set<std::string> updatedServers;
  int waves = 0;
  for (; rollout.countBehind() > 0; ++waves) {
    const auto swaps = rollout.next(kStart);
    ASSERT_EQ(swaps.size(), 2U);
    EXPECT_TRUE(rollout.next(kStart).empty());
    for (const auto& swap : swaps) {
      EXPECT_TRUE(updatedServers.insert(swap.server).second);
      rollout.finished(swap, true, kStart, 0);
    }
  }
  EXPECT_EQ(waves, 8);
}

TEST(WeightRollout, IdleServersLoadFirstAndAtOnce)
{
  WeightRollout rollout;
  rollout.announce("m", 2);
  auto all = servers(4, 1, 8);
  all[2].running = 0;
  all[3].running = 0;
  rollout.setServers(all, kStart);
  const auto swaps = rollout.next(kStart);
  ASSERT_EQ(swaps.size(), 2U);
  EXPECT_EQ(swaps[0].server, "s2");
  EXPECT_EQ(swaps[1].server, "s3");
}

TEST(WeightRollout, BaselineLoadsOnAllServersAtOnce)
{
  WeightRollout rollout(baselineWeightRolloutPolicy());
  rollout.announce("m", 2);
  rollout.setServers(servers(16, 1, 8), kStart);
  EXPECT_EQ(rollout.next(kStart).size(), 16U);
}

// Guards against reporting the new version after a failed load, and against a
// failing server that delays the others.
TEST(WeightRollout, FailedLoadKeepsTheOldVersionAndBacksOff)
{
  WeightRollout rollout;
  rollout.announce("m", 2);
  rollout.setServers(servers(2, 1, 8), kStart);
  const auto first = rollout.next(kStart);
  ASSERT_EQ(first.size(), 1U);
  rollout.finished(first[0], false, kStart, 0);
  EXPECT_EQ(rollout.version(first[0].server, "m"), 1);
  const auto second = rollout.next(kStart);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].server, first[0].server);
  rollout.finished(second[0], true, kStart, 0);
  EXPECT_TRUE(rollout.next(kStart).empty());
  const auto retry = rollout.nextRetry();
  ASSERT_TRUE(retry.has_value());
  EXPECT_GT(*retry, kStart);
  const auto third = rollout.next(*retry);
  ASSERT_EQ(third.size(), 1U);
  EXPECT_EQ(third[0].server, first[0].server);
}

TEST(WeightRollout, BackoffGrowsAndIsBounded)
{
  Millis last{ 0 };
  for (std::int64_t failures = 1; failures < 100; ++failures) {
    const auto wait = loadBackoff(failures, 0.99);
    EXPECT_GE(wait, last);
    EXPECT_LE(wait, std::chrono::seconds(30));
    last = wait;
  }
}

// Guards against delaying the load of a newer version by the backoff after
// failed loads of the previous one.
TEST(WeightRollout, NewAnnouncementEndsTheBackoff)
{
  WeightRollout rollout;
  rollout.announce("m", 2);
  rollout.setServers(servers(1, 1), kStart);
  rollout.finished(rollout.next(kStart).at(0), false, kStart, 0);
  EXPECT_TRUE(rollout.next(kStart).empty());
  rollout.announce("m", 3);
  const auto swaps = rollout.next(kStart);
  ASSERT_EQ(swaps.size(), 1U);
  EXPECT_EQ(swaps[0].version, 3);
}

// Guards against loading again because a load report is outdated, and against
// treating an engine that restarted with old weights as up to date.
TEST(WeightRollout, OlderReportIsAcceptedOnlyLongAfterTheLoad)
{
  WeightRollout rollout;
  rollout.announce("m", 2);
  rollout.setServers(servers(1, 1), kStart);
  rollout.finished(rollout.next(kStart).at(0), true, kStart, 0);
  rollout.setServers(servers(1, 1), kStart + std::chrono::seconds(5));
  EXPECT_EQ(rollout.version("s0", "m"), 2);
  EXPECT_TRUE(rollout.next(kStart + std::chrono::seconds(5)).empty());
  rollout.setServers(servers(1, 1), kStart + std::chrono::seconds(60));
  EXPECT_EQ(rollout.version("s0", "m"), 1);
  EXPECT_EQ(rollout.next(kStart + std::chrono::seconds(60)).size(), 1U);
}

// Guards against applying the result of a load that began before the server
// went to another owner and came back.
TEST(WeightRollout, ResultForAServerLostDuringItsLoadIsIgnored)
{
  WeightRollout rollout;
  rollout.announce("m", 2);
  rollout.setServers(servers(1, 1), kStart);
  const auto swap = rollout.next(kStart).at(0);
  rollout.setServers({}, kStart);
  EXPECT_EQ(rollout.countBehind(), 0);
  rollout.finished(swap, true, kStart, 0);
  EXPECT_EQ(rollout.countLoading(), 0);
  EXPECT_EQ(rollout.version("s0", "m"), std::nullopt);
}

// Checks under random events that the wave size is respected, that a server has
// at most one load, and that all servers reach the target in the end.
TEST(WeightRollout, EveryServerReachesTheTargetDespiteFailures)
{
  const bool holds = rc::check([](const std::vector<std::uint8_t>& events) {
    WeightRollout rollout;
    auto now = kStart;
    std::int64_t target = 1;
    std::vector<WeightSwap> loading;
    rollout.setServers(servers(10, 1, 8), now);
    const auto startLoads = [&] {
      for (const auto& swap : rollout.next(now)) {
        RC_ASSERT(swap.version == target);
        for (const auto& other : loading) {
          RC_ASSERT(other.server != swap.server);
        }
        loading.push_back(swap);
      }
      RC_ASSERT(loading.size() <= 2U);
    };
    for (const auto event : events) {
      if (event % 4 == 0) {
        rollout.announce("m", ++target);
      } else if (event % 4 == 1) {
        now += Millis(event);
      } else if (!loading.empty()) {
        const auto swap = loading.back();
        loading.pop_back();
        rollout.finished(swap, event % 4 == 2, now, 0.5);
      }
      startLoads();
    }
    for (int round = 0; round < 200 && rollout.countBehind() > 0; ++round) {
      now += std::chrono::seconds(31);
      startLoads();
      for (const auto& swap : std::exchange(loading, {})) {
        rollout.finished(swap, true, now, 0.5);
      }
    }
    RC_ASSERT(rollout.countBehind() == 0);
  });
  EXPECT_TRUE(holds);
}

} // namespace lentilrack::core
