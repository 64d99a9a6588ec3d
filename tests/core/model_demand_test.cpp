#include "core/model_demand.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilrack::core {

namespace {

constexpr Millis kNow{ 1'000'000'000 };

/// Returns batches of one trainer, of which the latest was submitted now.
std::vector<BatchDemand>
steps(const std::string& model, double work, Millis interval, int count)
{
  std::vector<BatchDemand> batches;
  for (int i = 0; i < count; ++i) {
    batches.push_back({ model, work, kNow - i * interval });
  }
  return batches;
}

std::vector<BatchDemand>
join(std::vector<std::vector<BatchDemand>> lists)
{
  std::vector<BatchDemand> all;
  for (const auto& list : lists) {
    all.insert(all.end(), list.begin(), list.end());
  }
  return all;
}

} // namespace

// Guards against splitting the servers equally between models when one model
// has short drafts and two have drafts three times as long: the long drafts
// would miss their deadlines while the servers for the short ones are idle.
TEST(ModelDemandTest, LongDraftsGetMoreServers)
{
  const auto demand =
    computeModelDemand(join({ steps("short", 50'000, Millis(4000), 4),
                              steps("long", 150'000, Millis(4000), 4),
                              steps("wide", 150'000, Millis(4000), 4) }),
                       kNow);
  const auto shares = allocateServers(45, { "short", "long", "wide" }, demand);
  EXPECT_EQ(shares.at("short"), 7U);
  EXPECT_EQ(shares.at("long"), 19U);
  EXPECT_EQ(shares.at("wide"), 19U);
}

// Guards against taking servers from a model whose trainer submits its next
// batch late, which would delay the trainer even more.
TEST(ModelDemandTest, DelayedTrainerKeepsItsDemand)
{
  auto delayed = steps("a", 100'000, Millis(4000), 3);
  delayed.back().submittedAt -= Millis(20'000);
  const auto demand = computeModelDemand(
    join({ delayed, steps("b", 100'000, Millis(4000), 9) }), kNow);
  EXPECT_DOUBLE_EQ(demand.at("a"), demand.at("b"));
}

// Guards against overestimating the demand of a trainer that submits batches
// ahead of its steps.
TEST(ModelDemandTest, BatchesSubmittedTogetherDoNotShortenTheInterval)
{
  auto ahead = steps("a", 100'000, Millis(4000), 4);
  ahead.push_back({ "a", 100'000, kNow - Millis(100) });
  const auto demand = computeModelDemand(
    join({ ahead, steps("b", 100'000, Millis(4000), 4) }), kNow);
  EXPECT_NEAR(demand.at("a") / demand.at("b"), 1.0, 0.05);
}

TEST(ModelDemandTest, OldBatchesDoNotCount)
{
  EXPECT_TRUE(
    computeModelDemand({ { "a", 1000, kNow - std::chrono::minutes(2) } }, kNow)
      .empty());
}

TEST(ModelDemandTest, ModelsWithoutKnownDemandShareEqually)
{
  const auto shares = allocateServers(9, { "a", "b", "c" }, {});
  EXPECT_EQ(shares.at("a"), 3U);
  EXPECT_EQ(shares.at("b"), 3U);
  EXPECT_EQ(shares.at("c"), 3U);
}

// Guards against servers that are not assigned or assigned twice, and against a
// model that gets less than its minimum share.
RC_GTEST_PROP(ModelDemandTest, AllServersAreShared, ())
{
  const auto servers = *rc::gen::inRange<std::size_t>(1, 300);
  const auto count = *rc::gen::inRange<std::size_t>(1, 6);
  std::vector<std::string> models;
  std::map<std::string, double> demand;
  for (std::size_t i = 0; i < count; ++i) {
    models.push_back("m" + std::to_string(i));
    const auto work = *rc::gen::inRange(0, 1'000'000);
    if (work > 0) {
      demand[models.back()] = work;
    }
  }
  const auto shares = allocateServers(servers, models, demand);
  std::size_t sum = 0;
  for (const auto& [model, share] : shares) {
    sum += share;
    RC_ASSERT(share >= servers / (2 * count));
  }
  RC_ASSERT(sum == servers);
}

} // namespace lentilrack::core
