#include "core/cost_estimator.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

Work
workOf(std::string kind, std::int64_t maxTokens, std::int64_t offset = 0)
{
  Work work;
  work.principal = "p";
  work.kind = std::move(kind);
  work.target = "m";
  work.maxTokens = maxTokens;
  work.offset = offset;
  return work;
}

} // namespace

TEST(CostEstimator, UsesTheMaximumBeforeAnythingWasSeen)
{
  const CostEstimator costs;
  const auto estimate = costs.estimate(workOf("k", 4000));
  EXPECT_DOUBLE_EQ(estimate.tokens, 4000);
  EXPECT_FALSE(estimate.isLearned);
}

// Guards against estimates that stay at a large requested maximum for ever.
TEST(CostEstimator, LearnsFromFinishedWork)
{
  CostEstimator costs;
  const auto work = workOf("k", 4000);
  for (int i = 0; i < 20; ++i) {
    costs.observe(work, 100);
  }
  EXPECT_NEAR(costs.estimate(work).tokens, 100, 1);
  EXPECT_TRUE(costs.estimate(work).isLearned);
  EXPECT_FALSE(costs.estimate(workOf("other", 4000)).isLearned);
}

// Guards against underestimating long work because short work has the same
// kind.
TEST(CostEstimator, KeepsVeryDifferentMaximaApart)
{
  CostEstimator costs;
  for (int i = 0; i < 20; ++i) {
    costs.observe(workOf("k", 50), 50);
    costs.observe(workOf("k", 1500), 1500);
  }
  EXPECT_NEAR(costs.estimate(workOf("k", 50)).tokens, 50, 1);
  EXPECT_NEAR(costs.estimate(workOf("k", 1500)).tokens, 1500, 20);
}

TEST(CostEstimator, UsesTheUsedFractionForASizeNotSeenYet)
{
  CostEstimator costs;
  for (int i = 0; i < 5; ++i) {
    costs.observe(workOf("k", 100), 50);
  }
  EXPECT_NEAR(costs.estimate(workOf("k", 1000)).tokens, 500, 1);
  EXPECT_FALSE(costs.estimate(workOf("k", 1000)).isLearned);
}

TEST(CostEstimator, ResumedWorkCostsOnlyTheRest)
{
  CostEstimator costs;
  EXPECT_DOUBLE_EQ(costs.estimate(workOf("k", 100, 60)).tokens, 40);
  EXPECT_DOUBLE_EQ(costs.estimate(workOf("k", 100, 100)).tokens, 1);
}

// Guards against overestimating the typical number of tokens because of a few
// long requests.
TEST(CostEstimator, TypicalSizeIsNearTheMedian)
{
  CostEstimator costs;
  for (int i = 0; i < 500; ++i) {
    costs.observe(workOf("k", 3000), i % 10 == 0 ? 3000 : 100);
  }
  EXPECT_GT(costs.typicalTokens("m"), 80);
  EXPECT_LT(costs.typicalTokens("m"), 160);
  EXPECT_DOUBLE_EQ(costs.typicalTokens("unknown"), 0);
}

TEST(CostEstimator, CallsCountAsOne)
{
  auto call = workOf("k", 0);
  call.type = WorkType::Call;
  EXPECT_DOUBLE_EQ(CostEstimator().estimate(call).tokens, 1);
}

} // namespace lentilrack::core
