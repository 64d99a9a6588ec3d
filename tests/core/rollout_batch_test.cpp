#include "core/rollout_batch.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kNow = TimePoint() + std::chrono::hours(1);

std::shared_ptr<BatchSpec>
makeSpec(int groups, int size)
{
  auto result = std::make_shared<BatchSpec>();
  for (int i = 0; i < groups * size; ++i) {
    BatchItem item;
    item.id = fmt::format("i{}", i);
    item.group = fmt::format("g{}", i / size);
    result->items.push_back(std::move(item));
  }
  return result;
}

} // namespace

// Guards against two results for one item when its end is reported twice or it
// is queued again after its end.
TEST(BatchProgressTest, ItemIsFinishedOnce)
{
  BatchProgress progress(makeSpec(1, 2));
  progress.markRunning(0);
  EXPECT_TRUE(progress.finish(0));
  EXPECT_FALSE(progress.finish(0));
  progress.requeue(0, kNow);
  EXPECT_EQ(progress.nextItem(kNow), 1U);
  EXPECT_FALSE(progress.isGroupComplete(0));
  EXPECT_TRUE(progress.finish(1));
  EXPECT_TRUE(progress.isGroupComplete(0));
  EXPECT_TRUE(progress.isComplete());
}

// Guards against running a failed item again without a delay.
TEST(BatchProgressTest, RequeuedItemWaits)
{
  BatchProgress progress(makeSpec(1, 1));
  progress.markRunning(0);
  EXPECT_FALSE(progress.nextItem(kNow));
  progress.requeue(0, kNow + Millis(50));
  EXPECT_FALSE(progress.nextItem(kNow));
  EXPECT_EQ(progress.nextReleaseTime(), kNow + Millis(50));
  EXPECT_EQ(progress.nextItem(kNow + Millis(50)), 0U);
}

// Guards against delaying a step by starting an item last that is many times
// longer than the others.
TEST(BatchProgressTest, LongItemsStartFirst)
{
  auto batch = makeSpec(4, 2);
  for (auto& item : batch->items) {
    item.expectedLength = 100;
  }
  batch->items[5].expectedLength = 2'000;
  BatchProgress progress(batch);
  EXPECT_EQ(progress.nextItem(kNow), 5U);
  progress.markRunning(5);
  EXPECT_EQ(progress.nextItem(kNow), 0U);
}

// Guards against long items that are not recognised without hints, and against
// short ones that are taken for long.
TEST(BatchProgressTest, LongItemsAreKnownByHintOrByLength)
{
  auto spec = makeSpec(1, 3);
  spec->items[0].expectedLength = 10;
  spec->items[1].expectedLength = 10;
  spec->items[2].expectedLength = 50;
  BatchProgress progress(spec);
  EXPECT_FALSE(progress.isLong(0, 40));
  EXPECT_TRUE(progress.isLong(2, 0));
  progress.recordLength(8);
  progress.recordLength(12);
  EXPECT_FALSE(progress.isLong(0, 10));
  EXPECT_TRUE(progress.isLong(0, 11));
  const BatchProgress withoutHints(makeSpec(1, 3));
  EXPECT_FALSE(withoutHints.isLong(0, 0));
}

} // namespace lentilrack::core
