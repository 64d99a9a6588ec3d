#include "core/holder_pause.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

class HolderPauseTest : public ::testing::Test
{
protected:
  HolderPauseTest()
  {
    mServer.id = "s1";
    mServer.startedAt = 7;
  }

  static HolderPause::Limits limits()
  {
    return { .pause = Millis(3'000),
             .window = Millis(1'200),
             .reportAge = Millis(500),
             .margin = Millis(300) };
  }

  static TimePoint at(int millis) { return kStart + Millis(millis); }

  ServerEntry mServer;
  HolderPause mPause{ limits() };
};

} // namespace

// Pattern: the holder is lost between two versions. Guards against servers that
// wait with old weights although their last order is long past.
TEST_F(HolderPauseTest, ServerWithoutRecentOrderIsFreeSoon)
{
  mPause.noteOrder("s1", 7, 4, at(-4'000));
  mPause.takeOver(at(0));
  EXPECT_FALSE(mPause.mayOrder(mServer, at(1'600)));
  EXPECT_FALSE(mPause.needsReport(mServer, at(1'600)));
  EXPECT_TRUE(mPause.needsReport(mServer, at(1'700)));
  mPause.noteReport(mServer, 4, at(1'700));
  EXPECT_TRUE(mPause.mayOrder(mServer, at(1'700)));
}

// Guards against two holders that order one server within the pause.
TEST_F(HolderPauseTest, RecentOrderIsFollowedByThePause)
{
  mPause.noteOrder("s1", 7, 4, at(-500));
  mPause.takeOver(at(0));
  mPause.noteReport(mServer, 4, at(1'700));
  EXPECT_FALSE(mPause.mayOrder(mServer, at(2'700)));
  EXPECT_TRUE(mPause.mayOrder(mServer, at(2'800)));
}

// Guards against an order that the former holder gave without being able to
// tell, just before it noticed its end.
TEST_F(HolderPauseTest, OrderThatWasNotToldIsFollowedByTheLongestPause)
{
  mPause.noteOrder("s1", 7, 4, at(-9'000));
  mPause.takeOver(at(0));
  mPause.noteReport(mServer, 5, at(1'700));
  EXPECT_FALSE(mPause.mayOrder(mServer, at(4'499)));
  EXPECT_TRUE(mPause.mayOrder(mServer, at(4'500)));
}

// Guards against a count of before the former holder's last possible order.
TEST_F(HolderPauseTest, EarlyReportsDoNotCount)
{
  mPause.noteOrder("s1", 7, 4, at(-9'000));
  mPause.takeOver(at(0));
  mPause.noteReport(mServer, 4, at(1'000));
  EXPECT_FALSE(mPause.mayOrder(mServer, at(2'000)));
  EXPECT_TRUE(mPause.needsReport(mServer, at(2'000)));
}

// Guards against news of an earlier life of the server.
TEST_F(HolderPauseTest, OrdersOfAnotherLifetimeDoNotCount)
{
  mPause.noteOrder("s1", 6, 1, at(-9'000));
  mPause.takeOver(at(0));
  mPause.noteReport(mServer, 1, at(1'700));
  EXPECT_FALSE(mPause.mayOrder(mServer, at(2'000)));
}

TEST_F(HolderPauseTest, ServerThatWasNeverOrderedIsFree)
{
  mPause.takeOver(at(0));
  EXPECT_FALSE(mPause.mayOrder(mServer, at(1'700)));
  mPause.noteReport(mServer, 0, at(1'700));
  EXPECT_TRUE(mPause.mayOrder(mServer, at(1'700)));
}

TEST_F(HolderPauseTest, FirstHolderNeedNotWait)
{
  EXPECT_TRUE(mPause.mayOrder(mServer, at(0)));
  EXPECT_FALSE(mPause.needsReport(mServer, at(0)));
}

} // namespace lentilrack::core
