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
Outcome
simulate(std::size_t serverCount, double load, std::uint64_t seed, bool bySlack)
{
  const std::vector<std::string> models = { "a", "b", "c" };
  const std::map<std::string, double> sizes = { { "a", 0.5 },
                                                { "b", 1.1 },
                                                { "c", 1.4 } };
  pcg64 random(seed);
  std::lognormal_distribution<double> variation(0, 0.2);
  struct Step
  {
    StepState state;
    double remaining = 0;
  };
  std::vector<Step> steps;
  auto servers = allocateServers(serverCount, models, {});
  std::map<std::string, double> idleServerTicks;
  ModelAllocation allocation;
  Outcome outcome;
  for (int tick = 0; tick < 1'200; ++tick) {
    const auto now = kStart + tick * kTick;
    for (std::size_t i = 0; i < models.size(); ++i) {
      if (tick % 40 == static_cast<int>(13 * i)) {
        const int number = tick / 40;
        const bool isBacklog = number % 9 >= 3 * static_cast<int>(i) &&
                               number % 9 < 3 * static_cast<int>(i) + 2 &&
                               number > 3;
        const double tokens = variation(random) * sizes.at(models[i]) *
                              (isBacklog ? 1.8 : 1.0) * load * kServerRate * 4 /
                              3 * static_cast<double>(serverCount);
        const StepState state{
          fmt::format("{}{}", models[i], number), models[i], tokens, now, true
        };
        steps.push_back({ state, tokens });
      }
    }
    for (const auto& model : models) {
      auto& idle = idleServerTicks[model];
      const auto held = static_cast<double>(servers.at(model));
      const double idleNow = std::min(held, idle / 10);
      idle = std::max(0.0, idle - idleNow);
      double work = (held - idleNow) * kServerRate * 0.1;
      for (auto& step : steps) {
        if (step.state.model == model && step.state.isOpen) {
          const double done = std::min(work, step.remaining);
          step.remaining -= done;
          work -= done;
          const auto age = now - step.state.submittedAt;
          if (step.remaining <= 0 || age > Millis(12'000)) {
            step.state.isOpen = false;
            const double late =
              std::chrono::duration<double>(age).count() - 7.5;
            outcome.value += step.remaining > 0 ? 0
                             : late <= 0        ? 1
                                                : 0.7 * (1 - late / 4.5);
            ++outcome.steps;
          }
        }
      }
    }
    std::vector<StepState> states;
    std::vector<BatchDemand> batches;
    for (const auto& step : steps) {
      states.push_back(step.state);
      batches.push_back({ step.state.model,
                          step.state.expectedTokens,
                          step.state.submittedAt });
    }
    auto demand = computeModelDemand(std::move(batches), now);
    if (bySlack) {
      allocation.update(states, servers, now);
      demand = allocation.demand(demand, now);
    }
    const auto wanted = allocateServers(serverCount, models, demand);
    const bool lacksServers =
      std::ranges::any_of(models, [&](const auto& model) {
        const auto target = static_cast<double>(wanted.at(model));
        return target - static_cast<double>(servers.at(model)) >
               std::max(1.0, 0.15 * target);
      });
    if (lacksServers) {
      for (const auto& model : models) {
        const auto added =
          wanted.at(model) - std::min(wanted.at(model), servers.at(model));
        outcome.moves += static_cast<int>(added);
        idleServerTicks[model] += 10 * static_cast<double>(added);
      }
      servers = wanted;
    }
  }
  return outcome;
}

std::vector<StepState>
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
