#include "backends/kv_backoff.h"
#include "backends/kv_rate_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilrack::backends {

namespace {

using core::Millis;
using core::TimePoint;
using Permission = KvBackoff::Permission;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

} // namespace

// Guards against allowing more than rate * (span + 0.25 s) + 1 calls in any
// span of time.
RC_GTEST_PROP(KvRateLimiterTest, NoSpanExceedsTheRateLimit, ())
{
  const auto rate = *rc::gen::inRange(1, 100);
  const auto pauses =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 120));
  KvRateLimiter limiter(rate);
  std::vector<TimePoint> sent;
  auto now = kStart;
  for (const int pause : pauses) {
    now += Millis(pause);
    if (pause == 0) {
      limiter.discardBurst(now);
    }
    if (const auto time = limiter.reserve(now, now + Millis(1000))) {
      RC_ASSERT(*time >= now);
      RC_ASSERT(*time <= now + Millis(1000));
      sent.push_back(*time);
    }
  }
  for (std::size_t first = 0; first < sent.size(); ++first) {
    for (std::size_t last = first; last < sent.size(); ++last) {
      const std::chrono::duration<double> span = sent[last] - sent[first];
      const auto calls = static_cast<double>(last - first + 1);
      RC_ASSERT(calls <= (span.count() + 0.25) * rate + 1.001);
    }
  }
}

// Guards against a burst directly after an outage, made of the calls that the
// rate limit allowed during the outage.
TEST(KvRateLimiterTest, DiscardedBurstLeavesOnlyTheAverageRate)
{
  KvRateLimiter limiter(10);
  limiter.discardBurst(kStart);
  EXPECT_EQ(limiter.reserve(kStart, kStart + Millis(50)), kStart);
  EXPECT_EQ(limiter.reserve(kStart, kStart + Millis(50)), std::nullopt);
  EXPECT_EQ(limiter.reserve(kStart, kStart + Millis(150)),
            kStart + Millis(100));
}

// Guards against permitting calls during the delay that follows a failure, and
// against permitting several calls at once after the delay.
TEST(KvBackoffTest, OneProbeAfterTheDelay)
{
  KvBackoff backoff({ Millis(100), Millis(5000), Millis(1000) }, 1);
  EXPECT_EQ(backoff.requestPermission(kStart), Permission::Granted);
  backoff.recordFailure(kStart, false);
  EXPECT_EQ(backoff.requestPermission(kStart + Millis(49)), Permission::Denied);
  const auto later = kStart + Millis(100);
  EXPECT_EQ(backoff.requestPermission(later), Permission::Probe);
  EXPECT_EQ(backoff.requestPermission(later), Permission::Denied);
  backoff.recordSuccess();
  EXPECT_EQ(backoff.requestPermission(later), Permission::Granted);
}

// Guards against denying all further calls when a probe never gets a result.
TEST(KvBackoffTest, AnotherProbeFollowsOneWithoutResult)
{
  KvBackoff backoff({ Millis(100), Millis(5000), Millis(1000) }, 1);
  backoff.recordFailure(kStart, false);
  const auto later = kStart + Millis(100);
  EXPECT_EQ(backoff.requestPermission(later), Permission::Probe);
  EXPECT_EQ(backoff.requestPermission(later + Millis(999)), Permission::Denied);
  EXPECT_EQ(backoff.requestPermission(later + Millis(1000)), Permission::Probe);
}

// Guards against a delay that grows without bound, and against a delay without
// jitter, with which all processes would retry at the same time.
RC_GTEST_PROP(KvBackoffTest, DelayDoublesUpToTheMaximumWithJitter, ())
{
  const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  KvBackoff backoff({ Millis(100), Millis(5000), Millis(1000) }, seed);
  auto now = kStart;
  Millis expectedDelay{ 100 };
  for (int i = 0; i < 40; ++i) {
    backoff.recordFailure(now, i > 0);
    const auto pause = backoff.earliestRetry() - now;
    RC_ASSERT(pause >= expectedDelay / 2);
    RC_ASSERT(pause <= expectedDelay);
    now = backoff.earliestRetry();
    RC_ASSERT(backoff.requestPermission(now) == Permission::Probe);
    expectedDelay = std::min(expectedDelay * 2, Millis(5000));
  }
}

// Guards against doubling the delay for each of several calls that fail at the
// same time.
TEST(KvBackoffTest, SimultaneousFailuresCountOnce)
{
  KvBackoff backoff({ Millis(100), Millis(5000), Millis(1000) }, 1);
  for (int i = 0; i < 20; ++i) {
    backoff.recordFailure(kStart, false);
  }
  EXPECT_LE(backoff.earliestRetry(), kStart + Millis(100));
}

} // namespace lentilrack::backends
