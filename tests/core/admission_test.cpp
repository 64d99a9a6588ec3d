#include "core/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ Millis(1'000'000) };

Row
rowWith(double rate, std::int64_t concurrent)
{
  Row row;
  row.principal = "caller";
  row.kind = "k";
  row.ratePerSecond = rate;
  row.maxConcurrent = concurrent;
  return row;
}

AdmissionRequest
requestWithoutWait(const Row& row)
{
  return { row, Millis(10'000), Millis(0), Millis(0) };
}

} // namespace

TEST(Admission, RateLimitRefusesWithTheTimeOfTheNextToken)
{
  Admission admission;
  const auto row = rowWith(2, 0);
  EXPECT_FALSE(admission.admit(requestWithoutWait(row), kStart));
  EXPECT_FALSE(admission.admit(requestWithoutWait(row), kStart));
  const auto refusal = admission.admit(requestWithoutWait(row), kStart);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, "rate_limit");
  EXPECT_EQ(refusal->retryAfter, Millis(500));
  EXPECT_FALSE(
    admission.admit(requestWithoutWait(row), kStart + refusal->retryAfter));
}

// Guards against requests that are refused for overload but still use up the
// rate limit.
TEST(Admission, RefusedWorkTakesNothingFromTheBucket)
{
  Admission admission;
  const auto row = rowWith(1, 0);
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(
      admission.admit({ row, Millis(100), Millis(200), Millis(0) }, kStart)
        ->reason,
      "overload");
  }
  EXPECT_FALSE(admission.admit(requestWithoutWait(row), kStart));
}

TEST(Admission, ConcurrencyLimitCountsWorkInFlight)
{
  Admission admission;
  const auto row = rowWith(0, 2);
  EXPECT_FALSE(admission.admit(requestWithoutWait(row), kStart));
  EXPECT_FALSE(admission.admit(requestWithoutWait(row), kStart));
  EXPECT_EQ(admission.admit(requestWithoutWait(row), kStart)->reason,
            "concurrency_limit");
  admission.finished({ "caller", "k" });
  EXPECT_FALSE(admission.admit(requestWithoutWait(row), kStart));
}

// Guards against queueing work whose deadline cannot be met.
TEST(Admission, RefusesWorkThatCannotMeetItsDeadline)
{
  Admission admission;
  const auto row = rowWith(0, 0);
  const auto refusal =
    admission.admit({ row, Millis(1000), Millis(800), Millis(600) }, kStart);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, "overload");
  EXPECT_EQ(refusal->retryAfter, Millis(500));
  EXPECT_EQ(admission.inFlight({ "caller", "k" }), 0);
  EXPECT_FALSE(
    admission.admit({ row, Millis(1000), Millis(300), Millis(600) }, kStart));
}

// Guards against exceeding a row's limit because each of several dispatchers
// grants the full limit.
TEST(Admission, LimitsAreSharedBetweenProcesses)
{
  Admission admission;
  admission.setEqualShare(0.25);
  const auto row = rowWith(0, 8);
  EXPECT_FALSE(admission.admit(requestWithoutWait(row), kStart));
  EXPECT_FALSE(admission.admit(requestWithoutWait(row), kStart));
  EXPECT_TRUE(admission.admit(requestWithoutWait(row), kStart));
  admission.setShares({ { { "caller", "k" }, 0.5 } });
  EXPECT_FALSE(admission.admit(requestWithoutWait(row), kStart));
}

TEST(Admission, SmallShareStillAdmitsOne)
{
  Admission admission;
  admission.setEqualShare(0.001);
  EXPECT_FALSE(admission.admit(requestWithoutWait(rowWith(0, 1)), kStart));
}

TEST(Admission, ReportsDemandIncludingRefusals)
{
  Admission admission;
  const auto row = rowWith(1, 0);
  admission.admit(requestWithoutWait(row), kStart);
  admission.admit(requestWithoutWait(row), kStart);
  EXPECT_EQ(admission.takeDemand().at({ "caller", "k" }), 2);
  EXPECT_TRUE(admission.takeDemand().empty());
}

// Checks that no more is admitted than the rate times the elapsed time, plus
// one full bucket.
RC_GTEST_PROP(Admission, NeverExceedsTheRate, ())
{
  Admission admission;
  const auto row = rowWith(*rc::gen::inRange(1, 50), 0);
  const auto gaps =
    *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
  auto now = kStart;
  double admitted = 0;
  for (const auto gap : gaps) {
    now += Millis(gap);
    admitted += admission.admit(requestWithoutWait(row), now) ? 0 : 1;
    const double elapsed = std::chrono::duration<double>(now - kStart).count();
    RC_ASSERT(admitted <= row.ratePerSecond * (1 + elapsed) + 1e-6);
  }
}

} // namespace lentilrack::core
