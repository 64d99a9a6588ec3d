#include "core/scheduling/model_allocation.h"

#include "core/model_demand.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace lentilrack::core {

namespace {

constexpr double kServerRate = 1'000;
constexpr Millis kStart{ 1'000'000'000 };
constexpr Millis kTick{ 100 };

struct Outcome
{
  double value = 0;
  int steps = 0;
  int moves = 0;
};

/// Simulates trainers that submit a step every 4 s. A server that is moved does
/// no work for a second. Each trainer in turn submits more work than usual for
/// three steps, as after a fault. Servers move when a model lacks 15% of them.
class AllocationSimulation
{
public:
  AllocationSimulation(std::size_t serverCount,
                       double load,
                       std::uint64_t seed,
                       bool bySlack)
    : mServerCount(serverCount)
    , mLoad(load)
    , mBySlack(bySlack)
    , mRandom(seed)
    , mServers(allocateServers(serverCount, mModels, {}))
  {
  }

  Outcome run()
  {
    constexpr int kTicks = 1'200;
    for (int tick = 0; tick < kTicks; ++tick) {
      const auto now = kStart + tick * kTick;
      submit(tick, now);
      std::ranges::for_each(mModels,
                            [&](const auto& model) { work(model, now); });
      allocate(now);
    }
    return mOutcome;
  }

private:
  struct Step
  {
    RecentBatch state;
    double remaining = 0;
  };

  void submit(int tick, Millis now)
  {
    for (std::size_t i = 0; i < mModels.size(); ++i) {
      if (tick % 40 != static_cast<int>(13 * i)) {
        continue;
      }
      const int number = tick / 40;
      const bool isBacklog = number % 9 >= 3 * static_cast<int>(i) &&
                             number % 9 < 3 * static_cast<int>(i) + 2 &&
                             number > 3;
      const double tokens = mVariation(mRandom) * mSizes.at(mModels[i]) *
                            (isBacklog ? 1.8 : 1.0) * mLoad * kServerRate * 4 /
                            3 * static_cast<double>(mServerCount);
      const RecentBatch state{
        fmt::format("{}{}", mModels[i], number), mModels[i], tokens, now, true
      };
      mSteps.push_back({ state, tokens });
    }
  }

  void work(const std::string& model, Millis now)
  {
    auto& idle = mIdleServerTicks[model];
    const auto held = static_cast<double>(mServers.at(model));
    const double idleNow = std::min(held, idle / 10);
    idle = std::max(0.0, idle - idleNow);
    double capacity = (held - idleNow) * kServerRate * 0.1;
    for (auto& step : mSteps) {
      if (step.state.model != model || !step.state.isOpen) {
        continue;
      }
      const double done = std::min(capacity, step.remaining);
      step.remaining -= done;
      capacity -= done;
      const auto age = now - step.state.submittedAt;
      if (step.remaining <= 0 || age > Millis(12'000)) {
        close(step, age);
      }
    }
  }

  void close(Step& step, Millis age)
  {
    step.state.isOpen = false;
    const double late = std::chrono::duration<double>(age).count() - 7.5;
    mOutcome.value += step.remaining > 0 ? 0
                      : late <= 0        ? 1
                                         : 0.7 * (1 - late / 4.5);
    ++mOutcome.steps;
  }

  void allocate(Millis now)
  {
    std::vector<RecentBatch> states;
    std::vector<BatchDemand> batches;
    for (const auto& step : mSteps) {
      states.push_back(step.state);
      batches.push_back({ step.state.model,
                          step.state.expectedTokens,
                          step.state.submittedAt });
    }
    auto demand = computeModelDemand(std::move(batches), now);
    if (mBySlack) {
      mAllocation.update(states, mServers, now);
      demand = mAllocation.demand(demand, now);
    }
    const auto wanted = allocateServers(mServerCount, mModels, demand);
    const bool lacksServers =
      std::ranges::any_of(mModels, [&](const auto& model) {
        const auto target = static_cast<double>(wanted.at(model));
        return target - static_cast<double>(mServers.at(model)) >
               std::max(1.0, 0.15 * target);
      });
    if (!lacksServers) {
      return;
    }
    for (const auto& model : mModels) {
      const auto added =
        wanted.at(model) - std::min(wanted.at(model), mServers.at(model));
      mOutcome.moves += static_cast<int>(added);
      mIdleServerTicks[model] += 10 * static_cast<double>(added);
    }
    mServers = wanted;
  }

  std::size_t mServerCount;
  double mLoad;
  bool mBySlack;
  pcg64 mRandom;
  std::lognormal_distribution<double> mVariation{ 0, 0.2 };
  std::vector<std::string> mModels{ "a", "b", "c" };
  std::map<std::string, double> mSizes{ { "a", 0.5 },
                                        { "b", 1.1 },
                                        { "c", 1.4 } };
  std::vector<Step> mSteps;
  std::map<std::string, std::size_t> mServers;
  std::map<std::string, double> mIdleServerTicks;
  ModelAllocation mAllocation;
  Outcome mOutcome;
};

Outcome
simulate(std::size_t serverCount, double load, std::uint64_t seed, bool bySlack)
{
  return AllocationSimulation(serverCount, load, seed, bySlack).run();
}

std::vector<RecentBatch>
openStep(const std::string& id, const std::string& model, double tokens)
{
  return { { id, model, tokens, kStart, true } };
}

} // namespace

// Guards against a trainer with a backlog that is late while the servers of the
// others have time, and against moves that cost more than they gain.
TEST(ModelAllocationTest, BacklogGetsServersOfModelsWithSlack)
{
  constexpr int kSeeds = 4;
  for (const std::size_t servers : { 9U, 44U }) {
    for (const double load : { 0.5, 0.75, 0.9 }) {
      Outcome before;
      Outcome after;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const auto byDemand = simulate(servers, load, seed, false);
        const auto bySlack = simulate(servers, load, seed, true);
        before.value += byDemand.value / byDemand.steps / kSeeds;
        after.value += bySlack.value / bySlack.steps / kSeeds;
        before.moves += byDemand.moves;
        after.moves += bySlack.moves;
      }
      fmt::print("{} servers, load {}: value {:.3f} to {:.3f}, moves {} to "
                 "{}\n",
                 servers,
                 load,
                 before.value,
                 after.value,
                 before.moves,
                 after.moves);
      EXPECT_GT(after.value, before.value - 0.005);
    }
  }
}

// Guards against taking the servers of other trainers for a step that cannot be
// in time even with all servers, and against doing so without any estimate.
TEST(ModelAllocationTest, LostStepDoesNotTakeServers)
{
  const ModelAllocation::Servers servers = { { "a", 10 }, { "b", 10 } };
  const ModelAllocation::Demand longTerm = { { "a", 1'000 }, { "b", 1'000 } };
  ModelAllocation allocation;
  const auto steps = openStep("first", "a", 4'000);
  for (int i = 0; i <= 40; ++i) {
    allocation.update(steps, servers, kStart + i * kTick);
    EXPECT_EQ(allocation.demand(longTerm, kStart + i * kTick), longTerm);
  }
  auto now = kStart + Millis(4'100);
  allocation.update({}, servers, now);
  auto late = openStep("second", "a", 14'000);
  late[0].submittedAt = now;
  allocation.update(late, servers, now);
  EXPECT_GT(allocation.demand(longTerm, now).at("a"), 1'500);
  ModelAllocation other = allocation;
  auto lost = openStep("third", "b", 16'000);
  lost[0].submittedAt = now;
  other.update(lost, servers, now);
  EXPECT_LT(other.demand(longTerm, now).at("b"), 1'400);
}

TEST(ModelAllocationTest, FairnessIndex)
{
  using Allocation = ModelAllocation;
  EXPECT_DOUBLE_EQ(Allocation::fairness({ { "a", 5 }, { "b", 10 } },
                                        { { "a", 1 }, { "b", 2 } }),
                   1);
  EXPECT_DOUBLE_EQ(Allocation::fairness({ { "a", 10 }, { "b", 0 } },
                                        { { "a", 1 }, { "b", 1 } }),
                   0.5);
  EXPECT_DOUBLE_EQ(Allocation::fairness({}, {}), 1);
}

} // namespace lentilrack::core
