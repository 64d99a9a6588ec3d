#include "core/hedge_delay.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

// Guards against hedging on a guess.
TEST(HedgeDelay, KnowsNothingBeforeEnoughWork)
{
  HedgeDelay delay;
  for (int i = 0; i < 19; ++i) {
    delay.completed("order", 64, Millis(10));
  }
  EXPECT_FALSE(delay.after("order", 64));
  delay.completed("order", 64, Millis(10));
  EXPECT_EQ(delay.after("order", 64), Millis(10));
}

// Guards against hedging long work after the time of short work.
TEST(HedgeDelay, SizesAndKindsAreSeparate)
{
  HedgeDelay delay;
  for (int i = 0; i < 100; ++i) {
    delay.completed("order", 64, Millis(10));
    delay.completed("order", 4096, Millis(1000));
  }
  EXPECT_EQ(delay.after("order", 70), Millis(10));
  EXPECT_EQ(delay.after("order", 5000), Millis(1000));
  EXPECT_FALSE(delay.after("draft", 64));
}

TEST(HedgeDelay, IsTheRecent95thPercentile)
{
  HedgeDelay delay;
  for (int i = 0; i < 1000; ++i) {
    delay.completed("order", 64, Millis(5000));
  }
  for (int i = 1; i <= 128; ++i) {
    delay.completed("order", 64, Millis(i));
  }
  EXPECT_EQ(delay.after("order", 64), Millis(122));
}

} // namespace lentilrack::core
