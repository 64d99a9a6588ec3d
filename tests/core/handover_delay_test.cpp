#include "core/handover_delay.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

class HandoverDelayTest : public ::testing::Test
{
protected:
  HandoverDelayTest()
  {
    mServer.id = "s1";
    mServer.startedAt = 7;
  }

  static HandoverDelay::Limits limits()
  {
    return { .minOrderInterval = Millis(3'000),
             .orderWindow = Millis(1'200),
             .maxReportAge = Millis(500),
             .transitMargin = Millis(300) };
  }

  static TimePoint at(int millis) { return kStart + Millis(millis); }

  ServerEntry mServer;
  HandoverDelay mHandover{ limits() };
};

} // namespace

// The holder is the process that may give orders to servers. Guards against
// leaving a server on old weights for longer than necessary when the former
// holder is lost and its last order to the server was long ago. The new holder
// may order the server once the report of the server is certain to include the
// last order of the former holder: after orderWindow (1,200 ms) and
// maxReportAge (500 ms).
TEST_F(HandoverDelayTest, ServerWithoutRecentOrderCanBeOrderedSoon)
{
  mHandover.recordOrder("s1", 7, 4, at(-4'000));
  mHandover.startTakeover(at(0));
  EXPECT_FALSE(mHandover.canOrder(mServer, at(1'600)));
  EXPECT_FALSE(mHandover.needsReport(mServer, at(1'600)));
  EXPECT_TRUE(mHandover.needsReport(mServer, at(1'700)));
  mHandover.recordReport(mServer, 4, at(1'700));
  EXPECT_TRUE(mHandover.canOrder(mServer, at(1'700)));
}

// Guards against orders of the former and the new holder that reach a server
// within the minimum interval. The next order may come minOrderInterval (3,000
// ms) and transitMargin (300 ms) after the order at -500 ms, that is at 2,800
// ms.
TEST_F(HandoverDelayTest, RecentOrderIsFollowedByThePause)
{
  mHandover.recordOrder("s1", 7, 4, at(-500));
  mHandover.startTakeover(at(0));
  mHandover.recordReport(mServer, 4, at(1'700));
  EXPECT_FALSE(mHandover.canOrder(mServer, at(2'700)));
  EXPECT_TRUE(mHandover.canOrder(mServer, at(2'800)));
}

// Guards against ordering a server too early because the former holder gave an
// order just before it lost its role and did not announce it. The wait is the
// sum of orderWindow (1,200 ms), minOrderInterval (3,000 ms) and transitMargin
// (300 ms), that is 4,500 ms.
TEST_F(HandoverDelayTest, UnannouncedOrderIsFollowedByTheLongestPause)
{
  mHandover.recordOrder("s1", 7, 4, at(-9'000));
  mHandover.startTakeover(at(0));
  mHandover.recordReport(mServer, 5, at(1'700));
  EXPECT_FALSE(mHandover.canOrder(mServer, at(4'499)));
  EXPECT_TRUE(mHandover.canOrder(mServer, at(4'500)));
}

// Guards against relying on an order count that a server reported while the
// former holder could still give orders: the count may lack the last of them.
TEST_F(HandoverDelayTest, EarlyReportsDoNotCount)
{
  mHandover.recordOrder("s1", 7, 4, at(-9'000));
  mHandover.startTakeover(at(0));
  mHandover.recordReport(mServer, 4, at(1'000));
  EXPECT_FALSE(mHandover.canOrder(mServer, at(2'000)));
  EXPECT_TRUE(mHandover.needsReport(mServer, at(2'000)));
}

// Guards against comparing the order count of a restarted server with an order
// from before the restart: the counts can be equal by chance, since each start
// counts from zero.
TEST_F(HandoverDelayTest, OrdersBeforeARestartDoNotCount)
{
  mHandover.recordOrder("s1", 6, 1, at(-9'000));
  mHandover.startTakeover(at(0));
  mHandover.recordReport(mServer, 1, at(1'700));
  EXPECT_FALSE(mHandover.canOrder(mServer, at(2'000)));
}

TEST_F(HandoverDelayTest, ServerWithoutOrdersCanBeOrdered)
{
  mHandover.startTakeover(at(0));
  EXPECT_FALSE(mHandover.canOrder(mServer, at(1'700)));
  mHandover.recordReport(mServer, 0, at(1'700));
  EXPECT_TRUE(mHandover.canOrder(mServer, at(1'700)));
}

TEST_F(HandoverDelayTest, FirstHolderNeedNotWait)
{
  EXPECT_TRUE(mHandover.canOrder(mServer, at(0)));
  EXPECT_FALSE(mHandover.needsReport(mServer, at(0)));
}

} // namespace lentilrack::core
