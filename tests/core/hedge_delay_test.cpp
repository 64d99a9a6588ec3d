#include "core/hedge_delay.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

// Guards against hedging (sending a second copy of a slow request) after a
// delay that is computed from too few durations.
TEST(HedgeDelay, NeedsEnoughObservations)
{
  HedgeDelay delay;
  for (int i = 0; i < 19; ++i) {
    delay.recordCompletion("order", 64, Millis(10));
  }
  EXPECT_FALSE(delay.delayFor("order", 64));
  delay.recordCompletion("order", 64, Millis(10));
  EXPECT_EQ(delay.delayFor("order", 64), Millis(10));
}

// Guards against sending a second copy of long work too early because its delay
// is computed from the durations of short work.
TEST(HedgeDelay, SizesAndKindsAreSeparate)
{
  HedgeDelay delay;
  for (int i = 0; i < 100; ++i) {
    delay.recordCompletion("order", 64, Millis(10));
    delay.recordCompletion("order", 4096, Millis(1000));
  }
  EXPECT_EQ(delay.delayFor("order", 70), Millis(10));
  EXPECT_EQ(delay.delayFor("order", 5000), Millis(1000));
  EXPECT_FALSE(delay.delayFor("draft", 64));
}

TEST(HedgeDelay, IsTheRecent95thPercentile)
{
  HedgeDelay delay;
  for (int i = 0; i < 1000; ++i) {
    delay.recordCompletion("order", 64, Millis(5000));
  }
  for (int i = 1; i <= 128; ++i) {
    delay.recordCompletion("order", 64, Millis(i));
  }
  EXPECT_EQ(delay.delayFor("order", 64), Millis(122));
}

} // namespace lentilrack::core
