#include "core/scheduling/placement.h"

#include "step_simulation.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>

namespace lentilrack::core {

namespace {

constexpr double kPromptTokens = 1'000;

ServerRequirements
requirements(const WaitingItem& item)
{
  ServerRequirements result;
  result.service = "models";
  result.model = "m";
  result.freeSlotOnly = true;
  result.leavesSlotsFree = item.isSpare;
  return result;
}

/// Returns the decision before placementCost(): the first waiting item runs on
/// the last server of its group, or else on the one with the lowest load.
StepSimulation::Policy
lastServerOfGroup(StepSimulation& simulation,
                  std::map<std::string, std::string>& serverByGroup)
{
  return [&simulation, &serverByGroup](
           StepSimulation::Batch& batch,
           TimePoint now) -> std::optional<StepSimulation::Start> {
    const auto waiting = batch.progress->waitingItems(now);
    if (waiting.empty()) {
      return std::nullopt;
    }
    const auto item = waiting.front().item;
    auto& last = serverByGroup[batch.spec->items[item].group];
    auto wanted = requirements(waiting.front());
    wanted.preferredServer = last;
    auto* server =
      simulation.registry().choose(wanted, now, simulation.random());
    if (server == nullptr) {
      return std::nullopt;
    }
    last = server->entry.id;
    return StepSimulation::Start{ item, last };
  };
}

StepSimulation::Policy
byCost(StepSimulation& simulation, PromptLocations& prompts)
{
  return [&simulation,
          &prompts](StepSimulation::Batch& batch,
                    TimePoint now) -> std::optional<StepSimulation::Start> {
    RegisteredServer* firstServer = nullptr;
    std::optional<PlacedItem> firstItem;
    std::optional<StepSimulation::Start> start;
    for (const auto& waiting : batch.progress->waitingItems(now)) {
      if (start && waiting.isSpare) {
        break;
      }
      const auto item =
        batch.progress->placedItem(waiting.item, 0, kPromptTokens);
      auto wanted = requirements(waiting);
      wanted.cost = [&](const RegisteredServer& server, double median) {
        return placementCost(item, server, prompts, "", median);
      };
      auto* server =
        simulation.registry().choose(wanted, now, simulation.random());
      if (server == nullptr) {
        break;
      }
      const bool isGood = isGoodPlace(item, *server, prompts);
      if (!start || isGood) {
        start = StepSimulation::Start{ waiting.item, server->entry.id };
        firstServer = server;
        firstItem = item;
      }
      if (isGood) {
        break;
      }
    }
    if (start) {
      prompts.recordStart(firstItem->group, firstServer->entry);
    }
    return start;
  };
}

struct Comparison
{
  double stepBefore = 0;
  double stepAfter = 0;
  double repeatedBefore = 0;
  double repeatedAfter = 0;
  double busiestBefore = 0;
  double busiestAfter = 0;
};

Comparison
compare(StepSimulation::Setup setup, Millis interval)
{
  Comparison result;
  constexpr int kSeeds = 5;
  for (setup.seed = 1; setup.seed <= kSeeds; ++setup.seed) {
    StepSimulation before(setup);
    std::map<std::string, std::string> serverByGroup;
    before.run(12, interval, lastServerOfGroup(before, serverByGroup));
    StepSimulation after(setup);
    PromptLocations prompts("m");
    after.run(12, interval, byCost(after, prompts));
    result.stepBefore += before.meanDuration() / kSeeds;
    result.stepAfter += after.meanDuration() / kSeeds;
    result.repeatedBefore += double(before.repeatedPrompts()) / kSeeds;
    result.repeatedAfter += double(after.repeatedPrompts()) / kSeeds;
    result.busiestBefore += before.busiestToMean() / kSeeds;
    result.busiestAfter += after.busiestToMean() / kSeeds;
  }
  fmt::print("{} groups of {} on {} x {} slots every {} ms: step {:.2f} to "
             "{:.2f} s, repeated prompts {:.0f} to {:.0f}, busiest {:.2f} to "
             "{:.2f}\n",
             setup.groups,
             setup.itemsOfGroup,
             setup.servers,
             setup.slots,
             interval.count(),
             result.stepBefore,
             result.stepAfter,
             result.repeatedBefore,
             result.repeatedAfter,
             result.busiestBefore,
             result.busiestAfter);
  return result;
}

} // namespace

// Guards against prompts that many servers read, while steps take longer or
// some servers do much more work than others.
TEST(PlacementTest, BusyFleetReadsFewerPrompts)
{
  for (const auto size : { 8, 16 }) {
    const auto result = compare({ .groups = 200 / size,
                                  .itemsOfGroup = size,
                                  .promptMillis = 30,
                                  .paces = { 0.6, 1.0, 1.6 } },
                                Millis(1'500));
    // A group of 16 needs three servers of 6 slots in any case.
    EXPECT_LT(result.repeatedAfter,
              (size == 8 ? 0.5 : 0.6) * result.repeatedBefore);
    EXPECT_LT(result.stepAfter, 1.02 * result.stepBefore);
    EXPECT_LT(result.busiestAfter, 1.3);
  }
}

// Guards against the same on a fleet with spare capacity and on small fleets
// with many slots.
TEST(PlacementTest, OtherFleetsAreNotWorse)
{
  for (const auto& setup :
       { StepSimulation::Setup{ .groups = 6, .itemsOfGroup = 16 },
         StepSimulation::Setup{ .servers = 9, .slots = 12 },
         StepSimulation::Setup{ .servers = 12, .slots = 16 } }) {
    for (const auto interval : { Millis(1'500), Millis(4'000) }) {
      auto withPrompts = setup;
      withPrompts.promptMillis = 30;
      const auto result = compare(withPrompts, interval);
      EXPECT_LT(result.repeatedAfter, 1.05 * result.repeatedBefore);
      EXPECT_LT(result.stepAfter, 1.05 * result.stepBefore);
      EXPECT_LT(result.busiestAfter, 1.3);
    }
  }
}

// Guards against a prompt that is taken for cached although the server has
// restarted or has loaded new weights since.
TEST(PlacementTest, RestartAndNewWeightsLosePrompts)
{
  PromptLocations prompts("m");
  ServerEntry server;
  server.id = "a";
  server.slots = 6;
  server.versions["m"] = 3;
  prompts.recordStart("g", server);
  EXPECT_TRUE(prompts.holdsPrompt("g", server));
  EXPECT_FALSE(prompts.holdsPrompt("h", server));
  EXPECT_EQ(prompts.slotsWithPrompt("g"), 6);
  auto restarted = server;
  restarted.startedAt = 1;
  EXPECT_FALSE(prompts.holdsPrompt("g", restarted));
  server.versions["m"] = 4;
  EXPECT_FALSE(prompts.holdsPrompt("g", server));
  prompts.recordFailure("g", server);
  EXPECT_EQ(prompts.slotsWithPrompt("g"), 0);
}

// Guards against a straggler that waits for or runs on a slow server with the
// prompt while a fast one is free.
TEST(PlacementTest, LateItemGoesToTheFastServer)
{
  RegisteredServer slow;
  slow.entry.id = "slow";
  slow.entry.slots = 6;
  slow.millisPerUnit = 64;
  RegisteredServer fast = slow;
  fast.entry.id = "fast";
  fast.millisPerUnit = 24;
  fast.running = 3;
  PromptLocations prompts("m");
  prompts.recordStart("g", slow.entry);
  PlacedItem item{ "g", 12, 500, 4, false };
  const auto cost = [&](const RegisteredServer& server) {
    return placementCost(item, server, prompts, "", 40);
  };
  EXPECT_LT(cost(slow), cost(fast));
  EXPECT_FALSE(isGoodPlace(item, fast, prompts));
  item.isLate = true;
  EXPECT_GT(cost(slow), cost(fast));
  EXPECT_TRUE(isGoodPlace(item, fast, prompts));
}

} // namespace lentilrack::core
