#include "core/batches/result_write_schedule.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

using Schedule = ResultWriteSchedule;

const TimePoint kSubmitted = TimePoint() + std::chrono::hours(1);
constexpr std::size_t kGroupSize = 8;

Schedule
scheduleOf(int groups, int desired)
{
  BatchSpec spec;
  spec.desiredGroups = desired;
  for (int group = 0; group < groups; ++group) {
    for (std::size_t i = 0; i < kGroupSize; ++i) {
      BatchItem item;
      item.group = fmt::format("g{}", group);
      spec.items.push_back(item);
    }
  }
  return { spec, kSubmitted };
}

void
addGroup(Schedule& schedule, std::size_t group, TimePoint now)
{
  for (std::size_t i = 0; i < kGroupSize; ++i) {
    schedule.recordAdded(group * kGroupSize + i, now);
  }
}

} // namespace

// Guards against a step that becomes late because the results that complete its
// quorum are collected for as long as the earlier ones.
TEST(ResultWriteScheduleTest, QuorumIsWrittenAtOnce)
{
  auto schedule = scheduleOf(10, 2);
  const auto first = kSubmitted + Millis(3'000);
  addGroup(schedule, 0, first);
  EXPECT_EQ(schedule.dueTime(), first + Schedule::kLongCollectionTime);
  const auto second = first + Millis(20);
  addGroup(schedule, 1, second);
  EXPECT_LE(schedule.dueTime(), second);
}

// Guards against a quorum that waits for the minimum interval between writes.
TEST(ResultWriteScheduleTest, QuorumDoesNotWaitForTheMinimumInterval)
{
  auto schedule = scheduleOf(10, 1);
  const auto now = kSubmitted + Millis(3'000);
  schedule.recordAdded(8, now);
  schedule.beginWrite({ 8 });
  EXPECT_FALSE(schedule.dueTime());
  schedule.endWrite(now + Millis(5));
  addGroup(schedule, 0, now + Millis(10));
  EXPECT_LE(schedule.dueTime(), now + Millis(10));
}

// Guards against results that stay unwritten: whatever the quorum, a result is
// due within the longest collection time.
TEST(ResultWriteScheduleTest, NoResultWaitsLongerThanTheCollectionTime)
{
  for (const int desired : { 0, 1, 9, 10, 50 }) {
    auto schedule = scheduleOf(10, desired);
    for (std::size_t item = 0; item < 10 * kGroupSize; item += 3) {
      const auto now = kSubmitted + Millis(97 * item);
      schedule.recordAdded(item, now);
      ASSERT_TRUE(schedule.dueTime());
      EXPECT_LE(*schedule.dueTime(), now + Schedule::kLongCollectionTime);
      schedule.beginWrite({ item });
      schedule.endWrite(now);
    }
  }
}

// Guards against results that are collected for long although the step is late
// or the quorum cannot be known.
TEST(ResultWriteScheduleTest, LateStepsAndUnknownQuorumsAreCollectedBriefly)
{
  auto late = scheduleOf(10, 9);
  const auto lateAt = kSubmitted + Schedule::kLateTime;
  addGroup(late, 0, lateAt + Millis(1));
  EXPECT_EQ(late.dueTime(), lateAt + Millis(1));
  auto almostLate = scheduleOf(10, 9);
  addGroup(almostLate, 0, lateAt - Millis(300));
  EXPECT_EQ(almostLate.dueTime(), lateAt);
  auto unknown = scheduleOf(10, 0);
  unknown.recordAdded(0, kSubmitted);
  EXPECT_EQ(unknown.dueTime(), kSubmitted + Schedule::kShortCollectionTime);
  addGroup(unknown, 1, kSubmitted + Millis(10));
  EXPECT_EQ(unknown.dueTime(), kSubmitted + Millis(10));
}

// Guards against a new owner of a batch that counts the stored groups twice or
// not at all: it would miss the moment at which the quorum is complete.
TEST(ResultWriteScheduleTest, StoredResultsCountTowardsTheQuorum)
{
  auto schedule = scheduleOf(10, 2);
  for (std::size_t item = 0; item < kGroupSize; ++item) {
    schedule.recordStored(item);
    schedule.recordStored(item);
  }
  EXPECT_FALSE(schedule.dueTime());
  const auto now = kSubmitted + Millis(100);
  schedule.recordAdded(kGroupSize, now);
  EXPECT_EQ(schedule.dueTime(), now + Schedule::kLongCollectionTime);
  addGroup(schedule, 1, now + Millis(50));
  EXPECT_EQ(schedule.dueTime(), now);
}

// Guards against results that are left over after a write, because they did not
// fit into its chunk, and that then wait as long as new ones.
TEST(ResultWriteScheduleTest, LeftOverResultsAreDueAfterTheMinimumInterval)
{
  auto schedule = scheduleOf(10, 0);
  const auto now = kSubmitted + Millis(3'000);
  addGroup(schedule, 0, now);
  schedule.beginWrite({ 0, 1, 2 });
  schedule.endWrite(now + Millis(10));
  EXPECT_EQ(schedule.dueTime(), now + Millis(10) + Schedule::kMinWriteInterval);
}

// Guards against calls to the store that grow again: a step whose 25 groups
// complete over 6 s was written 25 times when each complete group was written.
TEST(ResultWriteScheduleTest, StepIsWrittenAFewTimes)
{
  constexpr std::size_t kGroups = 25;
  auto schedule = scheduleOf(kGroups, 23);
  int writes = 0;
  std::vector<std::size_t> pending;
  std::size_t group = 0;
  for (auto now = kSubmitted; now < kSubmitted + Millis(6'500);
       now += Millis(10)) {
    const bool isGroupComplete =
      group < kGroups &&
      now >= kSubmitted + Millis(1'000) + Millis(210 * group);
    if (isGroupComplete) {
      addGroup(schedule, group, now);
      for (std::size_t i = 0; i < kGroupSize; ++i) {
        pending.push_back(group * kGroupSize + i);
      }
      ++group;
    }
    const auto due = schedule.dueTime();
    if (due && now >= *due) {
      schedule.beginWrite(pending);
      schedule.endWrite(now);
      pending.clear();
      ++writes;
    }
  }
  EXPECT_TRUE(pending.empty());
  EXPECT_LE(writes, 9);
}

} // namespace lentilrack::core
