#include "core/scheduling/group_order.h"

#include "step_simulation.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>

namespace lentilrack::core {

namespace {

ServerRequirements
requirements()
{
  ServerRequirements result;
  result.service = "models";
  result.model = "m";
  result.freeSlotOnly = true;
  return result;
}

/// Returns the decision before orderGroups(): long items first, then the others
/// in the order of the batch, all in any free slot. `waiting` holds the items
/// that wait, the next one last, by batch.
StepSimulation::Policy
batchOrder(StepSimulation& simulation,
           std::map<const BatchSpec*, std::vector<std::size_t>>& waiting)
{
  return [&simulation,
          &waiting](StepSimulation::Batch& batch,
                    TimePoint now) -> std::optional<StepSimulation::Start> {
    const auto& items = batch.spec->items;
    const auto [order, isNew] = waiting.try_emplace(batch.spec.get());
    if (isNew) {
      order->second.resize(items.size());
      std::iota(order->second.rbegin(), order->second.rend(), 0);
      std::ranges::stable_sort(order->second, {}, [&](std::size_t i) {
        const double length = items[i].expectedLength;
        const auto groupIndex = i / 8;
        const auto group = static_cast<double>(groupIndex);
        return length > 22 ? std::pair(1.0, length) : std::pair(-group, length);
      });
    }
    auto* server =
      simulation.registry().choose(requirements(), now, simulation.random());
    if (order->second.empty() || server == nullptr) {
      return std::nullopt;
    }
    const auto next = order->second.back();
    order->second.pop_back();
    return StepSimulation::Start{ next, server->entry.id };
  };
}

StepSimulation::Policy
groupOrder(StepSimulation& simulation)
{
  return [&simulation](StepSimulation::Batch& batch,
                       TimePoint now) -> std::optional<StepSimulation::Start> {
    const auto waiting = batch.progress->waitingItems(now);
    const bool isWithoutUse =
      waiting.empty() ||
      (waiting.front().isSpare && now - batch.submittedAt < kSpareGroupDelay);
    if (isWithoutUse) {
      return std::nullopt;
    }
    auto wanted = requirements();
    wanted.leavesSlotsFree = waiting.front().isSpare;
    auto* server =
      simulation.registry().choose(wanted, now, simulation.random());
    if (server == nullptr) {
      return std::nullopt;
    }
    return StepSimulation::Start{ waiting.front().item, server->entry.id };
  };
}

} // namespace

// Guards against spreading the slots over many groups of which none completes,
// and against running groups that the trainer does not wait for in slots that
// others need.
TEST(GroupOrderTest, NearlyCompleteGroupsFirstAndSpareGroupsLast)
{
  const std::vector<GroupProgress> groups = {
    { 4 }, { 0 }, { 1 }, { 3 }, { 4 }
  };
  const auto order = orderGroups(groups, 4);
  EXPECT_EQ(order.groups, (std::vector<std::size_t>{ 2, 3, 0, 4 }));
  EXPECT_EQ(order.neededGroups, 3U);
  EXPECT_EQ(orderGroups(groups, 1).neededGroups, 0U);
  EXPECT_EQ(orderGroups(groups, 0).neededGroups, 4U);
}

// Guards against waiting for the longest group although the trainer can do
// without it, and against leaving out a group that it has submitted before.
TEST(GroupOrderTest, LongestGroupIsNotNeeded)
{
  const std::vector<GroupProgress> groups = {
    { 4, 900 }, { 4, 100 }, { 4, 500 }, { 4, 100 }
  };
  const auto order = orderGroups(groups, 3);
  EXPECT_EQ(order.groups, (std::vector<std::size_t>{ 0, 1, 3, 2 }));
  EXPECT_EQ(order.neededGroups, 3U);
}

// Guards against a step that waits for a group that the trainer does not count.
TEST(GroupOrderTest, GroupWithGivenUpItemIsReplaced)
{
  const std::vector<GroupProgress> groups = {
    { 0, 0, true }, { 1, 0, true }, { 2 }, { 2 }, { 2 }
  };
  EXPECT_EQ(orderGroups(groups, 2).neededGroups, 3U);
}

// Guards against an unfinished item that runs again last and delays its group.
TEST(GroupOrderTest, RequeuedItemRunsBeforeNewGroups)
{
  auto spec = std::make_shared<BatchSpec>();
  for (int i = 0; i < 9; ++i) {
    BatchItem item;
    item.id = std::to_string(i);
    item.group = std::to_string(i / 3);
    spec->items.push_back(std::move(item));
  }
  BatchProgress progress(spec);
  const auto now = TimePoint() + std::chrono::hours(1);
  for (std::size_t i = 0; i < 6; ++i) {
    progress.markRunning(i);
  }
  progress.finish(3);
  progress.requeue(4, now);
  EXPECT_EQ(progress.nextItem(now), 4U);
}

// Guards against steps that take longer because slots run groups that the
// trainer does not wait for. The load is above the capacity: 105 s of work
// every 0.9 s on 90 slots. With less load than capacity, a step may take 10%
// longer, since groups are left out by their expected length and not by the
// time that they take.
TEST(GroupOrderTest, StepsTakeLessTimeAndDiscardLess)
{
  for (const auto interval : { Millis(900), Millis(1'500) }) {
    double timeBefore = 0;
    double timeAfter = 0;
    double discardedBefore = 0;
    double discardedAfter = 0;
    constexpr int kSeeds = 3;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const StepSimulation::Setup setup{ .seed = seed };
      StepSimulation before(setup);
      std::map<const BatchSpec*, std::vector<std::size_t>> waiting;
      before.run(8, interval, batchOrder(before, waiting));
      StepSimulation after(setup);
      after.run(8, interval, groupOrder(after));
      timeBefore += before.meanDuration() / kSeeds;
      timeAfter += after.meanDuration() / kSeeds;
      discardedBefore += before.discardedShare() / kSeeds;
      discardedAfter += after.discardedShare() / kSeeds;
    }
    fmt::print("every {} ms: step {:.2f} to {:.2f} s, discarded {:.1f} to "
               "{:.1f}%\n",
               interval.count(),
               timeBefore,
               timeAfter,
               100 * discardedBefore,
               100 * discardedAfter);
    const bool isOverloaded = interval == Millis(900);
    EXPECT_LT(timeAfter, (isOverloaded ? 0.95 : 1.1) * timeBefore);
    EXPECT_LT(discardedAfter, 0.3 * discardedBefore);
  }
}

} // namespace lentilrack::core
