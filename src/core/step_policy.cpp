#include "core/step_policy.h"

#include <algorithm>

namespace lentilrack::core {

namespace {

// A group is nearly complete when at most one sample or a quarter of its
// quorum is missing.
constexpr std::int64_t kNearlyCompleteDivisor = 4;
// At most a tenth of the step's slots get an extra copy.
constexpr std::int64_t kExtraCopyDivisor = 10;
constexpr std::int64_t kMaxCopiesPerSlot = 2;
// After this many consecutive resumptions that produced no token, no engine is
// expected to serve the required weight version any more.
constexpr std::int64_t kMaxSameVersionAttempts = 3;
constexpr Millis kInitialBackoff{ 50 };
constexpr Millis kMaxBackoff{ 5000 };

bool
isNearlyComplete(const SlotView& view)
{
  const auto missing = view.quorum - view.groupReady;
  return view.groupReady > 0 &&
         missing <=
           std::max<std::int64_t>(1, view.quorum / kNearlyCompleteDivisor);
}

} // namespace

bool
orderByUrgency(const SlotView& first, const SlotView& second)
{
  const bool isFirstNear = isNearlyComplete(first);
  if (isFirstNear != isNearlyComplete(second)) {
    return isFirstNear;
  }
  if (first.estimate != second.estimate) {
    return first.estimate > second.estimate;
  }
  return first.slot < second.slot;
}

bool
orderByIndex(const SlotView& first, const SlotView& second)
{
  return first.slot < second.slot;
}

double
meanLength(const LengthStats& stats)
{
  if (stats.groupCount > 0) {
    return stats.groupTokens / static_cast<double>(stats.groupCount);
  }
  if (stats.stepCount > 0) {
    return stats.stepTokens / static_cast<double>(stats.stepCount);
  }
  return static_cast<double>(stats.maxTokens);
}

std::optional<Slot>
copyLongestRunning(const std::vector<SlotView>& running,
                   const ExtraCopyBudget& budget)
{
  const auto maxCopies =
    std::max<std::int64_t>(1, budget.slots / kExtraCopyDivisor);
  if (budget.idleSlots <= 0 || budget.started >= maxCopies) {
    return std::nullopt;
  }
  const SlotView* longest = nullptr;
  for (const auto& view : running) {
    const auto missing = view.quorum - view.groupReady;
    const bool mayCopy = view.running < kMaxCopiesPerSlot &&
                         view.groupRunning < kMaxCopiesPerSlot * missing;
    if (mayCopy &&
        (longest == nullptr || view.runningFor > longest->runningFor)) {
      longest = &view;
    }
  }
  return longest == nullptr ? std::nullopt : std::optional(longest->slot);
}

std::optional<Slot>
noExtraCopies(const std::vector<SlotView>& /*running*/,
              const ExtraCopyBudget& /*budget*/)
{
  return std::nullopt;
}

ResumeChoice
resumeWithinBound(const PartialView& partial)
{
  if (partial.newestVersion - partial.oldestVersion > partial.stalenessBound) {
    return ResumeChoice::Restart;
  }
  if (partial.lastVersion >= partial.newestVersion &&
      partial.failures < kMaxSameVersionAttempts) {
    return ResumeChoice::SameVersion;
  }
  return ResumeChoice::AnyVersion;
}

ResumeChoice
alwaysRestart(const PartialView& /*partial*/)
{
  return ResumeChoice::Restart;
}

Millis
stepBackoff(std::int64_t failures, double random)
{
  const auto doublings = std::clamp<std::int64_t>(failures - 1, 0, 10);
  const auto delay = std::min(kMaxBackoff, kInitialBackoff * (1 << doublings));
  return Millis(static_cast<std::int64_t>(static_cast<double>(delay.count()) *
                                          (0.5 + random / 2)));
}

StepPolicy
defaultStepPolicy()
{
  return { orderByUrgency,
           meanLength,
           copyLongestRunning,
           resumeWithinBound,
           stepBackoff };
}

StepPolicy
baselineStepPolicy()
{
  return {
    orderByIndex, meanLength, noExtraCopies, alwaysRestart, stepBackoff
  };
}

} // namespace lentilrack::core
