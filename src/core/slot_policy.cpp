#include "core/slot_policy.h"

#include <algorithm>
#include <cmath>

namespace lentilrack::core {

SlotPolicy::SlotPolicy(SlotPolicyOptions options)
  : mOptions(options)
{
}

bool
SlotPolicy::isLong(double tokens, double typicalTokens) const
{
  return typicalTokens > 0 && tokens > mOptions.longWorkFactor * typicalTokens;
}

std::int64_t
SlotPolicy::maxLongSlots(std::int64_t slots) const
{
  if (slots <= 1) {
    return slots;
  }
  const auto limit = static_cast<std::int64_t>(
    std::floor(mOptions.longSlotFraction * static_cast<double>(slots)));
  return std::clamp<std::int64_t>(limit, 1, slots - 1);
}

bool
SlotPolicy::canPreempt(const WaitingWork& waiting,
                       const RunningWork& running,
                       TimePoint now) const
{
  return !waiting.isLong && running.isLong &&
         running.type == WorkType::Rollout &&
         waiting.priority < running.priority &&
         running.preemptions < mOptions.maxPreemptions &&
         now - running.startedAt >= mOptions.minRunTime &&
         now - waiting.queuedAt >= mOptions.preemptionDelay;
}

const RunningWork*
SlotPolicy::chooseVictim(const WaitingWork& waiting,
                         const std::vector<RunningWork>& running,
                         TimePoint now) const
{
  const RunningWork* best = nullptr;
  for (const auto& candidate : running) {
    if (canPreempt(waiting, candidate, now) &&
        (best == nullptr ||
         candidate.remainingTokens > best->remainingTokens)) {
      best = &candidate;
    }
  }
  return best;
}

} // namespace lentilrack::core
