#include "core/pause_guard.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

const TimePoint kStart{ Millis(1'000'000) };

} // namespace

TEST(PauseGuard, RegularTicksShowNoPause)
{
  PauseGuard guard;
  EXPECT_EQ(guard.unreadTime(kStart), Millis(0));
  for (int i = 0; i < 100; ++i) {
    guard.tick(kStart + Millis(20 * i));
  }
  EXPECT_EQ(guard.unreadTime(kStart + Millis(2000)), Millis(0));
}

// Guards against an order that waited in the socket of a paused process and
// then runs long after its deadline.
TEST(PauseGuard, MessagesAfterAPauseMayHaveWaited)
{
  PauseGuard guard;
  guard.tick(kStart);
  const auto woken = kStart + Millis(8000);
  EXPECT_EQ(guard.unreadTime(woken), Millis(8000));
  guard.tick(woken);
  EXPECT_EQ(guard.unreadTime(woken), Millis(8000));
  guard.tick(woken + Millis(20));
  EXPECT_EQ(guard.unreadTime(woken + Millis(200)), Millis(8000));
  EXPECT_EQ(guard.unreadTime(woken + Millis(201)), Millis(0));
}

} // namespace lentilrack::core
