#include "core/scheduling/run_move.h"

#include "core/scheduling/first_event_bound.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

// Guards against a move that ends the item later than its present server, since
// the text is lost or nearly complete.
TEST(RunMoveTest, MovesOnlyIfTheGainExceedsTheCost)
{
  RunMove move{ 10, 10, 100, 40 };
  EXPECT_TRUE(paysOff(move));
  move.losesEvents = true;
  EXPECT_FALSE(paysOff(move));
  move.producedEvents = 2;
  EXPECT_TRUE(paysOff(move));
  EXPECT_FALSE(paysOff({ 18, 3, 100, 40 }));
}

// Guards against moving an item from a server that is about to end its load,
// and against leaving it at one that has just begun.
TEST(RunMoveTest, LoadingServerIsLeftEarlyOnly)
{
  EXPECT_TRUE(paysOff({ 10, 10, 40, 40, Millis(900) }));
  EXPECT_FALSE(paysOff({ 10, 10, 40, 40, Millis(150) }));
}

// Guards against a service under load that loses all its runs at a fixed bound:
// with first events after 2 s, 1.5 s would abandon every run. Some silent
// servers must not raise the bound.
TEST(FirstEventBoundTest, FollowsTheService)
{
  FirstEventBound bound;
  EXPECT_EQ(bound.bound(), FirstEventBound::kFloor);
  for (int i = 0; i < 32; ++i) {
    bound.record(Millis(80));
  }
  for (int i = 0; i < 12; ++i) {
    bound.record(bound.bound());
  }
  EXPECT_EQ(bound.bound(), FirstEventBound::kFloor);
  for (int i = 0; i < 32; ++i) {
    bound.record(Millis(1'400));
  }
  EXPECT_EQ(bound.bound(), Millis(4'200));
  for (int i = 0; i < 32; ++i) {
    bound.record(Millis(9'000));
  }
  EXPECT_EQ(bound.bound(), FirstEventBound::kCeiling);
}

} // namespace lentilrack::core
