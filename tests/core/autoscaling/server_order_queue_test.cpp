#include "core/autoscaling/server_order_queue.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kNow = TimePoint() + std::chrono::hours(1);
const ServerPool kOrdinary{ "a", false };
const ServerPool kReclaimable{ "a", true };

ServerOrderQueue
queueWith(int ordinary, int reclaimable)
{
  ServerOrderQueue queue({ .minInterval = Millis(0) });
  queue.setKnown("s", kOrdinary, ordinary);
  queue.setKnown("s", kReclaimable, reclaimable);
  return queue;
}

} // namespace

// Guards against orders without a change.
TEST(ServerOrderQueueTest, OnlyChangesAreOrdered)
{
  auto queue = queueWith(3, 0);
  queue.setWanted("s", kOrdinary, 3);
  queue.setWanted("s", kReclaimable, 0);
  EXPECT_FALSE(queue.next(kNow));
  queue.setWanted("s", kOrdinary, 4);
  EXPECT_EQ(queue.next(kNow), (PoolOrder{ "s", kOrdinary, 4 }));
}

// Guards against an order that is overtaken by an earlier one of unknown
// outcome, and against two orders for one failure domain at the same time.
TEST(ServerOrderQueueTest, UnknownOutcomeIsRepeatedUnchangedFirst)
{
  auto queue = queueWith(3, 0);
  queue.setWanted("s", kOrdinary, 5);
  const auto order = queue.next(kNow);
  queue.setWanted("s", kOrdinary, 2);
  queue.setWanted("s", kReclaimable, 1);
  EXPECT_FALSE(queue.next(kNow));
  queue.finished(*order, PoolOrderOutcome::Unknown, kNow);
  EXPECT_FALSE(queue.next(kNow + Millis(300)));
  EXPECT_EQ(queue.next(kNow + Millis(400)), order);
  // The repetition was not executed, but the first try may have been.
  queue.finished(*order, PoolOrderOutcome::NotExecuted, kNow + Millis(400));
  EXPECT_FALSE(queue.next(kNow + Millis(1'100)));
  EXPECT_EQ(queue.next(kNow + Millis(1'200)), order);
  queue.finished(*order, PoolOrderOutcome::Accepted, kNow + Millis(1'200));
  EXPECT_EQ(queue.next(kNow + Millis(1'200))->servers, 2);
}

// Guards against a sum of both kinds above the maximum of the failure domain.
TEST(ServerOrderQueueTest, ReductionsComeFirst)
{
  auto queue = queueWith(4, 4);
  queue.setWanted("s", kOrdinary, 6);
  queue.setWanted("s", kReclaimable, 2);
  EXPECT_EQ(queue.next(kNow), (PoolOrder{ "s", kReclaimable, 2 }));
}

// Guards against the repetition of an order that the provider refused, before
// the number is set again.
TEST(ServerOrderQueueTest, RefusedOrderIsDropped)
{
  auto queue = queueWith(3, 0);
  queue.setWanted("s", kOrdinary, 5);
  queue.finished(*queue.next(kNow), PoolOrderOutcome::Unavailable, kNow);
  EXPECT_FALSE(queue.next(kNow + Millis(60'000)));
  EXPECT_EQ(queue.known("s", kOrdinary), 3);
}

// Guards against calls above the rate that the provider accepts.
TEST(ServerOrderQueueTest, OrdersKeepTheirInterval)
{
  ServerOrderQueue queue({ .minInterval = Millis(200) });
  queue.setWanted("s", { "a", false }, 1);
  queue.setWanted("s", { "b", false }, 1);
  EXPECT_TRUE(queue.next(kNow));
  EXPECT_FALSE(queue.next(kNow + Millis(199)));
  EXPECT_TRUE(queue.next(kNow + Millis(200)));
}

} // namespace lentilrack::core
