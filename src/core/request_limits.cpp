#include "core/request_limits.h"

#include <algorithm>
#include <cmath>

namespace lentilrack::core {

namespace {

/// Returns how many requests may arrive at once: those of one second, but at
/// least one.
double
burstOf(const Row& row)
{
  return std::max(1.0, row.ratePerSecond);
}

/// Suggested wait if the concurrency limit is reached. When another request can
/// be admitted is unknown, since it depends on the end of a running request.
constexpr Millis kConcurrencyRetry{ 100 };

} // namespace

std::optional<RequestLimitRefusal>
RequestLimits::admit(const Row& row, TimePoint now)
{
  auto& usage = mUsage[{ row.principal, row.kind }];
  if (row.maxConcurrent > 0 && usage.inFlight >= row.maxConcurrent) {
    return RequestLimitRefusal{ "concurrency_limit", kConcurrencyRetry };
  }
  if (row.ratePerSecond > 0) {
    const std::chrono::duration<double> passed = now - usage.refilledAt;
    usage.bucketTokens =
      usage.hasBucket
        ? std::min(burstOf(row),
                   usage.bucketTokens + passed.count() * row.ratePerSecond)
        : burstOf(row);
    usage.refilledAt = now;
    usage.hasBucket = true;
    if (usage.bucketTokens < 1) {
      const auto seconds = (1 - usage.bucketTokens) / row.ratePerSecond;
      return RequestLimitRefusal{ "rate_limit",
                                  Millis(static_cast<std::int64_t>(
                                    std::ceil(seconds * 1000))) };
    }
    usage.bucketTokens -= 1;
  } else {
    // The row has no rate limit now. If one is set later, it starts with a full
    // bucket.
    usage.hasBucket = false;
  }
  ++usage.inFlight;
  return std::nullopt;
}

void
RequestLimits::finished(const RowKey& row)
{
  const auto found = mUsage.find(row);
  if (found == mUsage.end()) {
    return;
  }
  found->second.inFlight =
    std::max<std::int64_t>(0, found->second.inFlight - 1);
  if (found->second.inFlight == 0 && !found->second.hasBucket) {
    mUsage.erase(found);
  }
}

std::int64_t
RequestLimits::inFlight(const RowKey& row) const
{
  const auto found = mUsage.find(row);
  return found == mUsage.end() ? 0 : found->second.inFlight;
}

} // namespace lentilrack::core
