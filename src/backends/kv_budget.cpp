#include "backends/kv_budget.h"

#include <algorithm>

namespace lentilrack::backends {

namespace {

constexpr std::chrono::milliseconds kCredit{ 250 };
constexpr double kLowestRate = 0.001;

} // namespace

KvBudget::KvBudget(double callsPerSecond)
  : mInterval(std::chrono::duration_cast<core::Clock::duration>(
      std::chrono::duration<double>(1.0 /
                                    std::max(callsPerSecond, kLowestRate))))
  , mCredit(kCredit)
{
}

std::optional<core::TimePoint>
KvBudget::reserve(core::TimePoint now, core::TimePoint latest)
{
  const auto next = std::max(mNext, now - mCredit);
  const auto sendTime = std::max(next, now);
  if (sendTime > latest) {
    return std::nullopt;
  }
  mNext = next + mInterval;
  return sendTime;
}

void
KvBudget::dropCredit(core::TimePoint now)
{
  mNext = std::max(mNext, now);
}

} // namespace lentilrack::backends
