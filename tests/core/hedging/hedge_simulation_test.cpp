#include "hedge_simulation.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>
#include <pcg_random.hpp>

namespace lentilrack::core {

namespace {

constexpr PreciseMillis kBurst{ 1'500 };
constexpr int kServers = 15;
constexpr int kDomains = 3;

/// Returns a number in [0, count) that changes with each burst.
int
slowOne(PreciseMillis time, int count)
{
  const auto burst = static_cast<std::uint64_t>(time / kBurst);
  return static_cast<int>(pcg32(burst)(static_cast<std::uint32_t>(count)));
}

HedgeScenario
calm()
{
  return { "calm", 10, 40, {}, 0 };
}

HedgeScenario
slowServer(int processes, const char* name)
{
  return { name,
           processes,
           40,
           [](int server, PreciseMillis time) {
             return server == slowOne(time, kServers) ? 12.0 : 1.0;
           },
           0 };
}

/// Every fifth burst slows a whole failure domain.
HedgeScenario
slowDomain()
{
  return { "slow domain, 75 processes",
           75,
           40,
           [](int server, PreciseMillis time) {
             const bool isBurst = slowOne(time + 100 * kBurst, 5) == 0;
             const bool isIn = server % kDomains == slowOne(time, kDomains);
             return isBurst && isIn ? 8.0 : 1.0;
           },
           0 };
}

HedgeScenario
allSlow()
{
  return { "all slow from 45 s on",
           10,
           40,
           [](int, PreciseMillis time) {
             return time > PreciseMillis(45'000) ? 5.0 : 1.0;
           },
           0 };
}

HedgeScenario
largeRequests()
{
  return { "5% large requests", 10, 40, {}, 0.05 };
}

} // namespace

// Guards against second attempts that do not shorten slow responses, that
// exceed the limit, or that a calm service pays for. Prints the table of
// docs/design/hedging.md.
TEST(HedgeSimulationTest, LimitedHedgingShortensTheTailAndKeepsTheLimit)
{
  const std::vector<std::pair<const char*, std::optional<double>>> rules{
    { "0%", 0.0 },
    { "2%", 0.02 },
    { "5%", 0.05 },
    { "10%", 0.1 },
    { "4 x median", std::nullopt }
  };
  fmt::print("| scenario | limit | p50 ms | p95 ms | p99 ms | extra work % | "
             "attempts | won |\n| --- | --- | --- | --- | --- | --- | --- | "
             "--- |\n");
  std::map<std::string, std::map<std::string, HedgeResult>> results;
  for (const auto& scenario : { calm(),
                                slowServer(1, "slow server, 1 process"),
                                slowServer(10, "slow server, 10 processes"),
                                slowServer(75, "slow server, 75 processes"),
                                slowDomain(),
                                allSlow(),
                                largeRequests() }) {
    for (const auto& [name, limit] : rules) {
      const auto result = HedgeSimulation(scenario, limit).run();
      results[scenario.name][name] = result;
      fmt::print("| {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.1f} | {} | {} |\n",
                 scenario.name,
                 name,
                 result.p50.count(),
                 result.p95.count(),
                 result.p99.count(),
                 result.extraPercent,
                 result.hedges,
                 result.won);
      if (limit) {
        EXPECT_LE(result.extraPercent, 110 * *limit + 0.05) << scenario.name;
      }
    }
  }
  const auto p99 = [&](const char* scenario, const char* rule) {
    return results[scenario][rule].p99;
  };
  for (const auto* limit : { "2%", "5%", "10%" }) {
    EXPECT_LE(p99("calm", limit), 1.02 * p99("calm", "0%"));
    EXPECT_LE(p99("all slow from 45 s on", limit),
              1.05 * p99("all slow from 45 s on", "0%"));
  }
  EXPECT_LE(p99("slow server, 10 processes", "5%"),
            0.5 * p99("slow server, 10 processes", "0%"));
}

} // namespace lentilrack::core
