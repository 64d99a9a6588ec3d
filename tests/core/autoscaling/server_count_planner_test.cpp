#include "fleet_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <ranges>

namespace lentilrack::core {

namespace {

/// Three trainers of different sizes that keep about 25 of 45 servers busy.
double
steadyLoad(int trainer, int /*second*/)
{
  constexpr std::array kTokens{ 2'900.0, 1'500.0, 600.0 };
  return kTokens.at(static_cast<std::size_t>(trainer));
}

/// The load rises by 70% after 60 s, and falls to 40% after 150 s.
double
changingLoad(int trainer, int second)
{
  const double factor = second < 60 ? 1.0 : second < 150 ? 1.7 : 0.4;
  return factor * steadyLoad(trainer, second);
}

/// Options for work that varies much: all trainers submit at once, and servers
/// do less useful work than assumed.
FleetSimulation::Options
variableWork()
{
  FleetSimulation::Options options;
  options.tokensPerSecond = 36;
  options.spread = 0.6;
  options.phaseTicks = 1;
  return options;
}

FleetSimulation::Options
withWaitingValue(double value)
{
  auto options = variableWork();
  options.demand.waitingValue = value;
  return options;
}

int
reclaimableOf(const CountsByDomain& counts)
{
  int sum = 0;
  for (const auto& [domain, count] : counts) {
    sum += count.reclaimable;
  }
  return sum;
}

int
largestReclaimable(const CountsByDomain& counts)
{
  return std::ranges::max(counts | std::views::values |
                          std::views::transform(&ServerCounts::reclaimable));
}

} // namespace

// Guards against numbers that follow every single batch.
TEST(ServerCountPlannerTest, BurstOfOneBatchDoesNotChangeTheTotal)
{
  const auto burst = [](int trainer, int second) {
    const bool isBurst = trainer == 0 && second >= 80 && second < 84;
    return (isBurst ? 3 : 1) * steadyLoad(trainer, second);
  };
  FleetSimulation simulation({}, burst);
  simulation.runUntil(79);
  const int before = simulation.planner().total();
  for (int second = 80; second < 120; ++second) {
    simulation.runUntil(second);
    EXPECT_NEAR(simulation.planner().total(), before, 6) << second;
  }
  EXPECT_LE(simulation.reversals(), 1);
}

// Guards against capacity that comes too late for a lasting rise of the load.
TEST(ServerCountPlannerTest, LastingRiseIsFollowed)
{
  FleetSimulation simulation({}, changingLoad);
  simulation.runUntil(60);
  const int before = totalServers(simulation.serving());
  simulation.runUntil(90);
  EXPECT_GT(totalServers(simulation.serving()), before + 6);
  simulation.runUntil(150);
  EXPECT_GT(simulation.payoff(), 0.95);
}

// Guards against servers that are paid for after the load has gone, and against
// a reduction that happens at once.
TEST(ServerCountPlannerTest, DeclineIsFollowedSlowly)
{
  FleetSimulation simulation({}, changingLoad);
  simulation.runUntil(150);
  const int before = totalServers(simulation.serving());
  simulation.runUntil(165);
  EXPECT_GE(totalServers(simulation.serving()), before * 3 / 4);
  simulation.runUntil(300);
  EXPECT_LE(totalServers(simulation.serving()), before / 2);
  EXPECT_GT(simulation.payoff(), 0.95);
}

// Guards against a first plan that releases the servers of a running day: the
// provider's numbers are unknown, and so is the load.
TEST(ServerCountPlannerTest, NothingIsReleasedBeforeTheLoadIsKnown)
{
  FleetSimulation simulation({}, steadyLoad);
  simulation.runUntil(8);
  EXPECT_TRUE(simulation.orders().empty());
  EXPECT_EQ(totalServers(simulation.serving()), 45);
}

// Guards against a distribution that ignores prices, or that puts nearly all
// servers into the cheapest failure domain.
TEST(ServerCountPlannerTest, CheaperDomainsGetMoreButNotAll)
{
  FleetSimulation::Options options;
  options.spec.pricePerSecond = { { "a", 1.0 }, { "b", 1.4 }, { "c", 0.8 } };
  FleetSimulation simulation(options, steadyLoad);
  simulation.runUntil(120);
  const auto& counts = simulation.serving();
  EXPECT_GT(counts.at("c").total(), counts.at("b").total());
  EXPECT_GE(counts.at("b").total(), 5);
}

// Guards against reclaimable servers in such numbers that their loss in one
// failure domain starves work that is due, and against a loss that is not made
// up for.
TEST(ServerCountPlannerTest, LossOfReclaimableServersIsSurvived)
{
  FleetSimulation simulation({}, steadyLoad);
  simulation.runUntil(100);
  const auto before = simulation.serving();
  EXPECT_GT(reclaimableOf(before), 0);
  const auto& estimate = simulation.planner().estimate();
  ASSERT_TRUE(estimate.has_value());
  EXPECT_GE(totalServers(before) - largestReclaimable(before), estimate->due);
  simulation.unavailable.insert({ "a", true });
  simulation.reclaim("a");
  simulation.runUntil(112);
  EXPECT_GE(totalServers(simulation.serving()), totalServers(before) - 1);
  EXPECT_EQ(simulation.serving().at("a").reclaimable, 0);
  simulation.runUntil(150);
  EXPECT_GT(simulation.payoff(), 0.97);
}

// Guards against orders that are repeated at once for servers that the provider
// does not have, and against waiting for them while others are available.
TEST(ServerCountPlannerTest, UnavailablePoolsAreReplacedByOthers)
{
  FleetSimulation::Options options;
  options.spec.maxServers = 32;
  FleetSimulation simulation(options, changingLoad);
  simulation.unavailable = { { "a", false }, { "a", true } };
  simulation.runUntil(100);
  const auto ordersToA =
    std::ranges::count_if(simulation.orders(), [](const PoolOrder& order) {
      return order.pool.failureDomain == "a";
    });
  EXPECT_LE(ordersToA, 16);
  EXPECT_GE(totalServers(simulation.serving()),
            simulation.planner().total() - 2);
  EXPECT_GT(totalServers(simulation.serving()), 45);
}

// Guards against numbers that follow the speed of a minority of the servers.
// The median hardly changes then, but varies from second to second.
TEST(ServerCountPlannerTest, SlowQuarterDoesNotMakeTheTotalOscillate)
{
  FleetSimulation simulation({}, steadyLoad);
  simulation.runUntil(80);
  const auto orders = simulation.orders().size();
  const int total = simulation.planner().total();
  for (int second = 81; second < 140; ++second) {
    simulation.millisPerToken = second % 2 == 0 ? 88 : 78;
    simulation.runUntil(second);
  }
  EXPECT_NEAR(simulation.planner().total(), total, 5);
  EXPECT_LE(simulation.orders().size(), orders + 8);
}

// Guards against servers that are released, or taken for lost, because the list
// of servers cannot be read.
TEST(ServerCountPlannerTest, UnreadableListChangesNothing)
{
  FleetSimulation simulation({}, steadyLoad);
  simulation.runUntil(90);
  const auto planned = simulation.planned();
  const auto orders = simulation.orders().size();
  simulation.isListKnown = false;
  simulation.runUntil(120);
  EXPECT_EQ(simulation.planned(), planned);
  EXPECT_EQ(simulation.orders().size(), orders);
  simulation.isListKnown = true;
  simulation.runUntil(140);
  EXPECT_LE(simulation.reversals(), 1);
}

// Guards against servers that are taken for lost because the order for them was
// not answered, and against a burst of orders after the provider's outage.
TEST(ServerCountPlannerTest, ProviderOutageChangesNothing)
{
  FleetSimulation simulation({}, changingLoad);
  simulation.runUntil(64);
  simulation.isProviderReachable = false;
  const int before = totalServers(simulation.serving());
  simulation.runUntil(100);
  EXPECT_NEAR(totalServers(simulation.serving()), before, 4);
  EXPECT_TRUE(simulation.planner().lostPools().empty());
  const auto orders = simulation.orders().size();
  simulation.isProviderReachable = true;
  simulation.runUntil(120);
  EXPECT_GT(totalServers(simulation.serving()), before + 10);
  EXPECT_LE(simulation.orders().size(), orders + 16);
}

// Guards against a jump of the holder's clock that makes all work look late, or
// so old that there is no demand any more.
TEST(ServerCountPlannerTest, ClockJumpsHaveNoEffect)
{
  for (const auto error : { Millis(90'000), Millis(-90'000) }) {
    FleetSimulation simulation({}, steadyLoad);
    simulation.runUntil(80);
    const int total = simulation.planner().total();
    simulation.clockError = error;
    simulation.runUntil(160);
    EXPECT_NEAR(simulation.planner().total(), total, 5);
    EXPECT_LE(simulation.planner().correction(), 1.1);
  }
}

// Guards against a fleet that stays too small because servers do less useful
// work than assumed.
TEST(ServerCountPlannerTest, LateBatchesRaiseTheEstimate)
{
  FleetSimulation::Options options;
  options.tokensPerSecond = 24;
  FleetSimulation simulation(options, steadyLoad);
  simulation.runUntil(150);
  EXPECT_GT(totalServers(simulation.serving()), 52);
}

// Guards against an override that the planner does not follow, and against a
// planner that does not resume after it.
TEST(ServerCountPlannerTest, OverrideTakesPrecedence)
{
  const AutoscalingSpec spec{ .minServers = 1,
                              .maxServers = 20,
                              .pricePerSecond = { { "a", 1 }, { "b", 1 } } };
  ServerCountPlanner planner;
  ServiceObservation observation;
  observation.serving = { { "a", { 5, 0 } }, { "b", { 5, 0 } } };
  const auto start = TimePoint() + std::chrono::hours(1);
  planner.plan(observation, spec, start, Millis(0));
  const auto adopted =
    planner.plan(observation, spec, start + Millis(4'000), Millis(4'000));
  EXPECT_EQ(adopted, observation.serving);
  observation.overrides["a"] = { 2, 3 };
  const auto overridden =
    planner.plan(observation, spec, start + Millis(5'000), Millis(5'000));
  EXPECT_EQ(overridden->at("a"), (ServerCounts{ 2, 3 }));
  observation.serving["a"] = { 2, 3 };
  observation.overrides.clear();
  const auto after =
    planner.plan(observation, spec, start + Millis(6'000), Millis(6'000));
  EXPECT_EQ(totalServers(*after), 10);
}

// Compares settings of the value of waiting with a fixed number of servers.
// Guards against a default that loses value against doing nothing, or that
// costs more. The table is part of docs/design/autoscaling.md.
TEST(ServerCountPlannerTest, ValueAgainstServerSeconds)
{
  struct Row
  {
    const char* name;
    FleetSimulation::Options options;
  };
  auto fixed = variableWork();
  fixed.isPlanned = false;
  const std::vector<Row> rows{ { "as at the start", fixed },
                               { "1", withWaitingValue(1) },
                               { "16", withWaitingValue(16) },
                               { "64", withWaitingValue(64) } };
  std::map<std::string, std::pair<double, double>> results;
  for (const auto& [loadName, shape] :
       { std::pair<const char*, LoadShape>("steady", steadyLoad),
         std::pair<const char*, LoadShape>("changing", changingLoad) }) {
    for (const auto& row : rows) {
      double payoff = 0;
      double cost = 0;
      std::size_t orders = 0;
      constexpr int kSeeds = 5;
      for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        auto options = row.options;
        options.seed = seed;
        FleetSimulation simulation(options, shape);
        simulation.runUntil(240);
        payoff += simulation.payoff() / kSeeds;
        cost += simulation.serverSeconds() / kSeeds;
        orders += simulation.orders().size();
      }
      results[std::string(loadName) + row.name] = { payoff, cost };
      std::printf("| %s | %s | %.3f | %.0f | %.0f |\n",
                  loadName,
                  row.name,
                  payoff,
                  cost,
                  static_cast<double>(orders) / kSeeds);
    }
  }
  const auto& [payoff, cost] = results.at("changing16");
  EXPECT_GE(payoff, results.at("changingas at the start").first);
  EXPECT_LT(cost, results.at("changingas at the start").second);
  // A low value of waiting does not save: late batches raise the estimate.
  EXPECT_GE(payoff, results.at("changing1").first);
  EXPECT_GE(results.at("steady64").second, results.at("steady16").second);
  EXPECT_GE(results.at("steady16").first,
            results.at("steadyas at the start").first - 0.005);
}

} // namespace lentilrack::core
