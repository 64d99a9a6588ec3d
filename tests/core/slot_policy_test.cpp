#include "core/slot_policy.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ Millis(1'000'000) };
const TimePoint kNow = kStart + Millis(1000);

RunningWork
rollout(std::uint64_t id, double remaining = 1000)
{
  return { id, WorkType::Rollout, 8, true, 0, kStart, remaining };
}

WaitingWork
urgent()
{
  return { WorkType::Order, 1, false, kStart };
}

} // namespace

// Guards against long work that occupies every slot of a server.
TEST(SlotPolicy, LongWorkNeverHoldsAllSlots)
{
  const SlotPolicy policy;
  EXPECT_EQ(policy.maxLongSlots(1), 1);
  for (std::int64_t slots = 2; slots < 64; ++slots) {
    EXPECT_GE(policy.maxLongSlots(slots), 1);
    EXPECT_LT(policy.maxLongSlots(slots), slots);
  }
  EXPECT_EQ(policy.maxLongSlots(8), 6);
}

TEST(SlotPolicy, LongIsRelativeToTheTypicalSize)
{
  const SlotPolicy policy;
  EXPECT_FALSE(policy.isLong(10'000, 0));
  EXPECT_FALSE(policy.isLong(400, 100));
  EXPECT_TRUE(policy.isLong(401, 100));
}

TEST(SlotPolicy, UrgentShortWorkPreemptsTheLargestRollout)
{
  const SlotPolicy policy;
  const std::vector<RunningWork> running{ rollout(1, 500),
                                          rollout(2, 2000),
                                          rollout(3, 900) };
  const auto* victim = policy.chooseVictim(urgent(), running, kNow);
  ASSERT_NE(victim, nullptr);
  EXPECT_EQ(victim->id, 2U);
}

// Guards against preempting work other than rollouts, which could not be
// resumed.
TEST(SlotPolicy, OrdersAndCallsAreNeverPreempted)
{
  const SlotPolicy policy;
  auto order = rollout(1);
  order.type = WorkType::Order;
  auto call = rollout(2);
  call.type = WorkType::Call;
  EXPECT_EQ(policy.chooseVictim(urgent(), { order, call }, kNow), nullptr);
}

// Guards against a rollout that never ends because it is preempted repeatedly.
TEST(SlotPolicy, PreemptsARolloutOnlyAFewTimes)
{
  const SlotPolicy policy;
  auto often = rollout(1);
  often.preemptions = 3;
  EXPECT_EQ(policy.chooseVictim(urgent(), { often }, kNow), nullptr);
}

TEST(SlotPolicy, OnlyMoreUrgentShortWorkThatWaitedPreempts)
{
  const SlotPolicy policy;
  auto waiting = urgent();
  waiting.priority = 8;
  EXPECT_FALSE(policy.canPreempt(waiting, rollout(1), kNow));
  waiting = urgent();
  waiting.isLong = true;
  EXPECT_FALSE(policy.canPreempt(waiting, rollout(1), kNow));
  waiting = urgent();
  waiting.queuedAt = kNow;
  EXPECT_FALSE(policy.canPreempt(waiting, rollout(1), kNow));
  auto fresh = rollout(1);
  fresh.startedAt = kNow;
  EXPECT_FALSE(policy.canPreempt(urgent(), fresh, kNow));
}

} // namespace lentilrack::core
