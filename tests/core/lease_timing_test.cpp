#include "core/lease_timing.h"

#include <gtest/gtest.h>

namespace lentilrack::core {

// Guards against renewals that grow with the fleet: at 250 processes the
// renewals of all leases were a quarter of the price of all calls.
TEST(LeaseTimingTest, RenewalsOfAllProcessesAreBounded)
{
  for (const std::size_t count : { 30, 100, 180, 300, 630 }) {
    const auto timing = LeaseTiming::forProcesses(count);
    const double perSecond = static_cast<double>(count) * 1'000 /
                             static_cast<double>(timing.renewInterval.count());
    const double allowed =
      std::max(static_cast<double>(LeaseTiming::kRenewalsPerSecond) * 1.01,
               static_cast<double>(count) / 3);
    EXPECT_LE(perSecond, allowed) << count;
    EXPECT_GE(timing.timeToLive, 3 * timing.renewInterval);
  }
}

// Guards against a slower detection of lost processes in small fleets.
TEST(LeaseTimingTest, SmallFleetsKeepShortLeases)
{
  for (const std::size_t count : { 0, 1, 7, 30 }) {
    EXPECT_EQ(LeaseTiming::forProcesses(count).timeToLive, Millis(2'000));
  }
}

// Guards against leases that are replaced for each process that joins.
TEST(LeaseTimingTest, SmallChangesOfTheFleetReplaceNoLease)
{
  const auto ttl = [](std::size_t count) {
    return LeaseTiming::forProcesses(count).timeToLive;
  };
  EXPECT_FALSE(LeaseTiming::mustReplace(ttl(51), ttl(60)));
  EXPECT_FALSE(LeaseTiming::mustReplace(ttl(250), ttl(630)));
  EXPECT_TRUE(LeaseTiming::mustReplace(ttl(7), ttl(250)));
  EXPECT_TRUE(LeaseTiming::mustReplace(ttl(250), ttl(7)));
}

} // namespace lentilrack::core
