#include "core/retry_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilrack::core {

// Guards against a retry storm during an outage: without successes, retries use
// up the budget and then stop.
TEST(RetryBudget, IsUsedUpWithoutSuccesses)
{
  RetryBudget budget;
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    taken += budget.tryTake() ? 1 : 0;
  }
  EXPECT_EQ(taken, 3);
}

TEST(RetryBudget, GrowsWithSuccessesUpToABound)
{
  RetryBudget budget;
  while (budget.tryTake()) {
  }
  for (int i = 0; i < 20; ++i) {
    budget.succeeded();
  }
  EXPECT_TRUE(budget.tryTake());
  EXPECT_FALSE(budget.tryTake());
  for (int i = 0; i < 100'000; ++i) {
    budget.succeeded();
  }
  int taken = 0;
  while (budget.tryTake()) {
    ++taken;
  }
  EXPECT_EQ(taken, 10);
}

RC_GTEST_PROP(RetryBudget, ExtraAttemptsStayAFractionOfSuccesses, ())
{
  RetryBudget budget;
  const auto steps =
    *rc::gen::container<std::vector<int>>(500, rc::gen::inRange(0, 3));
  double successes = 0;
  double extra = 0;
  for (const auto step : steps) {
    if (step == 0) {
      extra += budget.tryTake() ? 1 : 0;
    } else {
      budget.succeeded();
      ++successes;
    }
    RC_ASSERT(extra <= 3 + 0.05 * successes + 1e-6);
  }
}

// Guards against requests that are all retried at the same time after an
// outage.
TEST(RetryBudget, BackoffIsBoundedAndSpread)
{
  const RetryBudget budget;
  pcg32 random(42);
  Millis least{ 1'000'000 };
  Millis maxWait{ 0 };
  for (int i = 0; i < 1000; ++i) {
    const auto wait = budget.backoff(30, random);
    least = std::min(least, wait);
    maxWait = std::max(maxWait, wait);
  }
  EXPECT_LT(least, Millis(100));
  EXPECT_GT(maxWait, Millis(1900));
  EXPECT_LE(maxWait, Millis(2000));
}

} // namespace lentilrack::core
