#include "core/request_rate.h"

#include <algorithm>
#include <cmath>

namespace lentilrack::core {

namespace {

/// A request waits for a permit for at most this time, and for at most this
/// fraction of its time. A caller that is rejected earlier can still be served
/// by another instance.
constexpr Millis kMaxPermitWait{ 300 };
constexpr int kMaxWaitFraction = 4;
/// Interval at which a waiting request looks for a server again.
constexpr Millis kWaitInterval{ 15 };

double
seconds(Clock::duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

} // namespace

RateAllocator::RateAllocator(RateAllocatorOptions options)
  : mOptions(options)
{
}

void
RateAllocator::removeIdle(TimePoint now)
{
  if (now - mIdleRemovedAt < mOptions.idleTimeout) {
    return;
  }
  mIdleRemovedAt = now;
  std::erase_if(mBuckets, [&](const auto& item) {
    return now - item.second.refilledAt >= mOptions.idleTimeout;
  });
}

void
RateAllocator::refill(Bucket& bucket, double rate, TimePoint now) const
{
  const double depth = mOptions.minBurst + rate * seconds(mOptions.burstTime);
  bucket.tokens =
    std::min(depth, bucket.tokens + rate * seconds(now - bucket.refilledAt));
  bucket.refilledAt = now;
}

Millis
RateAllocator::timeUntil(const Bucket& bucket, double tokens, double rate)
{
  constexpr double kMillisPerSecond = 1000;
  const double missing = std::max(0.0, tokens - bucket.tokens);
  return Millis(
    static_cast<std::int64_t>(std::ceil(missing / rate * kMillisPerSecond)));
}

Millis
RateAllocator::questionInterval(Bucket& bucket, TimePoint now) const
{
  std::erase_if(bucket.refusedAt, [&](const auto& item) {
    return now - item.second > mOptions.askerTimeout;
  });
  const std::chrono::duration<double> interval(
    static_cast<double>(bucket.refusedAt.size()) /
    mOptions.maxQuestionsPerSecond);
  return std::chrono::duration_cast<Millis>(interval);
}

PermitDecision
RateAllocator::request(const std::string& server,
                       double rate,
                       const std::string& instance,
                       PermitPriority priority,
                       TimePoint now)
{
  rate = std::max(rate, mOptions.minRate);
  removeIdle(now);
  const auto [found, isNew] = mBuckets.try_emplace(server);
  auto& bucket = found->second;
  if (isNew) {
    bucket.tokens = -rate * seconds(mOptions.takeoverDelay);
    bucket.refilledAt = now;
  }
  refill(bucket, rate, now);
  const double needed =
    1 +
    (priority == PermitPriority::Background ? mOptions.interactiveReserve : 0);
  PermitDecision decision;
  decision.isGranted = bucket.tokens >= needed;
  Millis interval{ 0 };
  if (decision.isGranted) {
    bucket.tokens -= 1;
    bucket.refusedAt.erase(instance);
  } else {
    bucket.refusedAt[instance] = now;
    interval = questionInterval(bucket, now);
  }
  decision.nextInteractive = std::max(interval, timeUntil(bucket, 1, rate));
  decision.nextBackground = std::max(
    interval, timeUntil(bucket, 1 + mOptions.interactiveReserve, rate));
  return decision;
}

std::optional<Millis>
waitForPermit(TimePoint nextPermitAt,
              TimePoint requestStart,
              TimePoint deadline,
              TimePoint now)
{
  const auto longestWait = std::min<Clock::duration>(
    kMaxPermitWait, (deadline - requestStart) / kMaxWaitFraction);
  if (std::max(nextPermitAt, now) - requestStart > longestWait) {
    return std::nullopt;
  }
  return kWaitInterval;
}

} // namespace lentilrack::core
