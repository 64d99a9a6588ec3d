#include "scheduler_simulation.h"

#include <gtest/gtest.h>

// Checks in virtual time that the scheduling policy can reach the performance
// targets in section 6 of the design page. Transport and simulated backend
// servers are not involved.
namespace lentilrack::core {

namespace {

constexpr Millis kWarmup{ 10'000 };
constexpr Millis kTime{ 60'000 };

SimulatedLoad
shortOrders(double perSecond)
{
  return { "caller", WorkType::Order, perSecond, 50, 2, 1, Millis(30'000) };
}

SimulatedLoad
longWork(double perSecond, WorkType type)
{
  return { "trainer", type, perSecond, 1500, 2, 1, Millis(120'000) };
}

/// Simulates 4 engines with 8 slots of 200 tokens per second each, which
/// together generate 6,400 tokens per second. 90% of the requests have 50
/// tokens and 10% have 1,500, on average 195. At 80% load (5,120 tokens per
/// second), 26.3 requests arrive per second.
std::map<std::string, SimulatedResult>
mixedLengths(SchedulerHooks hooks, bool withLong, WorkType type)
{
  Simulation simulation(4, 8, 200, std::move(hooks));
  simulation.add(shortOrders(26.3 * 0.9));
  if (withLong) {
    simulation.add(longWork(26.3 * 0.1, type));
  }
  return simulation.run(kWarmup, kTime);
}

} // namespace

// Guards against short requests that wait behind long ones.
TEST(SchedulerSimulation, MixedLengths)
{
  auto alone = mixedLengths(defaultHooks(), false, WorkType::Order);
  for (const auto type : { WorkType::Order, WorkType::Rollout }) {
    auto mixed = mixedLengths(defaultHooks(), true, type);
    auto baseline = mixedLengths(baselineHooks(), true, type);
    const double p99 = mixed["caller"].quantile(0.99);
    RecordProperty("alone_p99_ms",
                   static_cast<int>(1000 * alone["caller"].quantile(0.99)));
    RecordProperty("mixed_p99_ms", static_cast<int>(1000 * p99));
    RecordProperty("baseline_p99_ms",
                   static_cast<int>(1000 * baseline["caller"].quantile(0.99)));
    EXPECT_LE(p99, 1.5 * alone["caller"].quantile(0.99));
    EXPECT_GE(mixed["trainer"].doneTokens,
              0.9 * baseline["trainer"].doneTokens);
  }
}

// Guards against high tail latency when some servers are slowed down by other
// load: 2 of 10 servers run at a fifth of their speed for 10 s at a time.
TEST(SchedulerSimulation, SlowedServers)
{
  const auto orders = [](bool slowed, SchedulerHooks hooks) {
    Simulation simulation(10, 8, 200, std::move(hooks));
    simulation.add(shortOrders(160));
    if (slowed) {
      simulation.slowDown(2, 0.2, Millis(20'000));
    }
    return simulation.run(kWarmup, Millis(40'000))["caller"];
  };
  auto normal = orders(false, defaultHooks());
  auto slowed = orders(true, defaultHooks());
  auto baseline = orders(true, baselineHooks());
  RecordProperty("normal_p99_ms",
                 static_cast<int>(1000 * normal.quantile(0.99)));
  RecordProperty("slowed_p99_ms",
                 static_cast<int>(1000 * slowed.quantile(0.99)));
  EXPECT_LE(slowed.quantile(0.99), 2 * normal.quantile(0.99));
  EXPECT_LT(slowed.quantile(0.99), baseline.quantile(0.99));
}

// Guards against a loss of goodput when work is queued past its deadline. Two
// engines with 8 slots of 200 tokens per second generate 3,200 tokens per
// second, which is enough for 32 requests of 100 tokens. Three times as many
// (96) are offered, and the work completed in time must reach 90% of the
// capacity.
TEST(SchedulerSimulation, OverloadKeepsGoodput)
{
  Simulation simulation(2, 8, 200, defaultHooks());
  simulation.add({ "caller", WorkType::Order, 96, 100, 5, 1, Millis(5000) });
  auto result = simulation.run(kWarmup, kTime)["caller"];
  EXPECT_GE(static_cast<double>(result.done), 0.9 * 32 * 60);
  EXPECT_LE(static_cast<double>(result.late),
            0.05 * static_cast<double>(result.done));
}

TEST(SchedulerSimulation, OverloadKeepsWeights)
{
  Simulation simulation(2, 8, 200, defaultHooks());
  simulation.add({ "one", WorkType::Order, 48, 100, 5, 1, Millis(5000) });
  simulation.add({ "three", WorkType::Order, 16, 300, 5, 3, Millis(5000) });
  auto results = simulation.run(kWarmup, kTime * 2);
  const double total = results["one"].doneTokens + results["three"].doneTokens;
  EXPECT_GE(total, 0.9 * 3200 * 120);
  EXPECT_NEAR(results["three"].doneTokens / total, 0.75, 0.05 * 0.75);
}

TEST(SchedulerSimulation, OverloadKeepsPriorities)
{
  Simulation simulation(2, 8, 200, defaultHooks());
  simulation.add({ "urgent", WorkType::Order, 16, 100, 1, 1, Millis(5000) });
  simulation.add({ "later", WorkType::Order, 80, 100, 6, 1, Millis(5000) });
  auto results = simulation.run(kWarmup, kTime);
  EXPECT_GE(static_cast<double>(results["urgent"].done),
            0.95 * static_cast<double>(results["urgent"].offered));
  const double total =
    results["urgent"].doneTokens + results["later"].doneTokens;
  EXPECT_GE(total, 0.9 * 3200 * 60);
}

} // namespace lentilrack::core
