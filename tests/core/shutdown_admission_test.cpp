#include "core/shutdown_admission.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

namespace {

constexpr Millis kAllowed{ 4'500 };
constexpr Millis kTarget{ 150 };

const ShutdownAdmission kOrder{ kAllowed, kTarget, false };
const ShutdownAdmission kLookup{ kAllowed, kTarget, true };

} // namespace

// Guards against rejecting requests that can be completed before the process
// ends.
TEST(ShutdownAdmissionTest, RequestThatFitsGetsAllOfItsTime)
{
  EXPECT_EQ(kOrder.timeFor(Millis(5'000)), kAllowed);
  EXPECT_EQ(kOrder.timeFor(kAllowed), kAllowed);
  EXPECT_EQ(kLookup.timeFor(kAllowed), kAllowed);
}

// Guards against passing on an order that the end of the process may cut off:
// its caller must not send it again.
TEST(ShutdownAdmissionTest, RequestThatMayNotBeRepeatedNeedsAllOfItsTime)
{
  EXPECT_EQ(kOrder.timeFor(kAllowed - Millis(1)), std::nullopt);
  EXPECT_EQ(kOrder.timeFor(Millis(-100)), std::nullopt);
}

// Guards against rejecting requests that are harmless to repeat and likely to
// be answered in time, and against beginning those that are not.
TEST(ShutdownAdmissionTest, RepeatableRequestIsGivenWhatIsLeft)
{
  EXPECT_EQ(kLookup.timeFor(Millis(1'000)), Millis(1'000));
  EXPECT_EQ(kLookup.timeFor(kTarget), kTarget);
  EXPECT_EQ(kLookup.timeFor(kTarget - Millis(1)), std::nullopt);
}

} // namespace lentilrack::core
