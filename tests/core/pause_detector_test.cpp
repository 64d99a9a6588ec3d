#include "core/pause_detector.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ Millis(1'000'000) };

} // namespace

TEST(PauseDetector, RegularTicksShowNoPause)
{
  PauseDetector detector;
  EXPECT_EQ(detector.maxUnreadTime(kStart), Millis(0));
  for (int i = 0; i < 100; ++i) {
    detector.tick(kStart + Millis(20 * i));
  }
  EXPECT_EQ(detector.maxUnreadTime(kStart + Millis(2000)), Millis(0));
}

// Guards against running an order long after its deadline because it waited in
// the socket of a paused process.
TEST(PauseDetector, MessagesAfterAPauseMayHaveWaited)
{
  PauseDetector detector;
  detector.tick(kStart);
  const auto woken = kStart + Millis(8000);
  EXPECT_EQ(detector.maxUnreadTime(woken), Millis(8000));
  detector.tick(woken);
  EXPECT_EQ(detector.maxUnreadTime(woken), Millis(8000));
  detector.tick(woken + Millis(20));
  EXPECT_EQ(detector.maxUnreadTime(woken + Millis(200)), Millis(8000));
  EXPECT_EQ(detector.maxUnreadTime(woken + Millis(201)), Millis(0));
}

} // namespace lentilrack::core
