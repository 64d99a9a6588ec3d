#include "core/server_health.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ Millis(1'000'000) };

std::string
name(int i)
{
  return "s" + std::to_string(i);
}

/// Ten servers that each run one request. Server i generates `mRates[i]` tokens
/// per second.
class HealthTest : public ::testing::Test
{
protected:
  HealthTest()
  {
    for (int i = 0; i < 10; ++i) {
      mNames.push_back(name(i));
      mHealth.started(name(i), mNow);
    }
  }

  void advanceTime(Millis time)
  {
    const Millis step{ 50 };
    for (auto end = mNow + time; mNow < end;) {
      mNow += step;
      for (std::size_t i = 0; i < mNames.size(); ++i) {
        mHealth.progress(mNames[i], mRates[i] * 0.05, mNow);
      }
      mHealth.compare(mNames, mNow);
    }
  }

  std::vector<std::string> mNames;
  std::vector<double> mRates = std::vector<double>(10, 200);
  ServerHealth mHealth;
  TimePoint mNow = kStart;
};

} // namespace

// Guards against slow servers that keep their full share until a load report
// arrives: two of ten servers that drop to a fifth of their speed must be
// detected within 2 s.
TEST_F(HealthTest, SlowServersLoseTheirShareAndGetItBack)
{
  advanceTime(Millis(3000));
  EXPECT_DOUBLE_EQ(mHealth.share(name(0)), 1);
  mRates[0] = mRates[1] = 40;
  advanceTime(Millis(2000));
  EXPECT_LT(mHealth.share(name(0)), 0.6);
  EXPECT_LT(mHealth.share(name(1)), 0.6);
  EXPECT_DOUBLE_EQ(mHealth.share(name(2)), 1);
  mRates[0] = mRates[1] = 200;
  advanceTime(Millis(4000));
  EXPECT_DOUBLE_EQ(mHealth.share(name(0)), 1);
}

// Guards against a server that hangs without an error: producing no tokens
// counts as slow.
TEST_F(HealthTest, SilentServerIsSlow)
{
  advanceTime(Millis(2000));
  mRates[3] = 0;
  advanceTime(Millis(3000));
  EXPECT_LT(mHealth.share(name(3)), 0.3);
  EXPECT_EQ(mHealth.usableSlots(name(3), 8, mNow), 0);
}

// Guards against share changes caused by ordinary variation near a threshold.
TEST_F(HealthTest, HysteresisKeepsTheStateBetweenTheBounds)
{
  mRates[0] = 140;
  advanceTime(Millis(5000));
  EXPECT_DOUBLE_EQ(mHealth.share(name(0)), 1);
  mRates[0] = 60;
  advanceTime(Millis(5000));
  mRates[0] = 140;
  advanceTime(Millis(8000));
  EXPECT_NEAR(mHealth.share(name(0)), 0.7, 0.05);
  mRates[0] = 180;
  advanceTime(Millis(8000));
  EXPECT_DOUBLE_EQ(mHealth.share(name(0)), 1);
}

// Guards against reducing the shares of most servers when many slow down at the
// same time.
TEST_F(HealthTest, EjectsABoundedPart)
{
  advanceTime(Millis(2000));
  for (std::size_t i = 0; i < 4; ++i) {
    mRates[i] = 20;
  }
  advanceTime(Millis(5000));
  int reduced = 0;
  for (const auto& server : mNames) {
    reduced += mHealth.share(server) < 1 ? 1 : 0;
  }
  EXPECT_EQ(reduced, 3);
}

// Guards against never probing a slow server, which could then never show that
// it has recovered.
TEST_F(HealthTest, IdleSlowServerIsProbed)
{
  mRates[0] = 10;
  advanceTime(Millis(4000));
  mHealth.finished(name(0), mNow);
  EXPECT_EQ(mHealth.usableSlots(name(0), 8, mNow), 0);
  EXPECT_EQ(mHealth.usableSlots(name(0), 8, mNow + Millis(1000)), 1);
}

TEST(ServerHealth, DownServerIsProbedWithBackoff)
{
  ServerHealth health;
  health.failed("a", kStart);
  EXPECT_TRUE(health.isAvailable("a", kStart));
  health.failed("a", kStart);
  EXPECT_FALSE(health.isAvailable("a", kStart));
  auto now = kStart + Millis(500);
  EXPECT_TRUE(health.isAvailable("a", now));
  health.started("a", now);
  // Only one probe may run at a time.
  EXPECT_FALSE(health.isAvailable("a", now));
  health.finished("a", now);
  health.failed("a", now);
  EXPECT_FALSE(health.isAvailable("a", now + Millis(999)));
  EXPECT_TRUE(health.isAvailable("a", now + Millis(1000)));
  health.succeeded("a");
  EXPECT_TRUE(health.isAvailable("a", now));
}

// Guards against treating requests that fail at the same time as separate
// failures, which would lengthen the backoff for the server.
TEST(ServerHealth, FailuresAtOneTimeCountOnce)
{
  ServerHealth health;
  for (int i = 0; i < 50; ++i) {
    health.failed("a", kStart);
  }
  EXPECT_TRUE(health.isAvailable("a", kStart + Millis(500)));
}

} // namespace lentilrack::core
