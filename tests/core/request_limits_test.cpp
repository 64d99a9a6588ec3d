#include "core/request_limits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilrack::core {

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

Row
rowOf(double rate, std::int64_t concurrent)
{
  Row row;
  row.principal = "order-desk";
  row.kind = "order";
  row.ratePerSecond = rate;
  row.maxConcurrent = concurrent;
  return row;
}

const RowKey kKey{ "order-desk", "order" };

} // namespace

TEST(RequestLimits, ZeroIsNoLimit)
{
  RequestLimits limits;
  for (int i = 0; i < 1000; ++i) {
    EXPECT_FALSE(limits.admit(rowOf(0, 0), kStart));
  }
}

// Guards against more requests in flight than the row allows.
TEST(RequestLimits, ConcurrencyIsBounded)
{
  RequestLimits limits;
  const auto row = rowOf(0, 2);
  EXPECT_FALSE(limits.admit(row, kStart));
  EXPECT_FALSE(limits.admit(row, kStart));
  const auto refused = limits.admit(row, kStart);
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->reason, "concurrency_limit");
  EXPECT_GT(refused->retryAfter, Millis(0));
  limits.finished(kKey);
  EXPECT_FALSE(limits.admit(row, kStart));
}

TEST(RequestLimits, RetryTimeOfARateLimitIsEnough)
{
  RequestLimits limits;
  const auto row = rowOf(0.5, 0);
  EXPECT_FALSE(limits.admit(row, kStart));
  const auto refused = limits.admit(row, kStart);
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->reason, "rate_limit");
  EXPECT_FALSE(limits.admit(row, kStart + refused->retryAfter));
}

// Guards against refusing a request of one row because requests of another row
// have used up its rate.
TEST(RequestLimits, RowsAreSeparate)
{
  RequestLimits limits;
  auto other = rowOf(0, 1);
  other.kind = "stock";
  EXPECT_FALSE(limits.admit(rowOf(0, 1), kStart));
  EXPECT_FALSE(limits.admit(other, kStart));
}

// Guards against ignoring the change of a limit for a row that is already in
// use.
TEST(RequestLimits, EditedLimitAppliesAtOnce)
{
  RequestLimits limits;
  EXPECT_FALSE(limits.admit(rowOf(0, 0), kStart));
  EXPECT_TRUE(limits.admit(rowOf(0, 1), kStart));
  limits.finished(kKey);
  EXPECT_FALSE(limits.admit(rowOf(0, 1), kStart));
}

// Guards against exceeding the rate over any period, and against a wrong count
// of requests in flight.
RC_GTEST_PROP(RequestLimits, RateAndCountHoldInAnyOrder, ())
{
  RequestLimits limits;
  const auto row = rowOf(10, 3);
  auto now = kStart;
  std::int64_t admitted = 0;
  std::int64_t inFlight = 0;
  const auto steps =
    *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 200));
  for (const int step : steps) {
    if (step % 2 == 0) {
      now += Millis(step);
      if (inFlight > 0) {
        limits.finished(kKey);
        --inFlight;
      }
    } else if (!limits.admit(row, now)) {
      ++admitted;
      ++inFlight;
    }
    const std::chrono::duration<double> passed = now - kStart;
    RC_ASSERT(inFlight <= 3);
    RC_ASSERT(limits.inFlight(kKey) == inFlight);
    RC_ASSERT(static_cast<double>(admitted) <=
              10 + 10 * passed.count() + 0.001);
  }
}

} // namespace lentilrack::core
